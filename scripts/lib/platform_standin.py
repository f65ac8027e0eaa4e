"""Stand-in for the users' platform: metadata store and workers, for the randomized runs soak.py and terms.py.

It speaks the published protocol over HTTP/1.1 on loopback and keeps its own account of what ran, which
the scripts check. They switch faults on through the attributes of Store and Worker.
"""

import asyncio
import base64
import json
import math
import random
import time
from itertools import takewhile
from urllib.parse import parse_qs, urlsplit

MAX_BODY = 8 << 20
LATE_SECONDS = (2.0, 6.0)
# A request that reaches a later life of its worker than its sender knew is late by at least this and at most
# NEXT_LIFE_SECONDS, for which coordinators allow 3 s (MaxRequestDelay_).
SHORTEST_NEXT_LIFE_SECONDS = 0.7
NEXT_LIFE_SECONDS = 3.0
MAX_HOLD_MS = 6000
HOUR_MS = 3600 * 1000
# A request that a sender sent before it received a list of runs arrives within this time after the list was sent.
IN_FLIGHT_SECONDS = 1.0
TOKENS_PER_TERM = 65536  # of platform/EntryInstance.cpp
BORN_BACK_MS = 2000  # the most by which the time of day is set back between two lives


class Drop(Exception):
    """The connection ends without an answer."""


# No header has these names.
CONTEXT = ":context"
ARRIVED = ":arrived"


async def serve(handler, host="127.0.0.1", port=0, writers=None):
    """Answers each request with handler(method, path, query, headers, body) -> (status, object).

    The set writers, if given, holds the open connections. headers[CONTEXT] is a dictionary for each connection,
    with the addresses of both ends.
    """
    writers = set() if writers is None else writers

    async def connection(reader, writer):
        writers.add(writer)
        context = {"peer": writer.get_extra_info("peername"), "own": writer.get_extra_info("sockname")}
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {k.lower(): v.strip() for k, v in (x.split(":", 1) for x in head[1:] if ":" in x)}
                headers[CONTEXT] = context
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if 0 < size <= MAX_BODY else b""
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                status, answer = await handler(method, parts.path, query, headers, body)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (Drop, asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(connection, host, port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


class Store:
    """The metadata store: keys with revisions, leases, watches, conditional transactions."""

    def __init__(self, rng):
        self.rng = rng
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.next_lease, self.compacted = 1, 100, 0
        self.changed = asyncio.Condition()
        self.mode = None  # None, "busy" or "silent"
        self.keeps_leases = False  # whether leases pause while a mode is set
        self.lose_answers = 0.0
        self.late_writes = 0.0

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                           "created": old["created"] if old else self.revision, "lease": lease}
        self.history.append(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "tombstone": True})

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def expire(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.1)
            if self.mode and self.keeps_leases:
                paused = time.monotonic() - before
                self.leases = {lease: (ttl, end + paused) for lease, (ttl, end) in self.leases.items()}
            for lease, (ttl, end) in list(self.leases.items()):
                if time.monotonic() > end:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v["lease"] == lease]:
            self.remove(key)
        await self.notify()

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.002)
        if self.mode == "busy":
            return 503, {}
        if self.mode == "silent":
            await asyncio.sleep(30)
            raise Drop
        call = path.split("/")[2] if path.count("/") >= 2 else ""
        data = json.loads(body) if body else {}
        if call == "kv-txn":
            if self.rng.random() < self.late_writes:
                asyncio.get_running_loop().create_task(self.apply_late(data))
                raise Drop
            answer = await self.txn(data)
            if self.rng.random() < self.lose_answers:
                raise Drop
            return answer
        return await getattr(self, call.replace("-", "_"))(path, query, data)

    async def apply_late(self, data):
        await asyncio.sleep(self.rng.uniform(*LATE_SECONDS))
        await self.txn(data)

    async def txn(self, data):
        for row in data.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in data["expected"] if r["key"] in self.items]}
        for row in data.get("puts", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in data.get("puts", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in data.get("removals", []):
            self.remove(key)
        await self.notify()
        return 200, {"revision": self.revision}

    async def kv_key(self, path, query, data):
        item = self.items.get(query["key"])
        return (200, dict(item, at=self.revision)) if item else (404, {"at": self.revision})

    async def kv_range(self, path, query, data):
        keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
        return 200, {"items": [self.items[k] for k in keys[:500]], "has_more": len(keys) > 500,
                     "at": self.revision}

    async def kv_watch(self, path, query, data):
        after, prefix = int(query["after"]), query["prefix"]
        if after < self.compacted:
            return 410, {}
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            # The history is in the order of revisions, so newer events are at its end.
            events = [e for e in takewhile(lambda e: e["revision"] > after, reversed(self.history))
                      if e["key"].startswith(prefix)][::-1]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def kv_lease(self, path, query, data):
        self.next_lease += 1
        self.leases[self.next_lease] = (data["ttl_ms"] / 1000, time.monotonic() + data["ttl_ms"] / 1000)
        return 200, {"lease": self.next_lease, "ttl_ms": data["ttl_ms"]}

    async def kv_keep(self, path, query, data):
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {"ttl_ms": int(ttl * 1000)}

    async def kv_lease_end(self, path, query, data):
        await self.end_lease(int(path.rsplit("/", 1)[1]))
        return 200, {}

    def compact(self):
        self.history, self.compacted = [], self.revision


class Account:
    """What ran where, as the workers saw it."""

    def __init__(self):
        self.running, self.done, self.breaches, self.started = {}, {}, [], set()

    def start(self, task, worker, order):
        self.started.add(task.split(".")[0])
        for other in self.running.get(task, set()):
            self.breaches.append(f"{task} starts on {worker} and runs on {other}")
        if self.done.get(task):
            self.breaches.append(f"{task} starts on {worker} after its end was acknowledged")
        self.running.setdefault(task, set()).add(worker)

    def end(self, task, worker, how):
        self.running.get(task, set()).discard(worker)

    def noted(self, task, worker, run):
        """A coordinator has taken note of an end `done`."""
        self.done[task] = True


def term_of(order):
    """The term that ordered something: the highest of the fencing tokens that belong to it."""
    return -(-order.get("fencing_token", 0) // TOKENS_PER_TERM) * TOKENS_PER_TERM


class Worker:
    """A worker that runs tasks under leases and fencing tokens."""

    def __init__(self, name, account, rng, seed, cpu=16000, zone="z1", rack="r1"):
        self.name, self.account, self.rng, self.cpu = name, account, rng, cpu
        self.zone, self.rack, self.max_hold_ms, self.clock_rate = zone, rack, MAX_HOLD_MS, 1.0
        self.fail_share, self.stands, self.late_orders = 0.02, False, 0.0
        self.longest_late, self.born_back_ms, self.late_at_next = NEXT_LIFE_SECONDS, BORN_BACK_MS, 0
        self.left, self.up = False, asyncio.Event()
        self.up.set()
        # What is drawn for each life, and for each request, does not change the other draws of a seed.
        self.life_rng, self.late_rng = (random.Random(f"{seed} {name} {use}") for use in ("lives", "requests"))
        self.runs, self.ends, self.lives, self.born, self.born_at = {}, [], 0, 0, None
        self.life()

    def end_life(self):
        for task in list(self.runs):
            self.account.end(task, self.name, "crash")
        # known_to: when a list of this life was first sent to the coordinator of a term
        self.runs, self.ends, self.known_to = {}, [], {}
        self.lives += 1

    def life(self):
        self.end_life()
        self.clock_at_birth = self.draw_clock()
        self.born, self.born_at = self.draw_born(), time.monotonic()
        self.highest, self.token, self.lease_end, self.next_end, self.sequence = {}, 0, 0.0, 1, 0
        self.event = asyncio.Event()

    def draw_clock(self):
        """Gives the clock at the start of a life. The protocol says that it starts anew, and not from where."""
        if self.born_at is None:
            return self.life_rng.choice([0, int(self.life_rng.uniform(0, 12 * HOUR_MS))])
        before = self.clock()
        # Distances from 0.1 s to 6 h, the small ones as frequent as the large ones.
        distance = int(math.exp(self.life_rng.uniform(math.log(100), math.log(6 * HOUR_MS))))
        # The last one is a machine's clock, which goes on when only the process restarts.
        return self.life_rng.choice([0, before + distance, max(0, before - distance), before])

    def draw_born(self):
        """Gives the time of day, which may have been set back since the life before."""
        born = int(time.time() * 1000)
        if self.born and self.life_rng.random() < 0.25:
            born -= self.life_rng.randint(0, self.born_back_ms)
        # Nothing tells two lives with the same time apart.
        return born + (born == self.born)

    def clock(self):
        return self.clock_at_birth + int((time.monotonic() - self.born_at) * 1000 * self.clock_rate)

    def entry(self, port):
        self.sequence += 1
        return json.dumps({"service": "desk", "address": f"127.0.0.1:{port}", "zone": self.zone, "version": "v1",
                           "slots": 8, "state": "ready", "cold_remaining_ms": 0, "labels": ["a", self.rack],
                           "room": {"cpu": self.cpu, "memory_limit_mb": 64000, "gpus": 0},
                           "sequence": self.sequence, "born": self.born}).encode()

    def finish(self, task, how):
        run = self.runs.pop(task)
        self.ends.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.account.end(task, self.name, how)
        self.event.set()

    def lapse(self):
        """Ends all runs if the lease has ended."""
        if self.clock() >= self.lease_end:
            for task in list(self.runs):
                self.finish(task, "lapsed")

    def extend(self, until):
        self.lease_end = max(self.lease_end, min(until, self.clock() + self.max_hold_ms))

    def length(self, task):
        """Gives the run time of a task; infinite for one that lasts."""
        return self.rng.uniform(0.1, 0.8)

    def fails(self, task):
        return self.rng.random() < self.fail_share

    async def work(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            self.lapse()
            for task in list(self.runs):
                if not self.stands and now >= self.runs[task]["until"]:
                    self.finish(task, "failed" if self.runs[task]["fails"] else "done")

    def fenced(self, data):
        if data.get("fencing_token", 0) < self.token:
            return True
        self.token = data.get("fencing_token", 0)
        return False

    def refuse(self, why):
        return 409, {"clock_ms": self.clock(), "reason": why}

    def run_start(self, data):
        if self.fenced(data):
            return self.refuse("fence")
        task, run = data["task"], data["run"]
        if data["until_ms"] <= self.clock():
            return self.refuse("late")
        self.extend(data["until_ms"])
        if task in self.runs and self.runs[task]["run"] == run:
            return 200, {"clock_ms": self.clock()}
        if run <= self.highest.get(task, 0):
            return self.refuse("old")
        self.highest[task] = run
        self.account.start(task, self.name, data)
        length = self.length(task)
        self.runs[task] = {"run": run, "from": time.monotonic(), "until": time.monotonic() + length,
                           "fails": self.fails(task)}
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, data):
        if self.fenced(data):
            return self.refuse("fence")
        task = data["task"]
        self.highest[task] = max(self.highest.get(task, 0), data["run"])
        if task in self.runs and self.runs[task]["run"] == data["run"]:
            self.finish(task, "stopped")
        return 200, {"clock_ms": self.clock()}

    def pace(self, data):
        return self.refuse("fence") if self.fenced(data) else (200, {"clock_ms": self.clock()})

    async def hold(self, data):
        if self.fenced(data):
            return self.refuse("fence")
        if "until_ms" in data:
            self.extend(data["until_ms"])
        for end in self.ends:
            if end[0] <= data["last_seen"] and end[3] == "done":
                self.account.noted(end[1], self.name, end[2])
        self.ends = [e for e in self.ends if e[0] > data["last_seen"]]
        if not self.ends and data.get("wait_ms"):
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), data["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        rows = [[t, r["run"], "", 100 if r["until"] == math.inf else
                 min(99, int(100 * (now - r["from"]) / max(0.01, r["until"] - r["from"]))), 500]
                for t, r in self.runs.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": rows, "ended": self.ends[:500]}

    async def handle(self, method, path, query, headers, body):
        if headers.get("crocuslead-expected-instance", self.name) != self.name:
            return 421, {}
        call, data = path.rsplit("/", 1)[1].replace("-", "_"), json.loads(body)
        # A lease that has ended is not renewed, even if the check of work() is due later.
        self.lapse()
        if self.late_rng.random() < self.late_orders:
            self.begin_late(call, data, headers)
            await asyncio.sleep(5)
            raise Drop
        life, answer = self.lives, getattr(self, call)(data)
        answer = await answer if asyncio.iscoroutine(answer) else answer
        if call == "hold" and answer[0] == 200 and life == self.lives:
            self.known_to.setdefault(term_of(data), time.monotonic())
        return answer

    def begin_late(self, call, data, headers):
        """Has a request executed late. Its sender knows this life if it has received a list from it."""
        now = time.monotonic()
        knows = self.lives == 1 or now - self.known_to.get(term_of(data), math.inf) > IN_FLIGHT_SECONDS
        late = self.late(call, data, self.lives if knows else 0, headers.get(ARRIVED, now))
        asyncio.get_running_loop().create_task(late)

    async def late(self, call, data, life, sent):
        """Executes a request late, whichever life is up then; one that was sent to another life is so sooner."""
        due = sent + self.late_rng.uniform(*LATE_SECONDS)
        while life == self.lives and time.monotonic() < due:
            await asyncio.sleep(0.02)
        if life != self.lives:
            await self.up.wait()
            soonest, latest = max(time.monotonic(), sent + SHORTEST_NEXT_LIFE_SECONDS), sent + self.longest_late
            await asyncio.sleep(self.late_rng.uniform(soonest, latest) - time.monotonic())
            await self.up.wait()
            if self.left or time.monotonic() > latest:
                return
            self.late_at_next += 1
            self.note_late(call, data, time.monotonic() - sent)
        self.lapse()
        answer = getattr(self, call)(data)
        if asyncio.iscoroutine(answer):
            await answer

    def note_late(self, call, data, seconds):
        """A request is executed by a later life than the one that it was sent to."""


class Relay:
    """A loopback proxy whose traffic can be delayed, silenced, cut one way or reset."""

    def __init__(self, port, host="127.0.0.1"):
        self.target, self.fault, self.writers = (host, port), None, set()

    async def open(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def accept(self, reader, writer):
        if self.fault == "reset":
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        await asyncio.gather(self.pump(reader, up_writer, "there"), self.pump(up_reader, writer, "back"))
        self.writers -= {writer, up_writer}

    async def pump(self, reader, writer, way):
        silent = False
        try:
            while data := await reader.read(65536):
                if self.fault == "delay":
                    await asyncio.sleep(0.15)
                silent = silent or self.fault in ("silent", way)
                # A connection that went silent stays so; only new ones work again.
                if not silent:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()


def make_random(seed):
    return random.Random(seed)
