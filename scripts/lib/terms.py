"""Randomized changes of the coordinator, checked against TWICE (no task runs twice at once) and LOST.

Real entry instances and stand-in workers in three failure domains; the store is in the first one. Jobs that
last and finite ones are submitted, cancelled and read through any entry while domains, store paths and workers
fail, overlapping and in series. Entries reach each other through proxies; what one sends to another, and the
requests to workers that one carries for another, are cut with its domain as well. Workers tell the entry that carries
a request by the process at the other end of the connection, and the one that decided on it by its fencing token and
the leader keys that the store has seen. The workers' view decides what ran, not the entries' logs.

Beside the faults there is planned work: entries are stopped, alone or all in a series, and workers are replaced,
one or several overlapping: the new one registers, the old one drains, serves on for some seconds and leaves.
Each seed that can be divided by 3 has planned work only. The kind replace-and-kill joins both: all workers are
replaced in a series, and the coordinator is killed several times, each time between the record that announces the next
start of a lasting task that was moved off its worker and that start, or just after it.

LOST is checked for each lasting task of an accepted job that nobody cancelled, once it ran before, in two ways:
- It has no run for over 8 s of calm time, which begins 11 s after the last fault, although two workers have room for
  it all the while. That is in effect for seeds of planned work only.
- As in the rule, it has no run for over 9 s (6 s and 3 s), whatever went on in them, if two workers had room for it
  in the last 3 s and no fault went on in the last 7 s (3 s and 4 s). Planned work is no fault. A kill is one until
  the instance starts again, and so is a request that arrives late until it has been carried out.

Not covered: no clock jumps, and LOST says nothing about finite jobs. With all kinds of faults the last 7 s are calm
only while a seed settles; with --only-faults replace-and-kill also between two series.

Usage: terms.py [--seed N] [--seeds N] [--seconds S] [--binary PATH] [--max-hold-ms MS] [--quiet-faults KIND,..]
       [--only-faults KIND,..] [--beside-faults KIND,..] [--longest-late S]
       [--born-back-ms MS] [--longest-job S]
With --only-faults the faults mostly come one after the other, and those of --beside-faults in a series of their own at
the same time. scripts/restarts uses both for workers that restart and take requests meant for their former life.

The exit code is 1 with breaches, whose logs are kept, 2 if nothing ran, and 0 otherwise.
"""

import argparse
import asyncio
import base64
import collections
import contextlib
import json
import math
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import traceback

import soak
from domains import DOMAINS, STORE_DOMAIN, DomainWorker, Entry, TermStore, free_address, socket_owner
from platform_standin import BORN_BACK_MS, LATE_SECONDS, MAX_HOLD_MS, NEXT_LIFE_SECONDS, make_random, serve, term_of
from runs import Runs, report

ENTRIES, WORKERS = 2, 4  # in each domain
HEARTBEAT = 1.1
LAPSE = 3 * HEARTBEAT
SETTLE_SECONDS = 9
LONG_JOBS = 8
DRAIN_SECONDS = (2, 7)
LONGEST_REST = 60  # for the start, the last faults and the settling
GRACE_SECONDS = 6
DOWN_SECONDS = (0.1, 1.0)
RECUT_SECONDS = (5, 9)
AGAIN_SHARE = 0.25  # of the restarts, if other faults come beside them, are followed by another one
# What ends a term while its coordinator goes on is drawn more often than the other kinds.
SHARES = {"coordinator-domain": 5, "domain": 2, "coordinator-store": 2, "one-way": 2, "watches-only": 2,
          "replace-worker": 2, "roll": 2, "pause-relay": 2, "peer-path": 2, "replace-and-kill": 2}
PLANNED = ("replace-worker", "roll", "terminate")
# Calm begins this long after the last fault, whose late requests arrive first.
CALM_SECONDS = 5 + LATE_SECONDS[1]
CHECK_INTERVAL = 0.1
# The spans of the rule LOST: the check itself, and what has to be calm before it.
RULE_SPAN, CALM_BEFORE = 3.0, 4.0
LONGEST_KILL_DELAY = 0.008  # from the record that announces the next start of a moved task to when it is sent, or so
KILLS_APART = (2, 5)


class Run:
    """Store, workers, entries, callers and faults of one seed."""

    def __init__(self, args, folder):
        self.args, self.folder, self.rng = args, folder, make_random(args.seed)
        self.terms, self.lost, self.long_jobs, self.cancelled = {}, collections.Counter(), {}, set()
        self.quiet, self.only = set(args.quiet_faults.split(",")), set(filter(None, args.only_faults.split(",")))
        self.beside = set(filter(None, args.beside_faults.split(",")))
        self.faults, self.jobs, self.accepted, self.fault_tasks = 0, 0, [], []
        self.began, self.events = time.monotonic(), open(f"{folder}/events.log", "w", encoding="ascii")
        self.account, self.store = Runs(self), TermStore(self.rng, self)
        self.workers, self.entries, self.worker_ip, self.replaced = {}, {}, free_address(), 0
        self.rolling, self.left_in_roll, self.unplanned, self.calm_from = False, 0, 0, 0.0
        self.going_on, self.fault_at, self.kill_from = 0, 0.0, math.inf
        self.moving = set()  # lasting jobs with a run that ended at a draining worker, until their next record
        # Requests, and those of them that start a run, that were meant for an earlier life of their worker.
        self.carried_over, self.carried_starts = 0, 0
        self.relayed_starts = 0

    def note(self, text):
        print(f"{time.monotonic() - self.began:8.3f} {text}", file=self.events, flush=True)

    def passes(self, source, target, what):
        return self.lost[source, target, what] == 0

    def passes_peers(self, source, target):
        return self.passes(source.domain, target.domain, "peer") and self.passes(source.name, target.name, "peer")

    def owner(self, peer, own):
        """The entry whose process has the connection from peer to own; None if it has ended."""
        processes = {e.process.pid: e for e in self.entries.values() if e.alive()}
        return processes.get(socket_owner(peer, own, processes))

    def carrier(self, context):
        if "carrier" not in context:
            context["carrier"] = self.owner(context["peer"], context["own"])
        return context["carrier"]

    def sender(self, data):
        return self.entries.get(self.terms.get(term_of(data), (None,))[0])

    def coordinator(self):
        item = self.store.items.get("crocuslead/office/holder")
        name = json.loads(base64.b64decode(item["value"]))["instance"] if item else None
        return self.entries.get(name) or self.rng.choice(list(self.entries.values()))

    async def setup(self):
        config = {"version": 1, "routes": [{"name": "q", "host": "h", "prefix": "/q/", "kind": "unsafe",
                                            "timeout_ms": 3000, "target_duration_ms": 600, "priority": 0,
                                            "service": "desk", "max_attempts": 6, "stretch": 1.5}],
                  "services": [{"name": "desk"}], "limits": {}}
        self.store.put("op/config", json.dumps(config).encode())
        loop = asyncio.get_running_loop()
        loop.create_task(self.store.expire())
        for domain in DOMAINS:
            for i in range(WORKERS):
                await self.add_worker(f"w-{domain}-{i}", domain)
            for i in range(ENTRIES):
                entry = Entry(f"entry-{domain}-{i}", domain, self.folder, self)
                self.entries[entry.name] = entry
                await entry.open_peer_proxy()
                entry.write((await serve(entry.store_call))[1], self.args.max_hold_ms)
        for entry in self.entries.values():
            entry.start()

    async def add_worker(self, name, domain):
        worker = self.workers[name] = DomainWorker(name, self, self.rng, domain)
        await worker.begin()
        asyncio.get_running_loop().create_task(self.heartbeats(worker))
        return worker

    def present(self):
        return [w for w in self.workers.values() if not w.left]

    async def register(self, worker):
        """Writes the entry of a worker, or removes it if the worker has left; False if the store is out of reach."""
        if self.store.mode is not None or not self.passes(worker.zone, STORE_DOMAIN, "store"):
            return False
        if worker.cut or not worker.up.is_set():
            return False
        if worker.left:
            self.store.remove(f"servers/{worker.name}")
        else:
            self.store.put(f"servers/{worker.name}", worker.entry())
            worker.registered_at = min(worker.registered_at, time.monotonic())
        await self.store.notify()
        return True

    async def heartbeats(self, worker):
        """Registers a worker; its entry lapses after three missed intervals."""
        key, last = f"servers/{worker.name}", 0.0
        while not worker.left or key in self.store.items:
            if not worker.left and await self.register(worker):
                last = time.monotonic()
            elif time.monotonic() - last > LAPSE and key in self.store.items and not self.store.keeps_leases:
                self.store.remove(key)
                await self.store.notify()
            await asyncio.sleep(HEARTBEAT)

    def pick(self):
        return self.rng.choice([e for e in self.entries.values() if e.alive()] or list(self.entries.values()))

    async def client(self, lasting):
        while time.monotonic() < self.end:
            await asyncio.sleep(self.rng.uniform(0.2, 0.9) * self.args.pause)
            if lasting and len(self.long_jobs) >= LONG_JOBS:
                continue
            self.jobs += 1
            job = f"{'a' if lasting else 'f'}{self.args.seed & 0xFFFFFFF:07x}{self.jobs:08x}"
            step = {"count": self.rng.randint(3, 8), "cpu": 500, "memory_limit_mb": 100, "estimated_ms": 900}
            if lasting:
                step.update(long_running=True, anti_affinity=self.rng.randint(1, 2))
                self.long_jobs[job] = step
                asyncio.get_running_loop().create_task(self.cancel(job, self.rng.uniform(8, self.args.longest_job)))
            for _ in range(4):
                status, _ = await soak.call(self.pick().ip, "POST", f"/q/{job}", {"task_spec": "t", "steps": [step]})
                if status == 200:
                    self.accepted.append(job)
                    break
                await asyncio.sleep(0.3)

    async def cancel(self, job, after):
        await asyncio.sleep(after)
        self.cancelled.add(job)
        for _ in range(5):
            if (await soak.call(self.pick().ip, "DELETE", f"/q/{job}"))[0] in (200, 410):
                break
            await asyncio.sleep(0.5)
        self.long_jobs.pop(job)

    async def reader(self):
        while time.monotonic() < self.end:
            await asyncio.sleep(0.15)
            if self.accepted:
                await soak.call(self.pick().ip, "GET", f"/q/{self.rng.choice(self.accepted[-40:])}")

    def workers_with_room(self, job, step):
        """Counts workers that could run one more task of the step and stay; ones just registered may be unknown."""
        known = time.monotonic() - 2 * CHECK_INTERVAL - HEARTBEAT
        return sum(w.leaves_at is None and w.registered_at < known and w.up.is_set() and not w.cut
                   and (len(w.runs) + 1) * step["cpu"] <= w.cpu
                   and sum(t.startswith(job) for t in w.runs) < step["anti_affinity"] for w in self.present())

    async def watch(self):
        """Looks for LOST. A check counts while no fault goes on, this process is not held up and there is room."""
        before, full = time.monotonic(), {}
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            now = time.monotonic()
            if self.unplanned:
                self.calm_from = now + CALM_SECONDS
            elif now - before > 10 * CHECK_INTERVAL:
                self.calm_from = max(self.calm_from, now)
            if self.going_on or now - before > 10 * CHECK_INTERVAL:
                self.fault_at = now
            before = now
            for job, step in list(self.long_jobs.items()):
                if self.workers_with_room(job, step) < 2:
                    full[job] = now
                if job in self.accepted and job not in self.cancelled:
                    by_rule = now > max(self.fault_at + CALM_BEFORE, full.get(job, 0.0)) + RULE_SPAN
                    for i in range(step["count"]):
                        self.account.look(f"{job}.0.0.{i}", max(self.calm_from, full.get(job, 0.0)), by_rule)

    async def inject(self, planned, beside=False):
        """Injects faults, or planned work, one after the other and, at times, several within a second."""
        kinds = {"domain": self.domain, "coordinator-domain": self.coordinator_domain, "one-way": self.one_way,
                 "coordinator-store": self.coordinator_store, "watches-only": self.watches_only,
                 "store-down": self.store_down, "store-loses-answers": self.store_loses_answers,
                 "leader-key": self.leader_key, "compact": self.compact, "worker-answers": self.worker_answers,
                 "late-orders": self.late_orders, "rebirth": self.rebirth, "restart-and-cut": self.restart_and_cut,
                 "pause": self.pause, "kill": self.kill, "pause-relay": self.pause_relay,
                 "kill-relay": self.kill_relay, "peer-path": self.peer_path, "peer-delay": self.peer_delay,
                 "peer-reset": self.peer_reset,
                 "terminate": self.terminate, "replace-worker": self.replace_worker, "roll": self.roll,
                 "replace-and-kill": self.replace_and_kill}
        names = [name for name in kinds if name not in self.quiet and (name in PLANNED) == planned
                 and (name in self.beside if beside else not self.only or name in self.only)
                 for _ in range(SHARES.get(name, 1))]
        while names and time.monotonic() < self.end:
            await asyncio.sleep(self.rng.uniform(0.3, 2.8))
            name = self.rng.choice(names)
            for _ in range(self.rng.randint(2, 4) if self.rng.random() < 0.2 else 1):
                self.faults += 1
                # This kind is planned work, but for its kills, which it marks as faults itself.
                unmarked = planned or name == "replace-and-kill"
                fault = kinds[name]() if unmarked else self.disturb(kinds[name])
                self.fault_tasks.append(asyncio.get_running_loop().create_task(fault))
                if self.only and self.rng.random() < 0.8:
                    await asyncio.wait({self.fault_tasks[-1]})
                await asyncio.sleep(self.rng.uniform(0.1, 1.2))

    @contextlib.contextmanager
    def fault(self):
        """Marks the time of a fault, or of a request on its late way, as not calm."""
        self.going_on += 1
        try:
            yield
        finally:
            self.going_on -= 1
            self.fault_at = time.monotonic()

    async def disturb(self, kind):
        """Injects a fault, as opposed to planned work, and notes that it goes on."""
        self.unplanned += 1
        try:
            with self.fault():
                await kind()
        finally:
            self.unplanned -= 1
            self.calm_from = time.monotonic() + CALM_SECONDS

    async def cut(self, text, pairs, seconds):
        self.note(f"{text} for {seconds:.1f} s")
        self.lost.update(pairs)
        await asyncio.sleep(seconds)
        self.lost.subtract(pairs)
        self.note(f"{text} is over")

    async def domain(self, domain=None):
        domain = domain or self.rng.choice(DOMAINS)
        pairs = [(s, t, what) for s in DOMAINS for t in DOMAINS for what in ("store", "worker", "peer")
                 if s != t and domain in (s, t)]
        await self.cut(f"domain {domain} cut off", pairs, self.rng.uniform(0.8, 14))

    async def coordinator_domain(self):
        domain = self.coordinator().domain
        await self.perhaps_leader_key()
        await self.domain(domain)

    async def one_way(self):
        domain, outward = self.rng.choice((self.coordinator().domain, *DOMAINS)), self.rng.random() < 0.5
        pairs = [(domain, d, "worker") if outward else (d, domain, "worker") for d in DOMAINS if d != domain]
        await self.cut(f"{domain} to workers one way, {'out' if outward else 'in'}", pairs, self.rng.uniform(0.8, 9))

    async def coordinator_store(self, watches=None):
        entry = self.coordinator()
        seconds = self.rng.uniform(0.8, 14)
        await self.perhaps_leader_key()
        self.note(f"store path of {entry.name} cut for {seconds:.1f} s, except watches {watches}")
        entry.cuts, entry.watches = entry.cuts + 1, watches
        await asyncio.sleep(seconds)
        entry.cuts, entry.watches = entry.cuts - 1, None
        self.note(f"store path of {entry.name} is back")

    async def watches_only(self):
        prefix = self.rng.choice(["", "crocuslead/jobs/", "servers/"])
        await self.coordinator_store((prefix, self.rng.random() < 0.5))

    async def store_down(self):
        mode, keeps, seconds = self.rng.choice(["busy", "silent"]), self.rng.random() < 0.5, self.rng.uniform(0.8, 8)
        self.note(f"store {mode} for {seconds:.1f} s, leases {'pause' if keeps else 'lapse'}")
        self.store.mode, self.store.keeps_leases = mode, keeps
        await asyncio.sleep(seconds)
        self.store.mode, self.store.keeps_leases = None, False

    async def store_loses_answers(self):
        self.note("store loses answers")
        self.store.lose_answers, self.store.late_writes = 0.3, self.rng.choice([0.0, 0.15])
        for entry in self.entries.values():
            entry.lose = self.rng.choice([0.0, 0.2])
        await asyncio.sleep(self.rng.uniform(0.8, 5))
        self.store.lose_answers, self.store.late_writes = 0.0, 0.0
        for entry in self.entries.values():
            entry.lose = 0.0

    async def leader_key(self):
        item = self.store.items.get("crocuslead/office/holder")
        self.note("leader key taken away")
        if item:
            await self.store.end_lease(item["lease"])

    async def perhaps_leader_key(self):
        """At times a cut begins with the end of the leader key, so that the next term begins at once."""
        if "leader-key" not in self.quiet and self.rng.random() < 0.3:
            await self.leader_key()

    async def compact(self):
        self.note("history compacted")
        self.store.compact()

    async def worker_answers(self):
        chosen = self.rng.sample(self.present(), len(self.present()) // 2)
        self.note(f"answers lost of {' '.join(w.name for w in chosen)}")
        for worker in chosen:
            worker.loses_answers = True
        await asyncio.sleep(self.rng.uniform(0.8, 8))
        for worker in chosen:
            worker.loses_answers = False

    async def late_orders(self):
        chosen = self.rng.sample(self.present(), 4)
        if self.beside:
            # All of a domain, which is then the next one to be restarted.
            chosen = [w for w in self.present() if w.zone == chosen[0].zone]
        self.note(f"late orders at {' '.join(w.name for w in chosen)}")
        for worker in chosen:
            worker.late_orders = 0.4
        await asyncio.sleep(self.rng.uniform(1, 5))
        for worker in chosen:
            worker.late_orders = 0.0

    async def rebirth(self):
        worker, seconds = self.rng.choice(self.present()), self.rng.choice([0.0, self.rng.uniform(*DOWN_SECONDS)])
        self.note(f"{worker.name} is born again after {seconds:.2f} s")
        await worker.restart(seconds)

    async def restart_and_cut(self):
        """Restarts the workers of a domain and cuts them off soon after, at times before anybody has heard of them."""
        domain, down = self.rng.choice(DOMAINS), self.rng.uniform(*DOWN_SECONDS)
        if self.beside:
            domain = next((w.zone for w in self.present() if w.late_orders and not w.cut), domain)
        chosen = [w for w in self.present() if w.zone == domain and w.up.is_set() and not w.cut]
        loses = self.rng.random() < 0.5
        ends_term = self.rng.choice([None, None, signal.SIGKILL, signal.SIGTERM])
        seen, seconds = math.exp(self.rng.uniform(math.log(0.02), math.log(2))), self.rng.uniform(*RECUT_SECONDS)
        self.note(f"workers of {domain} are down for {down:.2f} s, {seen:.2f} s later cut off for {seconds:.1f} s, "
                  f"answers {'lost' if loses else 'kept'}, {ends_term} for the coordinator")
        if ends_term:
            asyncio.get_running_loop().create_task(self.end_term(ends_term, self.rng.uniform(0, down + seen + 0.5)))
        again = self.rng.uniform(*DOWN_SECONDS) if self.beside and self.rng.random() < AGAIN_SHARE else None
        restarts = [self.restart_worker(worker, down, again) for worker in chosen]
        if loses:
            for worker in chosen:
                worker.loses_answers = True
        await asyncio.gather(*restarts)
        await asyncio.sleep(seen)
        for worker in chosen:
            worker.cut = True
        await asyncio.sleep(seconds)
        for worker in chosen:
            worker.cut = worker.loses_answers = False
        self.note(f"workers of {domain} are back")

    async def restart_worker(self, worker, down, again):
        """Restarts a worker, at times a second time soon after; the last life may be born before the one before it."""
        await worker.restart(down)
        if again:
            await asyncio.sleep(again)
            await worker.restart(down)

    async def end_term(self, number, after):
        await asyncio.sleep(after)
        entry = self.coordinator()
        self.note(f"{entry.name} gets {number}")
        entry.signal(number)
        await self.restart(entry)

    async def pause(self):
        entry, seconds = self.coordinator(), self.rng.uniform(1, 6)
        self.note(f"{entry.name} paused for {seconds:.1f} s")
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        entry.signal(signal.SIGCONT)

    def relay(self):
        leader = self.coordinator()
        return self.rng.choice([e for e in self.entries.values() if e is not leader])

    async def pause_relay(self):
        entry, seconds = self.relay(), self.rng.uniform(0.3, 6)
        self.note(f"{entry.name} paused for {seconds:.1f} s, relay")
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        entry.signal(signal.SIGCONT)

    async def kill_relay(self):
        entry = self.relay()
        self.note(f"{entry.name} killed, relay")
        entry.signal(signal.SIGKILL)
        await self.restart(entry)

    async def peer_path(self):
        """Cuts the path between the coordinator and some others, one way or both ways."""
        leader, pairs = self.coordinator(), []
        ways = self.rng.choice([(True, False), (False, True), (True, True)])
        for entry in self.rng.sample(list(self.entries.values()), self.rng.randint(1, 4)):
            pairs += [(leader.name, entry.name, "peer")] * ways[0] + [(entry.name, leader.name, "peer")] * ways[1]
        await self.cut(f"{leader.name} to entries, {ways}, {len(pairs)} paths", pairs, self.rng.uniform(0.8, 9))

    async def peer_delay(self):
        entry, seconds = self.rng.choice([self.coordinator(), self.relay()]), self.rng.uniform(0.8, 6)
        entry.peer_delay = self.rng.choice([0.1, 0.5, 2.0])
        self.note(f"messages to {entry.name} take up to {entry.peer_delay} s for {seconds:.1f} s")
        await asyncio.sleep(seconds)
        entry.peer_delay = 0.0

    async def peer_reset(self):
        entry = self.rng.choice([self.coordinator(), self.relay()])
        self.note(f"connections of entries to {entry.name} reset")
        entry.reset_peers()

    async def kill(self):
        entry = self.coordinator()
        self.note(f"{entry.name} killed")
        entry.signal(signal.SIGKILL)
        await self.restart(entry)

    async def terminate(self):
        entry = self.coordinator()
        self.note(f"{entry.name} terminated")
        entry.signal(signal.SIGTERM)
        await self.restart(entry)

    async def roll(self):
        """Stops all entries in a series, as for a new version; at times whichever coordinates is the next."""
        if self.rolling:
            return
        self.rolling, left, follow, stops = True, list(self.entries.values()), self.rng.random() < 0.5, []
        while left:
            entry = self.coordinator()
            if not follow or entry not in left:
                entry = self.rng.choice(left)
            left.remove(entry)
            self.note(f"{entry.name} terminated in a series")
            entry.signal(signal.SIGTERM)
            stops.append(asyncio.get_running_loop().create_task(self.restart(entry)))
            await asyncio.sleep(self.rng.uniform(1, 2))
        await asyncio.gather(*stops)
        self.rolling = False

    async def replace_worker(self):
        """Replaces one worker or, in a series, several."""
        staying, series = [w for w in self.present() if not w.replacing], []
        for worker in self.rng.sample(staying, min(len(staying), self.rng.choice([1, 1, 4, len(staying)]))):
            series.append(asyncio.get_running_loop().create_task(self.replace(worker)))
            await asyncio.sleep(self.rng.uniform(0.3, 0.7))
        await asyncio.gather(*series)

    async def replace_and_kill(self):
        """Replaces all workers in a series, and half of the time the one that began a lasting task last, so that moved
        tasks move again. Kills the coordinator several times, each time as it has announced their next starts."""
        if self.kill_from < math.inf:
            return
        self.kill_from, series = time.monotonic() + self.rng.uniform(0, KILLS_APART[1]), []
        first = self.rng.sample(self.present(), len(self.present()))
        while first := [w for w in first if not w.replacing]:
            latest = max((w for w in self.present() if not w.replacing), key=lambda w: max(
                (run["from"] for task, run in w.runs.items() if task[0] == "a"), default=0.0))
            worker = self.rng.choice([first[0], latest])
            series.append(asyncio.get_running_loop().create_task(self.replace(worker)))
            await asyncio.sleep(self.rng.uniform(0.3, 0.7))
        self.kill_from = math.inf
        await asyncio.gather(*series)

    def wrote(self, key):
        """Has the coordinator killed if it has recorded how a lasting task goes on that was moved off a worker."""
        if time.monotonic() >= self.kill_from and key.rsplit("/", 1)[-1] in self.moving:
            self.kill_from = time.monotonic() + self.rng.uniform(*KILLS_APART)
            self.fault_tasks.append(asyncio.get_running_loop().create_task(self.disturb(self.kill_soon)))
        self.moving.discard(key.rsplit("/", 1)[-1])

    async def kill_soon(self):
        await asyncio.sleep(self.rng.choice([0.0, self.rng.uniform(0, LONGEST_KILL_DELAY)]))
        await self.kill()

    async def replace(self, worker):
        if worker.replacing:
            return
        worker.replacing, self.replaced, seconds = True, self.replaced + 1, self.rng.uniform(*DRAIN_SECONDS)
        new = await self.add_worker(f"w-{worker.zone}-{WORKERS + self.replaced}", worker.zone)
        while new.registered_at == math.inf:
            await asyncio.sleep(0.1)
        worker.leaves_at = time.monotonic() + seconds
        # The announced time counts from when the store has accepted the entry.
        while not await self.register(worker):
            await asyncio.sleep(0.1)
            worker.leaves_at = time.monotonic() + seconds
        self.note(f"{worker.name} drains for {seconds:.1f} s with {len(worker.runs)} runs, {new.name} is its successor")
        await asyncio.sleep(seconds + self.rng.choice([0.1, self.rng.uniform(0, 1)]))
        self.note(f"{worker.name} leaves with {len(worker.runs)} runs")
        self.left_in_roll += self.rolling
        worker.leave()
        await self.register(worker)

    async def restart(self, entry):
        # Several faults may end one process; only the first of them starts the next one.
        process, limit = entry.process, time.monotonic() + GRACE_SECONDS
        while process.poll() is None:
            await asyncio.sleep(0.05)
            if time.monotonic() > limit:
                process.kill()
        await asyncio.sleep(self.rng.choice([0.0, 0.5]))
        if entry.process is process:
            entry.start()

    async def play(self):
        await self.setup()
        watch = asyncio.get_running_loop().create_task(self.watch())
        await asyncio.sleep(3)
        self.end = time.monotonic() + self.args.seconds
        unplanned = self.only or self.args.seed % 3
        injections = [self.inject(planned=True)] + ([self.inject(planned=False)] if unplanned else [])
        injections += [self.inject(planned=False, beside=True)] if self.beside else []
        await asyncio.gather(self.client(True), self.client(False), self.reader(), *injections)
        await asyncio.gather(*self.fault_tasks)
        await asyncio.sleep(SETTLE_SECONDS)
        if watch.done():
            watch.result()  # raises what ended it
        self.account.conclude()

    def stop(self):
        for entry in self.entries.values():
            if entry.alive():
                entry.process.kill()
                entry.process.wait()


async def run_one(args, folder):
    """Ends the process with the verdict."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    run, code = Run(args, folder), 2
    try:
        play = asyncio.create_task(run.play())
        if (await asyncio.wait({play}, timeout=args.seconds + LONGEST_REST))[0]:
            play.result()
            report(run)
            code = 1 if run.account.breaches or run.account.lost else 0 if run.account.starts and run.terms else 2
        else:
            print(f"seed {args.seed}: did not end within {LONGEST_REST} s after its {args.seconds:g} s; logs: {folder}")
    except Exception:
        traceback.print_exc()
    finally:
        run.stop()
        if code == 0 and not args.keep:
            shutil.rmtree(folder)
        sys.stdout.flush()
        # Waiting until the handlers of open connections are cancelled may never end.
        os._exit(code)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=45)
    parser.add_argument("--binary", default=soak.BINARY)
    parser.add_argument("--max-hold-ms", type=int, default=MAX_HOLD_MS)
    parser.add_argument("--quiet-faults", default="", help="kinds to leave out, joined by commas")
    parser.add_argument("--only-faults", default="", help="kinds to inject and no others, joined by commas")
    parser.add_argument("--beside-faults", default="", help="kinds to inject in a series of their own")
    parser.add_argument("--longest-late", type=float, default=NEXT_LIFE_SECONDS,
                        help="seconds by which a request that reaches the next life of its worker is late, at most")
    parser.add_argument("--born-back-ms", type=int, default=BORN_BACK_MS,
                        help="by how much the time of day is set back between two lives of a worker, at most")
    parser.add_argument("--pause", type=float, default=1.0, help="factor for the time between two jobs")
    parser.add_argument("--longest-task", type=float, default=3.0, help="run time of finite tasks in seconds, at most")
    parser.add_argument("--longest-job", type=float, default=40, help="seconds until a lasting job is cancelled")
    parser.add_argument("--keep", action="store_true", help="keep the logs also of a run that passed")
    parser.add_argument("--show", type=int, default=10, help="breaches to print")
    args = parser.parse_args()
    if args.seeds > 1:
        # One process for each seed, so that nothing is carried over.
        words = [sys.executable, __file__, *sys.argv[1:], "--seeds", "1", "--seed"]
        codes = [subprocess.run([*words, str(args.seed + i)], check=False).returncode for i in range(args.seeds)]
        print(f"{codes.count(0)} passed, {len(codes) - codes.count(0)} failed")
        sys.exit(max(codes))
    soak.BINARY = args.binary
    if not os.access(args.binary, os.X_OK):
        sys.exit(f"{args.binary} is not a program; build it or name one with --binary")
    folder = tempfile.mkdtemp(prefix=f"terms-{args.seed}-")
    asyncio.run(run_one(args, folder))


if __name__ == "__main__":
    main()
