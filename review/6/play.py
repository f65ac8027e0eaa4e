"""A start that got no answer is carried out late, by the next life of its worker. See claim.txt."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from fleet import Fleet, main, route  # noqa: E402

LATE_S, CRASH_AT_S, DOWN_S = 10.5, 4.0, 2.0


class Tasks(Fleet):
    def duration(self, task):
        return 2.0


async def test(fleet, trouble):
    await fleet.open([route("q")], workers=7)
    if trouble:
        fleet.late_start_s = LATE_S
    await fleet.submit("00000000000000a0", {"task_spec": "t", "steps": [
        {"count": 24, "cpu": 1000, "memory_limit_mb": 100, "estimated_ms": 2000}]})
    await asyncio.sleep(CRASH_AT_S)
    if trouble:
        worker = fleet.late_start[0]
        worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.restart()
    await asyncio.sleep(12)
    await fleet.call("GET", "/q/00000000000000a0")
    noted = {}
    for at, task, run, how, _ in fleet.notes:
        if how == "done":
            noted.setdefault(task, (at, run))
    twice = [(at, task, run, worker.name, noted[task]) for at, task, run, worker in fleet.starts
             if task in noted and at > noted[task][0]]
    for at, task, run, worker, (end, ended) in twice:
        fleet.record(f"TWICE: {task} starts as run {run} on {worker} at {at:.3f}; the end `done` of its run {ended} "
                     f"was taken note of at {end:.3f}")
    return not twice


main(test, Tasks)
