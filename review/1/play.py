"""The coordinator's zone is cut off; both sides go on as coordinators."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import TROUBLE, main, route  # noqa: E402

CUT_SECONDS = 5.0
JOB = "00000000000000a1"


async def play(scene):
    await scene.open([route("watch", "/visits/")])
    cut = {"on": False, "token": 0}
    inside = await scene.entry("front-makurdi-1", "makurdi", "middle-belt", lambda: cut["on"])
    for i in range(3):
        # The task lasts until its job is cancelled.
        far = await scene.worker(f"i-makurdi-{i}", lambda task: None, zone="makurdi", rack="r2-1")
        near = await scene.worker(f"i-ibadan-{i}", lambda task: None, zone="ibadan", rack="r1-1")
        # Requests of the coordinator in the cut zone carry the token that it had before the cut.
        far.is_cut = lambda token: cut["on"] and token != cut["token"]
        near.is_cut = lambda token: cut["on"] and token == cut["token"]
    await scene.until(lambda: scene.leader() is not None, 15, "a first coordinator")
    outside = await scene.entry("front-ibadan-1")
    await scene.ready(inside)
    await scene.ready(outside)
    # One task to a worker.
    steps = [{"count": 6, "cpu": 4000, "memory_limit_mb": 1000, "estimated_ms": 400, "long_running": True,
              "anti_affinity": 2}]
    if not await scene.submit(outside, JOB, steps):
        raise TimeoutError("the job was not accepted")
    await scene.until(lambda: sum(len(w.runs) for w in scene.workers) == 6, 15, "all tasks at work")
    await asyncio.sleep(4)
    cut["token"] = max(w.token for w in scene.workers)
    if TROUBLE:
        scene.record("the zone makurdi is cut off; its coordinator has token", cut["token"])
        cut["on"] = True
        for worker in scene.workers:
            worker.reports = worker.zone != "makurdi"
    await asyncio.sleep(CUT_SECONDS)
    scene.record("the zone makurdi is connected again")
    cut["on"] = False
    for worker in scene.workers:
        worker.reports = True
    await asyncio.sleep(8)
    scene.account.conclude()
    return scene.account.breaches


main(__file__, play)
