"""Ordinary consumers beside a disruption, the platform's guard of memory, and the rule LOST."""
import asyncio
import json
import time

from system import call

MEMORY_MB = 260          # memory-mb of the deployment's machines
RESTART_S = 0.5          # "restarted after a short delay"
TRAFFIC_S = 20.0         # time for which ordinary consumers submit jobs
TROUBLE_AT_S = 5.0
FINISH_S = 14.0          # finish_s of the deployment
STALL_S = 3.2            # more than the 3 s of the rule
DEADLINE_MS = 3000       # deadline of the deployment's requests


async def guard_memory(system, record, kills):
    """Kills each process that is over its machine's memory, and starts it again."""
    loop = asyncio.get_event_loop()
    while True:
        for node in system.nodes:
            used = node.rss_mb() if node.alive() else 0
            if used > MEMORY_MB:
                kills.append(node.name)
                record.note(f"platform kills {node.name}: {used} MB of {MEMORY_MB} MB")
                node.kill()
                loop.call_later(RESTART_S, node.start)
        await asyncio.sleep(0.03)


async def submit(system, record, job, body, first):
    """Submits as a consumer does: repeats at other nodes while nothing says what became of it."""
    for attempt in range(5):
        node = system.nodes[(first + attempt) % len(system.nodes)]
        status, _ = await call(node.ip, 8624, "POST", f"/quick/{job}", body,
                               {"Deadline-Ms": DEADLINE_MS}, timeout=DEADLINE_MS / 1000)
        record.note(f"POST {job} at {node.name}: {status or 'no answer'}")
        if status not in (0, 429, 502, 503, 504):
            return status
        await asyncio.sleep(0.2)
    return 0


async def ordinary_consumer(system, record, begun):
    """Submits two jobs a second, each a chain of eight steps of a second. Returns the accepted."""
    accepted, pending, number = [], [], 0
    step = {"count": 2, "cpu": 500, "mem-mb": 100, "estimate-ms": 1000}
    body = {"spec": "ms=1000",
            "steps": [step] + [{**step, "depends-on": [before]} for before in range(7)]}

    async def one(job, first):
        if await submit(system, record, job, body, first) == 200:
            accepted.append(job)

    while time.monotonic() - begun < TRAFFIC_S:
        number += 1
        pending.append(asyncio.ensure_future(one(f"{number:016x}", number)))
        await asyncio.sleep(0.5)
    await asyncio.gather(*pending)
    record.note(f"end of the traffic: {len(accepted)} of {number} ordinary jobs accepted")
    return accepted, number


async def ask(system, record, job):
    """Returns the job's state as any node tells it; None if none answers in time."""
    for node in system.nodes:
        status, content = await call(node.ip, 8624, "GET", f"/quick/{job}", None,
                                     {"Deadline-Ms": DEADLINE_MS}, timeout=DEADLINE_MS / 1000)
        record.note(f"GET {job} at {node.name}: {status or 'no answer'} {content.decode()}")
        if status == 200:
            return json.loads(content)["state"]
    return None


def has_worked_since(platform, job, since):
    """Returns whether a task of the job has run at any moment since a time."""
    runs_now = any(task.startswith(job) for worker in platform.workers for task in worker.runs)
    return runs_now or any(event["at"] >= since and event["task"].startswith(job)
                           for event in platform.events)


def half_is_free(platform, service="quick"):
    """Returns whether under half of the service's capacity is in use."""
    workers = [worker for worker in platform.workers if worker.service == service and worker.up]
    used = sum(worker.used_cpu() for worker in workers)
    return bool(workers) and used * 2 < sum(worker.cpu for worker in workers)


async def lost_jobs(system, platform, record, accepted):
    """Returns the accepted jobs that the rule LOST counts, `FINISH_S` after the traffic."""
    await asyncio.sleep(FINISH_S)
    sample = accepted[:12]
    before = {}
    for job in sample:
        before[job] = await ask(system, record, job)
        if list(before.values()).count(None) == 3:
            break
    unknown = [job for job, state in before.items() if state in (None, "failed", "cancelled")]
    open_jobs = [job for job, state in before.items() if state in ("queued", "running")]
    since = time.monotonic() - platform.begun
    free_before = half_is_free(platform)
    await asyncio.sleep(STALL_S)
    free = free_before and half_is_free(platform)
    idle = [job for job in open_jobs if free and not has_worked_since(platform, job, since)]
    stalled = [job for job in idle[:3] if await ask(system, record, job) in ("queued", "running")]
    record.note(f"accepted jobs that are unknown, or get no answer in time: {unknown}")
    record.note(f"accepted jobs with nothing running for {STALL_S} s, while over half of the "
                f"service's capacity is free: {stalled}")
    return unknown + stalled
