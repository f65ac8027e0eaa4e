"""Entries, store and workers in failure domains, for terms.py.

A run of terms.py gives the cuts (passes), the instance of each term (terms) and the entry that sent a request
(sender), which a worker tells by the fencing token. Another entry may carry the request: the one whose process has
the other end of the connection (carrier).
"""

import asyncio
import json
import math
import os
import socket
import struct
import time

import soak
from platform_standin import ARRIVED, CONTEXT, LATE_SECONDS, Drop, Store, Worker, make_random, serve, term_of

DOMAINS = ("d0", "d1", "d2")
STORE_DOMAIN = DOMAINS[0]
HELD_UP_SHARE = 0.3  # requests lost in a cut that arrive after all, when their sender has given up
HANG_SECONDS = 20
PORTS = (7100, 7101, 7720, 9464)


def free_address(rng=make_random(None)):
    """A loopback address that no other run uses."""
    while True:
        ip, sockets = f"127.{rng.randint(1, 250)}.{rng.randint(1, 250)}.{rng.randint(2, 250)}", []
        try:
            for port in PORTS:
                sockets.append(socket.socket())
                sockets[-1].bind((ip, port))
            return ip
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()


def socket_owner(peer, own, processes):
    """Gives the one of these process IDs that has the socket at peer connected to own; None if there is none."""

    def kernel_form(ip, port):
        return f"{struct.unpack('=I', socket.inet_aton(ip))[0]:08X}:{port:04X}"

    ends, inode = f": {kernel_form(*peer)} {kernel_form(*own)} ", None
    with open("/proc/net/tcp", encoding="ascii") as table:
        text = table.read()
    # The table may have thousands of rows.
    at = text.find(ends)
    if at >= 0:
        inode = text[at:text.find("\n", at)].split()[9]
    for process in processes if inode else ():
        try:
            for name in os.listdir(f"/proc/{process}/fd"):
                if os.readlink(f"/proc/{process}/fd/{name}") == f"socket:[{inode}]":
                    return process
        except OSError:
            continue
    return None


async def hang():
    await asyncio.sleep(HANG_SECONDS)
    raise Drop


class Entry(soak.Instance):
    """One entry instance of a domain with its own path to the store."""

    def __init__(self, name, domain, folder, run):
        self.name, self.domain, self.run, self.ip = name, domain, run, free_address()
        self.path, self.process = f"{folder}/{name}.conf", None
        self.log = open(f"{folder}/{name}.log", "ab")
        self.cuts, self.lose = 0, 0.0
        self.peer_delay, self.peer_writers = 0.0, set()
        self.watches = None  # while only watches pass: (prefix, whether new ones do)
        self.answered_at = -math.inf

    async def open_peer_proxy(self):
        """Other entries reach this one through a proxy, which applies the cuts and delays between them."""
        server = await asyncio.start_server(self.accept_peer, self.ip, 0)
        self.peer_port = server.sockets[0].getsockname()[1]

    async def accept_peer(self, reader, writer):
        source = self.run.owner(writer.get_extra_info("peername"), writer.get_extra_info("sockname"))
        try:
            up_reader, up_writer = await asyncio.open_connection(self.ip, PORTS[2])
        except OSError:
            writer.transport.abort()
            return
        self.peer_writers |= {writer, up_writer}
        await asyncio.gather(self.pump(reader, up_writer, source, self), self.pump(up_reader, writer, self, source))
        self.peer_writers -= {writer, up_writer}

    async def pump(self, reader, writer, source, target):
        """Passes bytes on. Those that are sent in a cut are lost or come late, and the connection stays silent."""
        silent = False
        try:
            while data := await reader.read(65536):
                if self.peer_delay:
                    await asyncio.sleep(self.run.rng.uniform(0, self.peer_delay))
                if source and target and not self.run.passes_peers(source, target) and not silent:
                    silent = True
                    if self.run.rng.random() < HELD_UP_SHARE:
                        with self.run.fault():
                            await asyncio.sleep(self.run.rng.uniform(*LATE_SECONDS))
                        writer.write(data)
                if not silent:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def reset_peers(self):
        for writer in list(self.peer_writers):
            writer.transport.abort()

    def write(self, port, max_hold_ms):
        zones = "".join(f"zones.{d}=r1\n" for d in DOMAINS)
        with open(self.path, "w", encoding="ascii") as out:
            out.write(f"node={self.name}\nrole=entry\nip={self.ip}\nzone={self.domain}\nregion=r1\n{zones}"
                      f"listen_addresses.front={self.ip}:7100\nlisten_addresses.ready={self.ip}:7101\n"
                      f"internal_port_range=7720,7735\npeer_address={self.ip}:{self.peer_port}\n"
                      f"platform.address=127.0.0.1:{port}\nplatform.form=kv\n"
                      "platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n"
                      "heartbeat_interval_ms=1100\norders=call\ndiscovery=platform\nlimits.cpu_share=0.25\n"
                      f"bounds.max_hold_ms={max_hold_ms}\nbounds.stop_timeout_ms=400\nbounds.status_s=120\n"
                      "bounds.harm_ms=4000\nbounds.grace_period_s=6\nbounds.config_apply_ms=3000\n")

    def blocked(self):
        passes = self.run.passes(self.domain, STORE_DOMAIN, "store")
        return self.cuts > 0 or not passes

    async def store_call(self, method, path, query, headers, body):
        watch = path.endswith("kv-watch")

        def let_through(new):
            return watch and self.watches and query["prefix"].startswith(self.watches[0]) and (
                not new or self.watches[1])

        if self.blocked() and not let_through(True):
            await hang()
        answer = await self.run.store.handle(method, path, query, headers, body)
        lost = self.blocked() or self.run.store.mode == "silent" or self.run.rng.random() < self.lose
        if lost and not let_through(False):
            await hang()
        self.answered_at = time.monotonic()
        return answer


class TermStore(Store):
    """Notes which instance began which term."""

    def __init__(self, rng, run):
        super().__init__(rng)
        self.run = run

    def put(self, key, value, lease=0):
        super().put(key, value, lease)
        self.run.wrote(key)
        if key == "crocuslead/office/holder":
            leader = json.loads(value)
            if leader["term"] not in self.run.terms:
                self.run.terms[leader["term"]] = (leader["instance"], time.monotonic())
                self.run.note(f"term {leader['term']} of {leader['instance']}")


class DomainWorker(Worker):
    """A worker that requests and answers reach as the cuts allow; it may drain and leave."""

    def __init__(self, name, run, rng, domain):
        self.run, self.loses_answers = run, False
        self.cut = False  # reached by no entry, and neither by nor from the store
        self.registered_at, self.leaves_at, self.writers = math.inf, None, set()
        self.replacing = False
        super().__init__(name, run.account, rng, run.args.seed, zone=domain, rack=f"{domain}-1")
        self.longest_late, self.born_back_ms = run.args.longest_late, run.args.born_back_ms
        self.max_hold_ms, self.clock_rate = run.args.max_hold_ms, rng.uniform(0.98, 1.0)

    def end_life(self):
        super().end_life()
        self.run.account.lapsed(self.name)
        self.renewed, self.polled, self.listed, self.asked, self.heard = {}, {}, {}, {}, {}

    def life(self):
        before = None if self.born_at is None else self.clock()
        super().life()
        self.run.note(f"{self.name} begins a life, born {self.born}, clock {self.clock_at_birth}, before {before}")

    async def restart(self, seconds):
        """Ends this life. Requests that arrive before the next one begins wait for it, as in the backlog of a socket
        that outlives its process."""
        if not self.up.is_set():
            return
        self.up.clear()
        self.end_life()
        if self.rng.random() < 0.5:
            for writer in list(self.writers):
                writer.transport.abort()
        await asyncio.sleep(seconds)
        self.life()
        self.up.set()

    async def begin(self):
        # An address of the run's own: a port that a worker has left may go to a worker of another run.
        self.server, self.port = await serve(self.handle, self.run.worker_ip, writers=self.writers)
        self.working = asyncio.get_running_loop().create_task(self.work())

    def entry(self):
        entry = json.loads(super().entry(self.port))
        entry["address"] = f"{self.run.worker_ip}:{self.port}"
        if self.leaves_at is not None:
            entry.update(state="draining", remaining_ms=max(0, int(1000 * (self.leaves_at - time.monotonic()))))
        return json.dumps(entry).encode()

    def leave(self):
        """Ends as a process that exits: its runs, unread results and connections go with it."""
        self.left = True
        for task in list(self.runs):
            self.finish(task, "left")
        self.end_life()
        self.working.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def lapse(self):
        if self.clock() >= self.lease_end:
            self.run.account.lapsed(self.name)
        super().lapse()

    def finish(self, task, how):
        super().finish(task, how)
        if task[0] == "a" and how == "stopped" and self.leaves_at is not None:
            self.run.moving.add(task.split(".")[0])

    def length(self, task):
        if task[0] == "a":
            return math.inf if self.rng.random() < 0.95 else self.rng.uniform(2, 15)
        return self.rng.uniform(0.1, self.run.args.longest_task)

    def fails(self, task):
        return task[0] == "a" or super().fails(task)

    def run_start(self, data):
        if data.get("fencing_token", 0) >= self.token:
            self.asked[data["task"], data["run"]] = time.monotonic()
        return super().run_start(data)

    def note_late(self, call, data, seconds):
        what = {k: data[k] for k in ("task", "run", "until_ms", "last_seen", "fencing_token") if k in data}
        forgotten = [f"{e[1]} run {e[2]} {e[3]}" for e in self.ends if e[0] <= data.get("last_seen", 0)]
        self.run.note(f"{self.name} executes {call} of a former life after {seconds:.2f} s: {what}, "
                      f"which forgets {len(forgotten)} ends {' '.join(forgotten)}")

    async def late(self, *request):
        with self.run.fault():
            await super().late(*request)

    async def hold(self, data):
        sender, now = self.run.sender(data), time.monotonic()
        if data.get("fencing_token", 0) >= self.token:
            self.polled.setdefault(term_of(data), now)
            if "until_ms" in data:
                self.renewed[sender.name if sender else None] = now
        return await super().hold(data)

    async def handle(self, method, path, query, headers, body):
        if self.left:
            raise Drop
        data = json.loads(body)
        sender = self.run.sender(data)
        carrier = self.run.carrier(headers[CONTEXT]) or sender
        call = path.rsplit("/", 1)[1].replace("-", "_")
        if self.cut:
            await hang()
        if not self.up.is_set():
            self.run.carried_over += 1
            self.run.carried_starts += call == "run_start"
        headers[ARRIVED] = time.monotonic()
        await self.up.wait()
        life = self.lives
        if carrier and not self.run.passes(carrier.domain, self.zone, "worker"):
            if self.late_rng.random() < HELD_UP_SHARE:
                self.begin_late(call, data, headers)
            await hang()
        if sender:
            self.heard[sender.name] = time.monotonic()
        answer = await super().handle(method, path, query, headers, body)
        self.run.relayed_starts += call == "run_start" and carrier is not sender
        lost = carrier and not self.run.passes(self.zone, carrier.domain, "worker")
        if lost or self.cut or self.loses_answers or life != self.lives:
            self.known_to.pop(term_of(data), None)
            await hang()
        if call == "hold" and answer[0] == 200 and sender:
            self.listed[sender.name] = time.monotonic()
        return answer
