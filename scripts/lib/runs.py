"""What ran where and by whose order, as the workers of terms.py saw it, checked against TWICE and LOST and measured.

A run of terms.py gives the workers and entries by name, and for each term its instance and the time it began.
"""

import collections
import math
import statistics
import time

from platform_standin import Account, term_of

MEASURES = ("between the orders", "last renewal by the later sender", "first poll by a successor",
            "last start request of the earlier run", "last request of the later sender",
            "last list to the later sender", "next term began", "store last answered the later sender", "overlap")
# A lease of 6 s by the slowest clock, and time for a new term to find out that it has ended. The rule allows 9 s.
LOST_SECONDS = 8
RULE_SECONDS = 6 + 3  # without a run, whatever went on, if the check falls into time that the rule counts


class Runs(Account):
    """What ran where and by whose order; finds the breaches of TWICE and measures them."""

    def __init__(self, run):
        super().__init__()
        self.run, self.starts, self.overlaps = run, 0, collections.defaultdict(list)
        self.ends, self.pending = collections.defaultdict(list), []
        self.last_ends, self.lost, self.longest = {}, {}, 0.0
        self.longest_by_rule = 0.0

    def start(self, task, worker, order):
        self.starts += 1
        self.started.add(task.split(".")[0])
        now, term = time.monotonic(), term_of(order)
        later = {"run": order["run"], "worker": worker, "domain": self.run.workers[worker].zone, "term": term,
                 "sender": self.run.terms.get(term, ("?", 0))[0], "at": now}
        running = self.running.setdefault(task, {})
        for other in list(running):
            # A lease that has ended is not held against the start, even if the check of work() is due later.
            self.run.workers[other].lapse()
        for earlier in running.values():
            self.overlaps[task].append(self.measure("at once", task, later, earlier))
            self.found(self.overlaps[task][-1])
        for end in self.ends[task]:
            if end["noted"]:
                self.found(self.measure("after done", task, later, end["order"]))
            elif not end["void"]:
                self.pending.append((end, self.measure("after done", task, later, end["order"])))
        running[worker] = later

    def found(self, breach):
        self.breaches.append(breach)
        self.run.note(f"BREACH {breach['kind']}: {breach['task']} run {breach['later']['run']}")

    def measure(self, kind, task, later, earlier):
        worker = self.run.workers[earlier["worker"]]
        polls = [at for term, at in worker.polled.items() if term > earlier["term"]]
        nexts = [at for term, (_, at) in self.run.terms.items() if term > earlier["term"]]
        sender = self.run.entries.get(later["sender"])
        since = {"between the orders": earlier["at"],
                 "last renewal by the later sender": worker.renewed.get(later["sender"]),
                 "first poll by a successor": min(polls, default=None),
                 "last start request of the earlier run": worker.asked.get((task, earlier["run"])),
                 "last request of the later sender": worker.heard.get(later["sender"]),
                 "last list to the later sender": worker.listed.get(later["sender"]),
                 "next term began": min(nexts, default=None),
                 "store last answered the later sender": sender.answered_at if sender else None}
        return {"kind": kind, "task": task, "later": later, "earlier": earlier, "overlap": None,
                **{name: later["at"] - at for name, at in since.items() if at is not None}}

    def end(self, task, worker, how):
        order = self.running.get(task, {}).pop(worker, None)
        if order:
            self.last_ends[task] = {**order, "how": how, "ended": time.monotonic()}
        for breach in [b for b in self.overlaps[task] if worker in (b["later"]["worker"], b["earlier"]["worker"])]:
            self.overlaps[task].remove(breach)
            breach["overlap"] = time.monotonic() - breach["later"]["at"]
        if order and how == "done":
            self.ends[task].append({"order": order, "noted": False, "void": False})

    def noted(self, task, worker, run):
        for end in self.ends[task]:
            if (end["order"]["worker"], end["order"]["run"]) == (worker, run) and not end["void"]:
                end["noted"] = True

    def lapsed(self, worker):
        """Ends that nobody took note of before the worker's lease ended do not count."""
        for end in [e for ends in self.ends.values() for e in ends]:
            if end["order"]["worker"] == worker and not end["noted"]:
                end["void"] = True

    def look(self, task, excused, by_rule):
        """Finds a lasting task that ran before and is without a run since long, not counting time until excused; by
        the rule all time counts."""
        last, now = self.last_ends.get(task), time.monotonic()
        if not last or self.running.get(task):
            return
        self.longest = max(self.longest, now - max(last["ended"], excused))
        waited = now - last["ended"]
        self.longest_by_rule = max(self.longest_by_rule, waited if by_rule else 0.0)
        if now - max(last["ended"], excused) <= LOST_SECONDS and not (by_rule and waited > RULE_SECONDS):
            return
        if (task, last["ended"]) not in self.lost:
            self.run.note(f"BREACH lost: {task} run {last['run']}")
        self.lost[task, last["ended"]] = {"task": task, "last": last, "seconds": waited}

    def conclude(self):
        """Starts after an end that was taken note of later."""
        for end, breach in self.pending:
            if end["noted"]:
                self.found(breach)


def describe(order, began):
    inside = "own" if order["sender"].startswith(f"entry-{order['domain']}-") else "other"
    return (f"run {order['run']} on {order['worker']} ({inside} domain of {order['sender']}, term {order['term']}, "
            f"at {order['at'] - began:.3f})")


def group_of(breach):
    later, earlier = breach["later"], breach["earlier"]
    if later["sender"] != earlier["sender"]:
        return "two senders"
    return "one sender, one term" if later["term"] == earlier["term"] else "one sender, two terms"


def is_as_recorded(breach):
    """The later run is in the domain of its sender and the earlier one outside, as in issue 42."""
    home = breach["later"]["sender"].rsplit("-", 1)[0].removeprefix("entry-")
    inside = breach["later"]["domain"] == home != breach["earlier"]["domain"]
    return inside and group_of(breach).startswith("one sender")


def spread(text, breaches):
    if not breaches:
        return
    print(f"  {text}: {len(breaches)}")
    for name in MEASURES:
        values = [b[name] for b in breaches if b.get(name) is not None and math.isfinite(b[name])]
        if values:
            print(f"    {name} (s, min/median/max of {len(values)}): "
                  f"{min(values):.2f} {statistics.median(values):.2f} {max(values):.2f}")


def report(run):
    breaches, lost = run.account.breaches, list(run.account.lost.values())
    print(f"seed {run.args.seed}: {'FAILED' if breaches or lost else 'ok'}, {run.account.starts} starts, "
          f"{len(run.terms)} terms, {run.faults} faults, {run.replaced} workers replaced "
          f"({run.left_in_roll} left in a roll), "
          f"{run.carried_over} requests carried over ({run.carried_starts} starts), "
          f"{sum(w.late_at_next for w in run.workers.values())} late at the next life, "
          f"{run.relayed_starts} starts carried by another entry, "
          f"{len(run.accepted)} of {run.jobs} jobs accepted, "
          f"{len(breaches)} breaches, {len(lost)} lost "
          f"(longest wait {run.account.longest:.2f} s, by the rule {run.account.longest_by_rule:.2f} s)")
    for b in lost[:run.args.show]:
        print(f"  LOST {b['task']}: without a run for {b['seconds']:.2f} s since {b['last']['ended'] - run.began:.3f}; "
              f"{b['last']['how']} {describe(b['last'], run.began)}")
    for b in breaches[:run.args.show]:
        figures = ", ".join(f"{name} {b[name]:.2f}" for name in MEASURES if b.get(name) is not None)
        print(f"  TWICE {b['kind']}: {b['task']}: {describe(b['later'], run.began)}; "
              f"earlier {describe(b['earlier'], run.began)}; {group_of(b)}; {figures}")
    for group in ("one sender, one term", "one sender, two terms", "two senders"):
        spread(group, [b for b in breaches if group_of(b) == group])
    spread("one sender, later run in its domain and earlier run outside", [b for b in breaches if is_as_recorded(b)])
    if breaches or lost:
        print(f"  logs: {run.folder}")
