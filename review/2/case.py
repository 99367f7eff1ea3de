"""Channels between machines go silent: the nodes go on using them, and answer no call any more."""

import asyncio
import json

from meshed import MeshedSystem
from system import PREFIX, TROUBLE, Consumer, main

STABLE_WINDOW_S = 3.0
ACK_S = 4.0
CANCEL_S = 3.0
STOP_S = 0.2
FINISH_S = 14.0
DEADLINE_MS = 3000
JOB = "00000000000000b1"
ASKED_JOB = "00000000000000b2"
ZONES = ("nord", "nord", "sued", "sued", "ost", "ost")


async def scenario(system):
    record = system.record
    # All nodes are ready and stay so, so the platform sends consumers to those of their zone.
    zone = next(node.zone for node in system.nodes if node.zone != system.owner.zone)
    nodes = [node for node in system.nodes if node.zone == zone]
    record(f"the owner is {system.owner.name}; the consumer's zone is {zone}")
    lasting = {"spec": "{}", "steps": [{"count": 2, "cpu": 1000, "mem-mb": 256,
                                        "estimate-ms": 900, "long-running": True}]}
    short = {"spec": json.dumps({"ms": 400}),
             "steps": [{"count": 2, "cpu": 1000, "mem-mb": 256, "estimate-ms": 400}]}
    consumers = [Consumer(record, node) for node in nodes]
    accepted = [await consumers[0].call("POST", PREFIX + JOB, lasting),
                await consumers[1].call("POST", PREFIX + ASKED_JOB, short)]
    if [answer[0] for answer in accepted] != [200, 200]:
        raise RuntimeError("the jobs were not accepted")
    await asyncio.sleep(3)
    owner = system.owner
    if TROUBLE:
        count = system.peer_links[owner].silence()
        record(f"the {count} open channels from other machines to {owner.name} go silent for good")
    await asyncio.sleep(STABLE_WINDOW_S + 0.5)
    acknowledged = await cancel(consumers, JOB)
    await asyncio.sleep(CANCEL_S + STOP_S)
    broken = check_cancelled(system, acknowledged)
    # The cancel was the last of the traffic.
    await asyncio.sleep(FINISH_S - CANCEL_S - STOP_S)
    return broken + await check_known(system, consumers)


async def cancel(consumers, job):
    """Sends the cancel, at one node after the other, until it is acknowledged or has waited."""
    loop = asyncio.get_running_loop()
    until = loop.time() + ACK_S
    turn = 0
    while loop.time() < until:
        status, _ = await consumers[turn % len(consumers)].call("DELETE", PREFIX + job,
                                                                deadline_ms=DEADLINE_MS)
        if status in (200, 410):
            return True
        turn += 1
        await asyncio.sleep(0.2)
    return False


def check_cancelled(system, acknowledged):
    """UNASKED: a task runs on after its job's cancelling had waited for its acknowledgement."""
    running = [task for machine in system.platform.machines.values() if machine.worker
               for task in machine.worker.runs if task.startswith(JOB)]
    system.record(f"cancel acknowledged: {acknowledged}; tasks of the job at work: {running}")
    return [f"UNASKED: {task} runs on, {CANCEL_S + STOP_S} s after the cancel of its job "
            f"{'was acknowledged' if acknowledged else f'had waited {ACK_S} s'}"
            for task in running]


async def check_known(system, consumers):
    """LOST: an accepted job is asked for after the traffic, and gets no answer in time."""
    states = []
    for consumer in consumers * 3:
        status, body = await consumer.call("GET", PREFIX + ASKED_JOB, deadline_ms=DEADLINE_MS)
        states.append((consumer.node.name, status, body))
        if status == 200:
            return []
    rotation = [node.name for node in system.nodes if await system.ready(node)]
    system.record(f"ready now: {rotation}")
    return [f"LOST: no answer for an accepted job from any node of its zone: {states}"]


main(lambda folder: MeshedSystem(folder, ZONES), scenario)
