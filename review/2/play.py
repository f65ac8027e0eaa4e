"""One job that can never be done keeps others from starting."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import CONFIG_BOUNDS, TROUBLE, main, route  # noqa: E402

RUN_SECONDS = 3.0
JOBS, TASKS, CORES = 40, 4, 4000
IDLE_SECONDS = 3.0


async def play(scene):
    await scene.open([route("plans", "/plans/", priority=2, max_attempts=2), route()])
    entry = await scene.entry("front-ibadan-1")
    await scene.entry("front-ibadan-2")
    for i in range(3):
        await scene.worker(f"i-ibadan-{i}", lambda task: RUN_SECONDS)
    for each in scene.entries:
        await scene.ready(each)
    step = {"count": TASKS, "cpu": CORES, "memory_limit_mb": 3200, "estimated_ms": int(RUN_SECONDS * 1000),
            "fills": True, "image": "season"}
    if TROUBLE:
        # No worker has this label.
        hopeless = dict(step, count=1, requirements="kind-that-no-worker-has")
        if not await scene.submit(entry, "00000000000002ff", [hopeless], "/plans/"):
            raise TimeoutError("the hopeless job was not accepted")
    await asyncio.sleep(5)
    jobs = [f"00000000000012{i:02x}" for i in range(JOBS)]
    for job in jobs:
        if not await scene.submit(entry, job, [step], "/plans/"):
            raise TimeoutError("a job was not accepted")
    ended = scene.record.at()
    # All the work takes 40 s of the three workers.
    while scene.record.at() - ended < 40 + CONFIG_BOUNDS["finish_s"]:
        await asyncio.sleep(0.2)
        if len(scene.account.done_at) == JOBS * TASKS:
            break
    now = scene.record.at()
    idle = now - max(at for at, *_ in scene.account.starts) - RUN_SECONDS
    running = sum(len(w.runs) for w in scene.workers)
    breaches = []
    for job in jobs:
        status, answer = await entry.call("GET", f"/plans/{job}")
        if status == 200 and answer["state"] == "completed":
            continue
        if status != 200:
            breaches.append(f"LOST: {job} gets {status}")
        elif running == 0 and idle >= IDLE_SECONDS:
            breaches.append(f"LOST: {job} is {answer['state']}, nothing has run for {idle:.1f} s, all workers are idle, "
                            f"{now - ended:.1f} s after the end of traffic")
    for breach in breaches:
        scene.record("BREACH", breach)
    scene.account.conclude()
    return breaches + scene.account.breaches


main(__file__, play)
