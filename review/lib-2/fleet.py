"""Stand-ins for the second review: the platform's store and workers, callers, and the processes under test.

The store is the project's own stand-in (scripts/lib/platform_standin.py). The workers are new: they follow
PROTOCOL.md ("Running tasks") and write what they started and ended to the record. No worker guards its room.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))
from platform_standin import Drop, Relay, Store, serve  # noqa: E402

HEARTBEAT_S = 1.1
GANG_TIMEOUT_S = 3.0
LATE_S = (2.0, 12.0)
STORE_ANSWER_S = 0.005  # the project's stand-in takes 2 ms more
MAX_HOLD_MS = 10000
FRONT, READY, CONTROL, METRICS, PEER = 8161, 8167, 8166, 9464, 7720


def free_address():
    """A loopback address on which all ports of a process are free."""
    while True:
        ip, held = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}", []
        try:
            for port in (FRONT, READY, CONTROL, METRICS, PEER):
                held.append(socket.socket())
                held[-1].bind((ip, port))
            return ip
        except OSError:
            continue
        finally:
            for each in held:
                each.close()


class PlatformStore(Store):
    """The project's stand-in, with 4 ms an answer and 1.4 ms one way between zones, as on SYSTEM.md."""

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        return await super().handle(method, path, query, headers, body)


class Path(Relay):
    """A path whose messages take some time each way, and which can be cut (see Relay)."""

    latency = 0.0

    async def pump(self, reader, writer, way):
        silent = False
        try:
            while data := await reader.read(65536):
                await asyncio.sleep(self.latency)
                silent = silent or self.fault in ("silent", way)
                if not silent:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Record:
    """record.txt: what was sent, answered and run, with the time since the start of the test."""

    def __init__(self, path):
        self.began, self.out = time.monotonic(), open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        print(f"{self.now():8.3f} {text}", file=self.out, flush=True)


class Entry:
    """A process of the deploy file's role, with settings like those of DEPLOY.md."""

    def __init__(self, name, zone, store_port, folder, record, max_hold_ms=MAX_HOLD_MS):
        self.name, self.ip, self.record, self.process = name, free_address(), record, None
        self.path, self.log = f"{folder}/{name}.conf", open(f"{folder}/{name}.log", "ab")
        with open(self.path, "w", encoding="ascii") as out:
            out.write(
                f"node={name}\nrole=entry\nmachine_class=front\nserves=front\nip={self.ip}\nzone={zone}\n"
                f"region=r1\nzones.z1=r1\nzones.z2=r1\nlisten_addresses.front={self.ip}:{FRONT}\n"
                f"listen_addresses.ready={self.ip}:{READY}\nlisten_addresses.control={self.ip}:{CONTROL}\n"
                f"internal_port_range={PEER},{PEER + 15}\nseeds=\nbootstrap=true\nloss_counted=false\n"
                "limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.file_descriptors=4100\n"
                "limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=virtual_ip\n"
                "heartbeat_interval_ms=1100\nbounds.contact_ms=4000\nbounds.ack_timeout_ms=5000\n"
                "bounds.drain_timeout_ms=3000\nbounds.grace_period_s=6\nbounds.loss_slack_ms=200\n"
                "bounds.config_apply_ms=3000\nbounds.rollback_slack_ms=250\nbounds.max_stretch_ms=6000\n"
                f"bounds.recovery_s=12\nbounds.max_hold_ms={max_hold_ms}\nbounds.stop_timeout_ms=900\n"
                "bounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
                "bounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.distance_factor=2\n"
                "bounds.checkpoint_interval_s=0.5\nbounds.restore_ms=100\nbounds.harm_ms=4000\norders=call\n"
                f"platform.address=127.0.0.1:{store_port}\nplatform.form=kv\nplatform.writes_per_s=400\n"
                "platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n"
                "platform.min_ttl_ms=1000\n")

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        words = shlex.split(role["run"])
        env = {"PATH": "/usr/bin:/bin", "LANG": "C", "CROCUSLEAD_BOOT": self.path, **role.get("env", {})}
        self.process = subprocess.Popen([os.path.join(ROOT, words[0])] + words[1:], cwd=ROOT, env=env,
                                        stdout=self.log, stderr=self.log)
        self.record(f"process {self.name} started")

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        self.record(f"process {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)


class Worker:
    """One worker. A run works for fleet.duration(task) seconds and ends as fleet.outcome(task, run) says."""

    def __init__(self, fleet, name, service="desk", zone="z1", rack="r1", cpu=16000, memory=64000):
        self.fleet, self.name, self.service, self.zone, self.rack = fleet, name, service, zone, rack
        self.kind, self.heard, self.path, self.late_share = "a", time.monotonic(), None, 0.0
        self.room = {"cpu": cpu, "memory_limit_mb": memory, "gpus": 0}
        self.state, self.up, self.sequence, self.life = "ready", True, 0, 0
        self.begin_life()

    def begin_life(self):
        self.life += 1
        self.born, self.began = int(time.time() * 1000), time.monotonic()
        self.runs, self.ends, self.next_end, self.highest = {}, [], 1, {}
        self.token, self.lease_end, self.event = 0, 0, asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def entry(self):
        self.sequence += 1
        return json.dumps({"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                           "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
                           "labels": [self.kind, self.rack], "room": self.room, "sequence": self.sequence,
                           "born": self.born}).encode()

    def lapse(self):
        if self.clock() >= self.lease_end:
            for task in list(self.runs):
                self.finish(task, "lapsed")

    def crash(self):
        """Loses power: everything that runs ends, nothing is listed, and connections break."""
        self.fleet.record(f"worker {self.name} crashes")
        self.up, lost, self.runs = False, self.runs, {}
        for task, run in lost.items():
            self.fleet.ended(self, task, run["run"], "lost with its worker")
            self.fleet.gang_ends(task, run["run"], "lost")
        for writer in list(self.writers):
            writer.transport.abort()

    async def restart(self):
        """Starts again under the same id: it knows nothing of before, and its counts start anew."""
        self.fleet.record(f"worker {self.name} starts again")
        self.begin_life()
        self.up = True
        self.fleet.store.put(f"servers/{self.name}", self.entry())
        await self.fleet.store.notify()

    def finish(self, task, how):
        run = self.runs.pop(task)
        self.ends.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.fleet.ended(self, task, run["run"], how)
        self.event.set()

    def lists(self):
        now = time.monotonic()
        rows = []
        for task, run in self.runs.items():
            percent = 100 if run["lasts"] and run["at_work"] else 0
            if run["at_work"] and not run["lasts"]:
                percent = min(99, int(100 * (now - run["at_work"]) / max(0.001, run["length"])))
            rows.append([task, run["run"], "", percent, 500])
        return {"clock_ms": self.clock(), "born": self.born, "running": rows, "ended": self.ends[:500]}

    def tick(self):
        """Ends what has worked for its time, what waited too long for its gang, and all runs after the lease."""
        if not self.up:
            return
        self.lapse()
        now = time.monotonic()
        for task in list(self.runs):
            run = self.runs.get(task)
            if run is None:
                continue
            if not run["at_work"]:
                if self.fleet.gang_complete(task, run["run"]):
                    run["at_work"] = now
                elif now - run["from"] >= GANG_TIMEOUT_S:
                    self.finish(task, "alone")
                continue
            if not run["lasts"] and now - run["at_work"] >= run["length"]:
                how = self.fleet.outcome(task, run["run"])
                self.finish(task, how)
                self.fleet.gang_ends(task, run["run"], how)

    def fenced(self, data):
        if data.get("fencing_token", 0) < self.token:
            return True
        self.token = data.get("fencing_token", 0)
        return False

    def refuse(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def extend(self, until):
        self.lease_end = max(self.lease_end, min(until, self.clock() + MAX_HOLD_MS))

    def run_start(self, data):
        task, number = data["task"], data["run"]
        if self.fenced(data):
            return self.refuse("fence")
        if data["until_ms"] <= self.clock():
            return self.refuse("late")
        self.extend(data["until_ms"])
        if task in self.runs and self.runs[task]["run"] == number:
            return 200, {"clock_ms": self.clock()}
        if number <= self.highest.get(task, 0):
            return self.refuse("old")
        self.highest[task] = number
        step = self.fleet.step(task)
        self.runs[task] = {"run": number, "from": time.monotonic(), "length": self.fleet.duration(task),
                           "lasts": step.get("long_running", False),
                           "at_work": None if step.get("gang") else time.monotonic()}
        self.fleet.started(self, task, number)
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, data):
        if self.fenced(data):
            return self.refuse("fence")
        task, number = data["task"], data["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        if task in self.runs and self.runs[task]["run"] == number:
            self.finish(task, "stopped")
            self.fleet.gang_ends(task, number, "stopped")
        return 200, {"clock_ms": self.clock()}

    def pace(self, data):
        return self.refuse("fence") if self.fenced(data) else (200, {"clock_ms": self.clock()})

    async def hold(self, data):
        if self.fenced(data):
            return self.refuse("fence")
        if "until_ms" in data:
            self.extend(data["until_ms"])
        self.fleet.noted(self, [e for e in self.ends if e[0] <= data["last_seen"]])
        self.ends = [e for e in self.ends if e[0] > data["last_seen"]]
        if not self.ends and data.get("wait_ms"):
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), data["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, self.lists()

    async def carry_out_late(self, call, data, seconds, life=None):
        """Carries out an order late; without a life, by the life that is up then (it has the same id)."""
        await asyncio.sleep(seconds)
        if self.up and life in (None, self.life):
            self.lapse()
            status, answer = getattr(self, call)(data)
            self.fleet.record(f"{call} {data['task']} run {data['run']} on {self.name} late: {status} {answer}")

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            raise Drop
        if headers.get("crocuslead-expected-instance", self.name) != self.name:
            return 421, {}
        data, call = json.loads(body), path.rsplit("/", 1)[1].replace("-", "_")
        if call != "hold" and random.random() < self.late_share:
            self.fleet.record(f"{call} {data['task']} run {data['run']} on {self.name} will be carried out late")
            seconds = random.uniform(*LATE_S)
            asyncio.get_running_loop().create_task(self.carry_out_late(call, data, seconds, self.life))
            await asyncio.sleep(LATE_S[1])
            raise Drop
        if call == "run_start" and self.fleet.late_start_s and self.fleet.late_start is None:
            self.fleet.late_start = (self, data["task"], data["run"])
            self.fleet.record(f"start {data['task']} run {data['run']} on {self.name} gets no answer")
            asyncio.get_running_loop().create_task(self.carry_out_late(call, data, self.fleet.late_start_s))
            await asyncio.sleep(LATE_S[1])
            raise Drop
        self.lapse()
        answer = getattr(self, call)(data)
        return await answer if asyncio.iscoroutine(answer) else answer


class Fleet:
    """Store, workers and processes of a test. Keeps the account that the checks use."""

    def __init__(self, record, folder):
        self.record, self.folder, self.workers, self.entries = record, folder, [], []
        self.store, self.jobs = PlatformStore(random.Random(1)), {}
        self.running, self.starts, self.ends, self.notes = {}, [], [], []
        self.breaches = []

    # Names of workers that a test can cut off.
    cuttable = ()
    # If set, the next start gets no answer and is carried out after this time: late_start is (worker, task, run).
    late_start_s, late_start = 0.0, None

    # Overridden by tests.
    def duration(self, task):
        return 0.1

    def outcome(self, task, run):
        return "done"

    def step(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def started(self, worker, task, run):
        self.record(f"start {task} run {run} on {worker.name}")
        self.starts.append((self.record.now(), task, run, worker))
        self.running.setdefault(task, []).append((worker, worker.life, run))

    def ended(self, worker, task, run, how):
        self.record(f"end {task} run {run} on {worker.name}: {how}")
        self.ends.append((self.record.now(), task, run, how, worker))
        self.running[task] = [r for r in self.running.get(task, []) if (r[0], r[2]) != (worker, run)]

    def noted(self, worker, ends):
        for number, task, run, how, _ in ends:
            self.record(f"noted {task} run {run} on {worker.name}: {how}")
            self.notes.append((self.record.now(), task, run, how, worker))

    def members(self, task, run):
        prefix = task.rsplit(".", 1)[0] + "."
        return [(w, t) for w in self.workers if w.up for t, r in w.runs.items()
                if t.startswith(prefix) and r["run"] == run]

    def gang_complete(self, task, run):
        return len(self.members(task, run)) >= self.step(task)["count"]

    def gang_ends(self, task, run, how):
        if not self.step(task).get("gang"):
            return
        for worker, member in self.members(task, run):
            worker.finish(member, "done" if how == "done" else "broken")

    def configure(self, version, routes, services=("desk",)):
        self.record(f"operator: configuration {version}, routes {[r['name'] for r in routes]}")
        self.store.put("op/config", json.dumps(
            {"version": version, "routes": routes, "services": [{"name": s} for s in services],
             "limits": {"max_body_bytes": 262144}}).encode())

    async def open(self, routes, workers=6, entries=3, version=1, cpu=16000, memory=64000, kinds=None,
                   far=()):
        _, self.store_port = await serve(self.store.handle)
        self.configure(version, routes)
        for i in range(workers):
            await self.add_worker(Worker(self, f"w-{i}", zone=f"z{1 + i % 2}", rack=f"r{1 + i % 2}", cpu=cpu,
                                         memory=memory))
            self.workers[-1].kind = (kinds or {}).get(i, "a")
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(x) for x in (self.store.expire(), self.heartbeats(), self.work())]
        for i in range(entries):
            path = await Path(self.store_port).open()
            entry = Entry(f"front-{i}", f"z{1 + i % 2}", path.port, self.folder, self.record)
            entry.store_path = path
            if i in far:
                # In the other region: 30 ms one way.
                path.latency = 0.03
            self.entries.append(entry)
            entry.start()
        await asyncio.sleep(4)

    async def add_worker(self, worker):
        worker.writers = set()
        _, worker.port = await serve(worker.handle, writers=worker.writers)
        if worker.name in self.cuttable:
            worker.path = await Path(worker.port).open()
            worker.port = worker.path.port
        self.workers.append(worker)

    async def heartbeats(self):
        """Writes the entries of the workers; one that is not renewed lapses after three intervals."""
        while True:
            for worker in self.workers:
                key = f"servers/{worker.name}"
                if worker.up and (worker.path is None or worker.path.fault is None):
                    self.store.put(key, worker.entry())
                    worker.heard = time.monotonic()
                elif time.monotonic() - worker.heard > 3 * HEARTBEAT_S:
                    self.store.remove(key)
            await self.store.notify()
            await asyncio.sleep(HEARTBEAT_S)

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            for worker in self.workers:
                worker.tick()

    def idle_jobs(self, seconds):
        """Accepted jobs with a task that has ended neither `done` nor runs, and of which nothing ran for this long."""
        now, out = self.record.now(), []
        for job, body in self.jobs.items():
            last = max([at for at, task, *_ in self.ends if task.startswith(job)], default=0.0)
            if any(self.running.get(t) for t in self.running if t.startswith(job)) or now - last < seconds:
                continue
            done = {task for _, task, _, how, _ in self.ends if how == "done" and task.startswith(job)}
            tasks = sum(step["count"] for step in body["steps"]) * max(1, body.get("repetitions", 0))
            if len(done) < tasks:
                out.append(job)
        return out

    def used_share(self):
        """The share of the processors of all workers that tasks reserve."""
        used = sum(self.step(task)["cpu"] for w in self.workers for task in w.runs)
        return used / sum(w.room["cpu"] for w in self.workers if w.up)

    async def watch_for_loss(self, seconds):
        """LOST: for 3 s, a job has nothing running although under half of the capacity is in use all the while."""
        end, idle_since = self.record.now() + seconds, {}
        while self.record.now() < end:
            now, room = self.record.now(), self.used_share() < 0.5
            idle = set(self.idle_jobs(0)) if room else set()
            idle_since = {job: idle_since.get(job, now) for job in idle}
            lost = [job for job, since in idle_since.items() if now - since > 3.0]
            if lost:
                self.record(f"LOST: {len(lost)} accepted jobs had nothing running for 3 s, {self.used_share():.1%} "
                            f"of the capacity is in use: {' '.join(sorted(lost)[:5])}")
                return True
            await asyncio.sleep(0.1)
        return False

    def leader(self):
        item = self.store.items.get("crocuslead/office/holder")
        if item is None:
            return None
        name = json.loads(base64.b64decode(item["value"]))["instance"]
        return next(e for e in self.entries if e.name == name)

    def close(self):
        for entry in self.entries:
            if entry.alive():
                entry.process.kill()
                entry.process.wait()

    async def call(self, method, path, body=None, entry=None, host="h.example", timeout=3.0):
        """One request of a caller; gives (status, object), or (0, None) without a whole answer."""
        entry = entry or random.choice([e for e in self.entries if e.alive()])

        async def exchange():
            reader, writer = await asyncio.open_connection(entry.ip, FRONT)
            try:
                data = json.dumps(body).encode() if body is not None else b""
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
                             f"Crocuslead-Deadline-Remaining: {int(timeout * 1000)}\r\n"
                             f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode() + data)
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                size = int(next(x.split(":")[1] for x in head.split("\r\n")
                                if x.lower().startswith("content-length")))
                return int(head.split(" ")[1]), json.loads(await reader.readexactly(size) or b"null")
            finally:
                writer.close()

        try:
            status, answer = await asyncio.wait_for(exchange(), timeout)
        except (OSError, ValueError, StopIteration, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status, answer = 0, None
        self.record(f"{method} {path} at {entry.name}: {status} {json.dumps(answer)}")
        return status, answer

    async def submit(self, job, body, prefix="/q/", attempts=8):
        """Hands a job in as a caller does: again after no answer, and after the time of a 503."""
        self.jobs[job] = body
        for _ in range(attempts):
            status, _ = await self.call("POST", prefix + job, body)
            if status == 200:
                return True
            await asyncio.sleep(1.0)
        return False


def route(name, host="h.example", prefix="/q/", service="desk", max_attempts=3, priority=0):
    return {"name": name, "host": host, "prefix": prefix, "kind": "unsafe", "timeout_ms": 3000,
            "target_duration_ms": 600, "priority": priority, "service": service, "max_attempts": max_attempts,
            "stretch": 1.5}


def main(test, make_fleet=Fleet):
    """Runs test(fleet, trouble); it returns True if the rule held. Exit codes: 0 held, 1 broken, 2 not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt"))

    async def run():
        # Connections that the end of the test closes are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        with tempfile.TemporaryDirectory() as folder:
            fleet = make_fleet(record, folder)
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, lambda: (fleet.close(), os._exit(2)))
            try:
                held = await asyncio.wait_for(test(fleet, trouble), 112)
                record("the rule held" if held else "THE RULE WAS BROKEN")
                code = 0 if held else 1
            except Exception as error:  # The case could not run.
                record(f"not run: {error!r}")
                print(f"not run: {error!r}", file=sys.stderr)
                code = 2
            finally:
                fleet.close()
                if os.environ.get("KEEP_LOGS"):
                    shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        # Without the end of the loop, which would wait for open connections.
        sys.stdout.flush()
        os._exit(code)

    asyncio.run(run())
