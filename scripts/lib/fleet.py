"""Starts stand-ins and instances as processes on loopback, for the demo and the fault runs."""

import http.client
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "build", "crocuslead")
STANDIN = os.path.join(ROOT, "build", "crocuslead-standin")
TOKEN = "operator-token-of-the-demo"
SHARED_KEY = "shared-key-of-the-demo-fleet"


def http_call(port, method, path, body=None, headers=None, timeout=15):
    """Returns (status, headers, body); status 0 when there was no whole answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = body if body is None or isinstance(body, (str, bytes)) else json.dumps(body)
        connection.request(method, path, body=data, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read().decode()
    except (OSError, http.client.HTTPException) as failure:
        return 0, {}, str(failure)
    finally:
        connection.close()


def uuid7(rng=random, unix_ms=None):
    """A UUIDv7: 48 bits of Unix time in milliseconds, then random bits."""
    stamp = int(time.time() * 1000) if unix_ms is None else unix_ms
    value = (stamp & ((1 << 48) - 1)) << 80
    value |= 0x7 << 76 | rng.getrandbits(12) << 64 | 0x2 << 62 | rng.getrandbits(62)
    text = f"{value:032x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


class Instance:
    """One serving process and its ports."""

    def __init__(self, name, region, domain, base_port):
        self.name, self.region, self.domain = name, region, domain
        self.caller, self.operator, self.link = base_port, base_port + 1, base_port + 2
        self.process = None

    def alive(self):
        return self.process is not None and self.process.poll() is None


class Fleet:
    """Stand-ins, workers and instances of one deployment."""

    def __init__(self, domains, instances, base_port, service, settings=None, worker_options=()):
        self.domains = domains  # [(name, region, workers)]
        self.base = base_port
        self.service = service
        self.settings = settings or {}
        self.worker_options = list(worker_options)
        self.store_port, self.list_port, self.workers_port = base_port, base_port + 1, base_port + 2
        self.instances = [
            Instance(name, region, domain, base_port + 10 + 4 * index)
            for index, (name, region, domain) in enumerate(instances)
        ]
        self.folder = tempfile.mkdtemp(prefix="crocuslead-")
        self.standins = []

    # Processes

    def start(self):
        self._standin("store", "--port", str(self.store_port))
        self._standin("list", "--port", str(self.list_port))
        specs = [f"{name}:{region}:{count}" for name, region, count in self.domains]
        self._standin("workers", "--port", str(self.workers_port), "--first-port",
                      str(self.base + 100), "--service", self.service, *specs,
                      *self.worker_options)
        for port in (self.store_port, self.list_port, self.workers_port):
            self._wait_port(port)
        entries = json.loads(http_call(self.workers_port, "GET", "/entries")[2])
        self.control("list", {"upsert": entries})
        for each in self.instances:
            self.start_instance(each)
        self.wait_ready()

    def _standin(self, *words):
        log = open(os.path.join(self.folder, words[0] + ".log"), "w")
        self.standins.append(subprocess.Popen([STANDIN, *words], stdout=log, stderr=log))

    def start_instance(self, each):
        path = os.path.join(self.folder, each.name + ".yaml")
        with open(path, "w") as out:
            out.write(self._settings_text(each))
        log = open(os.path.join(self.folder, each.name + ".log"), "a")
        each.process = subprocess.Popen([BINARY, "serve", "--config", path], stdout=log, stderr=log)

    def _settings_text(self, each):
        lines = [
            f"instance_id: {each.name}", f"region: {each.region}", f"domain: {each.domain}",
            f"caller_address: 127.0.0.1:{each.caller}",
            f"operator_address: 127.0.0.1:{each.operator}",
            f"link_address: 127.0.0.1:{each.link}",
            f"store_url: http://127.0.0.1:{self.port_of('store', each)}",
            f"instance_list_url: http://127.0.0.1:{self.port_of('list', each)}",
            f"shared_key: {SHARED_KEY}", f"operator_token: {TOKEN}", "instances:",
        ]
        for peer in self.instances:
            lines.append(f"  - {{id: {peer.name}, region: {peer.region}, domain: {peer.domain}, "
                         f"link_address: \"127.0.0.1:{self.link_of(peer, each)}\"}}")
        lines += [f"{key}: {value}" for key, value in self.settings.items()]
        return "\n".join(lines) + "\n"

    def port_of(self, which, _instance):
        return self.store_port if which == "store" else self.list_port

    def link_of(self, peer, _seen_from):
        return peer.link

    def stop(self):
        for process in [each.process for each in self.instances] + self.standins:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("CROCUSLEAD_KEEP_LOGS"):
            print("logs:", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    @staticmethod
    def _wait_port(port, limit=10):
        end = time.time() + limit
        while time.time() < end:
            if http_call(port, "GET", "/control", timeout=1)[0]:
                return
            time.sleep(0.05)
        raise RuntimeError(f"nothing listens on port {port}")

    def wait_ready(self, limit=40):
        end = time.time() + limit
        while time.time() < end:
            if all(http_call(each.operator, "GET", "/readyz", timeout=2)[0] == 200
                   for each in self.instances if each.alive()):
                return
            time.sleep(0.1)
        raise RuntimeError("the instances did not become ready")

    def live(self):
        return [each for each in self.instances if each.alive()]

    # Calls

    def control(self, which, change=None):
        port = {"store": self.store_port, "list": self.list_port,
                "workers": self.workers_port}[which]
        method = "GET" if change is None else "POST"
        return json.loads(http_call(port, method, "/control", change)[2] or "{}")

    def worker_tasks(self):
        return json.loads(http_call(self.workers_port, "GET", "/tasks")[2])

    def starts_since(self, domain, unix_ms):
        path = f"/starts?domain={domain}&since={unix_ms}"
        return json.loads(http_call(self.workers_port, "GET", path)[2])["starts"]

    def runs_of(self, keys):
        """How often the request of each key ran, counted at the workers."""
        return json.loads(http_call(self.workers_port, "POST", "/ran", keys)[2])

    def api(self, method, path, body=None, instance=None):
        """Operator call; returns (status, parsed body)."""
        each = instance or self.live()[0]
        status, _, text = http_call(each.operator, method, path, body,
                                    {"Authorization": "Bearer " + TOKEN})
        try:
            return status, json.loads(text)
        except ValueError:
            return status, text

    def request(self, each, workspace, path, method="GET", body=None, key=None, headers=None,
                timeout=15):
        """Caller's request through one instance."""
        all_headers = dict(headers or {})
        if key:
            all_headers["Idempotency-Key"] = key
        return http_call(each.caller, method, f"/r/{workspace}{path}", body, all_headers, timeout)

    def configure(self, templates, workspaces):
        for name, region, _ in self.domains:
            self.expect(self.api("PUT", f"/v1/domains/{name}", {"region": region,
                                                                "state": "in-service"}))
        for name, values in templates.items():
            self.expect(self.api("PUT", f"/v1/templates/{name}", values))
        for name, values in workspaces.items():
            self.retry(lambda n=name, v=values: self.api("PUT", f"/v1/workspaces/{n}", v))

    def retry(self, call, limit=10):
        """Repeats a call until it succeeds: a template may still be on its way to the instance."""
        end = time.time() + limit
        while True:
            status, body = call()
            if status == 200 or time.time() > end:
                self.expect((status, body))
                return body
            time.sleep(0.2)

    @staticmethod
    def expect(answer, status=200):
        if answer[0] != status:
            raise RuntimeError(f"expected status {status}, got {answer}")

    def wait_owners(self, limit=60, settings_partitions=None):
        """Waits until every partition has an owner; returns the owners."""
        per_domain = int(self.settings.get("partitions_per_domain", 2))
        wanted = settings_partitions or per_domain * len(self.domains)
        end = time.time() + limit
        owners = {}
        while time.time() < end:
            _, dump = self.api("GET", "/v1/dump")
            owners = dump.get("owners", {}) if isinstance(dump, dict) else {}
            if len(owners) >= wanted:
                return {name: row["instance"] for name, row in owners.items()}
            time.sleep(0.2)
        raise RuntimeError(f"only {len(owners)} of {wanted} partitions have an owner")


class Checks:
    """Prints each check as it is made and remembers failures."""

    def __init__(self):
        self.failed = 0
        self.made = 0

    def check(self, name, passed, seen):
        self.made += 1
        self.failed += 0 if passed else 1
        print(f"  {'ok  ' if passed else 'FAIL'} {name}: {seen}", flush=True)
        return passed

    def wait(self, name, seen, wanted, limit):
        """Waits until wanted(seen()) holds."""
        end = time.time() + limit
        value = seen()
        while not wanted(value) and time.time() < end:
            time.sleep(0.2)
            value = seen()
        return self.check(name, wanted(value), value)
