"""One worker fails what it starts: a gang on it fails once, and its job is given up."""

import asyncio
import json

from system import PREFIX, TROUBLE, Consumer, System, main

ATTEMPTS = 3
GANG = 3
WORK_MS = 600
FAILS_S = 6.5
WORKERS = 6
SPARE = 6
WATCH_S = 20
JOB = "00000000000000a6"


async def scenario(system):
    record, platform = system.record, system.platform
    if TROUBLE:
        # The pool is idle and keeps one worker or two. One in twelve machines fails what it starts.
        machine = next(machine for machine in platform.machines.values() if machine.worker)
        record(f"the worker on {machine.name} fails all that it starts for {FAILS_S} s")
        machine.worker.fails_starts = True
        asyncio.get_running_loop().call_later(FAILS_S, heal, system, machine)
    consumer = Consumer(record, system.nodes[0])
    accepted, _ = await consumer.call("POST", PREFIX + JOB, {
        "spec": json.dumps({"ms": WORK_MS, "gang": GANG}),
        "steps": [{"count": GANG, "cpu": 1000, "mem-mb": 256, "estimate-ms": WORK_MS,
                   "gang": True}]})
    if accepted != 200:
        raise RuntimeError("the job was not accepted")
    state = None
    for _ in range(WATCH_S):
        await asyncio.sleep(1)
        state = (await consumer.call("GET", PREFIX + JOB))[1].get("state")
        if state in ("completed", "failed"):
            break
    return check_failed(platform, state)


def heal(system, machine):
    system.record(f"the worker on {machine.name} is sound again")
    if machine.worker:
        machine.worker.fails_starts = False


def check_failed(platform, state):
    """LOST: a job is shown as failed, and no gang of it has failed as often as its queue allows."""
    failed_runs = {run for _, task, run, _, what in platform.ends
                   if task.startswith(JOB) and what == "failed"}
    if state == "failed" and len(failed_runs) < ATTEMPTS:
        return [f"LOST: the job is shown as failed after runs {sorted(failed_runs)} of its gang "
                f"failed; {ATTEMPTS} attempts are allowed"]
    return []


main(lambda folder: System(folder, in_pool=WORKERS, in_spare=SPARE), scenario)
