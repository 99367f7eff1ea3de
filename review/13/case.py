"""Small submissions of scheduled jobs fill the memory of each owner for good."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib3"))
from standin import Platform, unix_ms
from system import call, config, free_base, run_case, System
from traffic import DEADLINE_MS, guard_memory, lost_jobs, ordinary_consumer, TROUBLE_AT_S

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS = 90
# One task every ten minutes, from an hour on.
REPEATS, INTERVAL_MS, FIRST_IN_MS = 20000, 600000, 3600000


async def uncontrolled_client(system, record, begun):
    await asyncio.sleep(TROUBLE_AT_S - (time.monotonic() - begun))
    body = {"spec": "", "steps": [{"count": 1, "cpu": 500, "estimate-ms": 400}],
            "repeats": REPEATS, "first-ms": unix_ms() + FIRST_IN_MS, "interval-ms": INTERVAL_MS}
    accepted = 0
    for number in range(JOBS):
        node = system.nodes[number % len(system.nodes)]
        job = f"f{number:015x}"
        status, _ = await call(node.ip, 8624, "POST", f"/quick/{job}", body,
                               {"Deadline-Ms": DEADLINE_MS}, timeout=DEADLINE_MS / 1000)
        record.note(f"POST {job} ({REPEATS} repeats) at {node.name}: {status or 'no answer'}")
        accepted += status == 200
        await asyncio.sleep(0.05)
    record.note(f"{accepted} of {JOBS} jobs with {REPEATS} repeats were accepted")


async def run(record):
    base = free_base()
    platform = Platform(base, {"quick": 4, "spare": 1})
    await platform.start()
    platform.put_config(config())
    system = System(base, platform, nodes=3)
    kills = []
    try:
        system.start()
        if not await system.ready():
            record.note("the nodes did not become ready")
            return 2
        asyncio.ensure_future(guard_memory(system, record, kills))
        begun = time.monotonic()
        if TROUBLE:
            asyncio.ensure_future(uncontrolled_client(system, record, begun))
        accepted, sent = await ordinary_consumer(system, record, begun)
        lost = await lost_jobs(system, platform, record, accepted)
        record.note(f"processes over the memory of their machine: {len(kills)}")
        print(f"kills {len(kills)}, lost {len(lost)}, accepted {len(accepted)} of {sent}")
        return 1 if kills or lost else 0
    finally:
        system.stop()
        record.write(platform)


if __name__ == "__main__":
    run_case(FOLDER, run)
