"""Background load for the fault runs: requests, bookings, jobs and operators."""

import json
import random
import threading
import time

from fleet import uuid7


class Load:
    """Sends work from several threads and keeps what each caller was told."""

    def __init__(self, fleet, seed):
        self.fleet, self.seed = fleet, seed
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.threads = []
        self.told = {}  # key -> outcomes told, in order
        self.jobs = {}  # id -> acknowledged
        self.cancelled = set()
        self.counts = {"requests": 0, "answered": 0, "refused": 0, "cut": 0, "mixed": 0,
                       "bookings": 0, "conflicts": 0}
        self.cut_while_draining = 0
        self.draining = None

    def start(self):
        for index, work in enumerate((self._reads, self._reads, self._bookings, self._bookings,
                                      self._jobs)):
            thread = threading.Thread(target=self._repeat, args=(work, self.seed * 100 + index),
                                      daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(timeout=30)

    def _repeat(self, work, seed):
        rng = random.Random(seed)
        number = 0
        while not self.stopping.is_set():
            work(rng, f"{seed}-{number}")
            number += 1
            time.sleep(0.01)

    def _pick(self, rng):
        ready = [each for each in self.fleet.live() if not getattr(each, "paused", False)]
        return rng.choice(ready)

    def count(self, name):
        with self.lock:
            self.counts[name] += 1

    def _reads(self, rng, name):
        each = self._pick(rng)
        size = rng.choice([0, 0, 0, 400_000])
        status, _, text = self.fleet.request(each, "visits", f"/read?size={size}",
                                             headers={"X-Tag": name}, timeout=10)
        self.count("requests")
        if status == 200:
            self.count("answered")
            try:
                body = json.loads(text)
                whole = body.get("tag") == name and len(body.get("padding", "")) == size
            except ValueError:
                whole = False
            if not whole:
                self.count("mixed")
        elif status:
            self.count("refused")
        else:
            self.count("cut")
            if self.draining == each.name:
                self.cut_while_draining += 1

    def _bookings(self, rng, name):
        key = uuid7(rng)
        body = json.dumps({"visit": name})
        self.count("bookings")
        told = []
        for _ in range(3):
            try:
                each = self._pick(rng)
            except IndexError:
                time.sleep(0.1)
                continue
            status, headers, text = self.fleet.request(each, "visits", "/book", "POST", body, key,
                                                       timeout=8)
            outcome = headers.get("Crocuslead-Outcome", "cut")
            told.append(outcome)
            if status == 200 and json.loads(text).get("echo") != body:
                self.count("mixed")
            if outcome == "ran":
                break
            time.sleep(rng.random() * 0.3)
        with self.lock:
            self.told[key] = told

    def _jobs(self, rng, name):
        job_id = f"run-{name}"
        urgent = rng.random() < 0.2
        job = {"id": job_id, "workspace": rng.choice(["water", "power"]), "tasks": rng.randint(1, 4),
               "cpu_milli": rng.choice([1000, 2000, 4000]), "memory_mb": 1000,
               "run_time_ms": rng.choice([500, 2000, 8000]), "urgent": urgent}
        status, _ = self.fleet.api("POST", "/v1/jobs", job, self._pick(rng))
        with self.lock:
            self.jobs[job_id] = (status == 200, job["tasks"])
        time.sleep(0.4)

    def false_refusals(self):
        """Keys that a caller was told did not run, and that ran; and the reverse."""
        ran = self.fleet.runs_of(list(self.told))
        false_not_run = sum("not-run" in told and ran[key] > 0 for key, told in self.told.items())
        false_ran = sum("ran" in told and ran[key] == 0 for key, told in self.told.items())
        twice = sum(count > 1 for count in ran.values())
        return false_not_run, false_ran, twice
