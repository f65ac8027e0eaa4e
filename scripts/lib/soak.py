"""Randomized soak: real entry instances as processes, faults from outside, checks from what callers and
workers see. Usage: soak.py [--seed N] [--seeds N] [--seconds S] [--instances N] [--workers N] [--keep]
"""

import argparse
import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time

from platform_standin import MAX_HOLD_MS, Account, Relay, Store, Worker, make_random, serve

BINARY = os.environ.get("CROCUSLEAD_BINARY", "build/crocuslead")
HEARTBEAT = 0.5
SETTLE_SECONDS = 25
ATTEMPTS = 6
PEER_PORT = 7720


class Instance:
    """One entry instance with its own way to the store and from the other instances."""

    def __init__(self, number, relay, peers, folder):
        self.ip, self.relay, self.peers = self.address(number), relay, peers
        self.log = open(f"{folder}/entry-{number}.log", "ab")
        self.path, self.process, self.stopped = f"{folder}/entry-{number}.conf", None, False
        with open(self.path, "w", encoding="ascii") as out:
            out.write(f"node=entry-{number}\nip={self.ip}\nzone=z1\nregion=r1\n"
                      f"listen_addresses.front={self.ip}:7100\nlisten_addresses.ready={self.ip}:7101\n"
                      f"internal_port_range={PEER_PORT},7735\npeer_address=127.0.0.1:{peers.port}\n"
                      f"platform.address=127.0.0.1:{relay.port}\n"
                      f"limits.cpu_share=0.25\nbounds.max_hold_ms={MAX_HOLD_MS}\nbounds.stop_timeout_ms=400\n"
                      "bounds.status_s=120\nbounds.harm_ms=4000\nbounds.grace_period_s=6\n"
                      "bounds.config_apply_ms=3000\n")

    @staticmethod
    def address(number):
        return f"127.0.0.{10 + number}"

    def start(self):
        self.process = subprocess.Popen([BINARY, "entry"], stdout=self.log, stderr=self.log,
                                        env={"CROCUSLEAD_BOOT": self.path, "PATH": "/usr/bin",
                                             "CROCUSLEAD_RECORD_FORMAT": "payloads-apart"})

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)


async def call(ip, method, path, body=None, timeout=3.0):
    """One HTTP request; gives (status, object), or (0, None) without a whole answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, 7100)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(data)}\r\n"
                         "Connection: close\r\n\r\n".encode() + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            size = int(next(x.split(":")[1] for x in head.split("\r\n") if x.lower().startswith("content-length")))
            return int(head.split(" ")[1]), json.loads(await reader.readexactly(size) or b"null")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, ValueError, StopIteration, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None


class Soak:
    def __init__(self, args, seed, folder):
        self.args, self.seed, self.folder, self.rng = args, seed, folder, make_random(seed)
        self.account, self.accepted, self.refused, self.cancelled = Account(), {}, set(), set()
        self.breaches, self.counts, self.number = [], {"jobs": 0, "faults": 0, "restarts": 0}, 0

    def note(self, text):
        self.counts["faults"] += 1
        print(f"  {time.monotonic() - self.began:6.2f} {text}", file=self.events, flush=True)

    async def setup(self):
        self.began, self.events = time.monotonic(), open(f"{self.folder}/events.log", "w", encoding="ascii")
        self.store = Store(self.rng)
        _, port = await serve(self.store.handle)
        config = {"version": 1, "routes": [{"name": "q", "host": "h", "prefix": "/q/", "kind": "unsafe",
                                            "timeout_ms": 3000, "target_duration_ms": 600, "priority": 0,
                                            "service": "desk", "max_attempts": ATTEMPTS, "stretch": 1.5}],
                  "services": [{"name": "desk"}], "limits": {}}
        self.store.put("op/config", json.dumps(config).encode())
        self.workers = []
        for i in range(self.args.workers):
            worker = Worker(f"i-{i}", self.account, self.rng, self.seed)
            _, worker_port = await serve(worker.handle)
            worker.relay = await Relay(worker_port).open()
            self.workers.append(worker)
        self.instances = []
        for i in range(self.args.instances):
            peers = await Relay(PEER_PORT, Instance.address(i)).open()
            self.instances.append(Instance(i, await Relay(port).open(), peers, self.folder))
            self.instances[-1].start()
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(x) for x in [self.store.expire(), self.heartbeats()] +
                      [w.work() for w in self.workers]]

    async def heartbeats(self):
        while True:
            for worker in self.workers:
                self.store.put(f"servers/{worker.name}", worker.entry(worker.relay.port))
            await self.store.notify()
            await asyncio.sleep(HEARTBEAT)

    async def client(self):
        """Hands in one job after the other and follows them to their end."""
        while time.monotonic() < self.end:
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))
            self.number += 1
            job = f"{self.seed & 0xFFFFFFFF:08x}{self.number:08x}"
            steps = [{"count": self.rng.randint(1, 5), "cpu": 500, "memory_limit_mb": 100, "estimated_ms": 500,
                      **({"after": [s - 1]} if s else {})} for s in range(self.rng.randint(1, 3))]
            outcomes = []
            for _ in range(4):
                status, _ = await call(self.pick().ip, "POST", f"/q/{job}", {"task_spec": "t", "steps": steps})
                outcomes.append(status)
                if status == 200:
                    break
                await asyncio.sleep(0.3)
            self.counts["jobs"] += 1
            if outcomes[-1] == 200:
                self.accepted[job] = steps
                if self.rng.random() < 0.1:
                    # A call without an answer may have been executed.
                    self.cancelled.add(job)
                    await call(self.pick().ip, "DELETE", f"/q/{job}")
            elif all(status in (429, 503) for status in outcomes):
                self.refused.add(job)

    async def reader(self):
        """Reads states all the time: an accepted job is always known."""
        while time.monotonic() < self.end:
            await asyncio.sleep(0.1)
            if self.accepted:
                job = self.rng.choice(list(self.accepted))
                status, body = await call(self.pick().ip, "GET", f"/q/{job}")
                if status == 410:
                    self.breaches.append(f"accepted job {job} is answered 410")
                if status == 200 and body["state"] == "completed":
                    self.check_completed(job)

    def check_completed(self, job):
        for s, step in enumerate(self.accepted[job]):
            for i in range(step["count"]):
                name = f"{job}.0.{s}.{i}"
                if self.account.running.get(name) and name not in self.account.done:
                    self.breaches.append(f"{job} is shown as completed while {name} runs")

    def pick(self):
        return self.rng.choice([i for i in self.instances if i.alive()] or self.instances)

    async def fault(self):
        """Injects faults that overlap, each undone after a while."""
        kinds = [self.kill, self.pause, self.terminate, self.store_fault, self.store_cut, self.worker_cut,
                 self.peer_cut, self.rebirth, self.slow_worker, self.revoke, self.kill_all]
        while time.monotonic() < self.end:
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
            asyncio.get_running_loop().create_task(self.rng.choice(kinds)())

    async def restart(self, instance, pause):
        await asyncio.sleep(pause)
        if not instance.alive():
            self.counts["restarts"] += 1
            instance.start()

    async def kill(self):
        instance = self.rng.choice(self.instances)
        self.note(f"kill {instance.ip}")
        instance.signal(signal.SIGKILL)
        await self.restart(instance, self.rng.uniform(0.2, 3))

    async def kill_all(self):
        self.note("kill all")
        for instance in self.instances:
            instance.signal(signal.SIGKILL)
        await asyncio.gather(*(self.restart(i, 0.5) for i in self.instances))

    async def pause(self):
        instance = self.rng.choice(self.instances)
        self.note(f"pause {instance.ip}")
        instance.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.5, 5))
        instance.signal(signal.SIGCONT)

    async def terminate(self):
        instance = self.rng.choice(self.instances)
        self.note(f"terminate {instance.ip}")
        instance.signal(signal.SIGTERM)
        await self.restart(instance, 6)

    async def store_fault(self):
        fault = self.rng.choice(["busy", "silent", "lose", "late", "compact"])
        self.note(f"store {fault}")
        if fault == "compact":
            self.store.compact()
        elif fault == "lose":
            self.store.lose_answers = 0.3
        elif fault == "late":
            self.store.late_writes = 0.2
        else:
            self.store.mode = fault
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        self.store.mode, self.store.lose_answers, self.store.late_writes = None, 0.0, 0.0

    async def store_cut(self):
        relay = self.rng.choice(self.instances).relay
        await self.cut(relay, f"store path {relay.port}")

    async def worker_cut(self):
        worker = self.rng.choice(self.workers)
        await self.cut(worker.relay, f"worker {worker.name}")

    async def peer_cut(self):
        instance = self.rng.choice(self.instances)
        await self.cut(instance.peers, f"path of the others to {instance.ip}")

    async def cut(self, relay, name):
        relay.fault = self.rng.choice(["delay", "silent", "there", "back", "reset"])
        self.note(f"{name} {relay.fault}")
        if relay.fault == "reset":
            relay.reset()
        await asyncio.sleep(self.rng.uniform(0.5, 6))
        relay.fault = None

    async def rebirth(self):
        worker = self.rng.choice(self.workers)
        self.note(f"rebirth {worker.name}")
        worker.relay.reset()
        worker.life()

    async def slow_worker(self):
        worker = self.rng.choice(self.workers)
        self.note(f"worker {worker.name} stands still or is late")
        worker.stands, worker.late_orders = self.rng.random() < 0.5, 0.3
        await asyncio.sleep(self.rng.uniform(1, 4))
        worker.stands, worker.late_orders = False, 0.0

    async def revoke(self):
        if self.store.leases:
            lease = self.rng.choice(list(self.store.leases))
            self.note(f"revoke lease {lease}")
            await self.store.end_lease(lease)

    async def settle(self):
        """After the faults every accepted job reaches a final state."""
        limit = time.monotonic() + SETTLE_SECONDS
        open_jobs = set(self.accepted)
        while open_jobs and time.monotonic() < limit:
            for instance in self.instances:
                if not instance.alive():
                    instance.start()
            for job in list(open_jobs):
                status, body = await call(self.pick().ip, "GET", f"/q/{job}")
                if status == 200 and body["state"] in ("completed", "failed", "cancelled"):
                    open_jobs.discard(job)
                    if body["state"] == "cancelled" and job not in self.cancelled:
                        self.breaches.append(f"{job} is shown as cancelled; nobody cancelled it")
            await asyncio.sleep(0.2)
        self.breaches += [f"{job} has no final state" for job in sorted(open_jobs)[:5]]
        self.breaches += [f"{job} was refused by every answer and started"
                          for job in sorted(self.refused & self.account.started)]
        self.breaches += self.account.breaches

    async def run(self):
        await self.setup()
        await asyncio.sleep(1.5)
        self.end = time.monotonic() + self.args.seconds
        await asyncio.gather(self.client(), self.client(), self.client(), self.reader(), self.fault())
        await asyncio.sleep(7)
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
        await self.settle()
        for task in self.tasks:
            task.cancel()

    def stop(self):
        for instance in self.instances:
            if instance.alive():
                instance.process.kill()
                instance.process.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--workers", type=int, default=8)
    args = parser.parse_args()
    if args.seeds > 1:
        sys.exit(run_each(args))
    folder = tempfile.mkdtemp(prefix=f"soak-{args.seed}-")
    soak = Soak(args, args.seed, folder)
    asyncio.run(run_one(soak, folder))


def run_each(args):
    """One process for each seed, so that nothing is carried over."""
    failed = 0
    for seed in range(args.seed, args.seed + args.seeds):
        words = ["--seed", seed, "--seconds", args.seconds, "--instances", args.instances, "--workers", args.workers]
        failed += subprocess.run([sys.executable, __file__, *map(str, words)], check=False).returncode != 0
    print(f"{args.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


async def run_one(soak, folder):
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    try:
        await soak.run()
    finally:
        soak.stop()
    verdict = "ok" if not soak.breaches else "FAILED"
    print(f"seed {soak.seed}: {verdict}, {len(soak.accepted)} of {soak.counts['jobs']} jobs accepted, "
          f"{soak.counts['faults']} faults, {soak.counts['restarts']} restarts")
    for breach in soak.breaches[:10]:
        print(f"  {breach}")
    if soak.breaches:
        print(f"  logs: {folder}")
    else:
        shutil.rmtree(folder)
    sys.stdout.flush()
    # Open connections of the stand-ins end with the process.
    os._exit(1 if soak.breaches else 0)


if __name__ == "__main__":
    main()
