#!/usr/bin/env python3
"""Plays random faults against the real programs and checks the promises while it runs.

    soak/soak.py --seed 7 --seconds 25

Choices follow from the seed; times of the machine do not. Exits with 1 if a promise broke, and
keeps the logs of such a run.
"""

import argparse
import asyncio
import random
import shutil
import sys
import tempfile
import time

from callers import Callers
from faults import Faults
from oracle import Oracle
from system import System

WARM_UP_S = 2.0
# finish time of the promises, and what leases and late orders may take before it.
SETTLE_S = 28.0
CHECK_INTERVAL_S = 0.5
FAULT_GAP_S = 0.9
NODE_COUNTS = (3, 4, 5)
# With the least, the fleet is a large one for its owner, and other nodes carry the orders.
NODE_CORES = ("0.5", "0.02")


async def watch(system, oracle, over):
    """Takes the ledger, judges ends of processes, and checks what callers were told."""
    while True:
        oracle.take(await system.ledger(oracle.events))
        for fault in system.restart_ended(time.time()):
            oracle.fail(fault)
        # Answers are compared with a ledger that was read after them.
        oracle.check_callers()
        if over.is_set():
            return
        await asyncio.sleep(CHECK_INTERVAL_S)


async def settle(callers, oracle):
    """Asks for all jobs until nothing is owed; what still is breaks a promise."""
    end = time.time() + SETTLE_S
    while time.time() < end:
        owed = oracle.unfinished()
        lingering = oracle.still_running_cancelled()
        if not owed and not lingering:
            return
        await asyncio.gather(*(callers.ask(job) for job in owed))
        await asyncio.sleep(CHECK_INTERVAL_S)
    for job in oracle.unfinished():
        oracle.fail(f"LOST: {job.id} is {job.states[-1][2] if job.states else 'unasked'} at the end")
    for task in oracle.still_running_cancelled():
        oracle.fail(f"UNASKED: {task} runs long after its cancel")


async def play(options, folder):
    rng = random.Random(options.seed)
    nodes = options.nodes or rng.choice(NODE_COUNTS)
    cores = options.cores or rng.choice(NODE_CORES)
    system = System(folder, options.build, options.base_port, nodes, cores)
    callers = Callers(random.Random(rng.random()), system.caller_ports)
    oracle = Oracle(callers.jobs)
    faults = Faults(random.Random(rng.random()), system)
    over = asyncio.Event()
    try:
        await system.start()
        watching = asyncio.ensure_future(watch(system, oracle, over))
        until = time.time() + WARM_UP_S + options.seconds
        living = asyncio.ensure_future(callers.live(until, options.jobs_per_s))
        await asyncio.sleep(WARM_UP_S)
        await faults.strike(asyncio.get_running_loop().time() + options.seconds, FAULT_GAP_S)
        await system.heal()
        await living
        await settle(callers, oracle)
        over.set()
        await watching
    finally:
        callers.close()
        await system.stop()
    return oracle, faults


def report(options, oracle, faults, jobs):
    accepted = sum(job.accepted_at is not None for job in jobs.values())
    print(f"seed {options.seed}: {len(jobs)} jobs, {accepted} accepted, {oracle.starts} starts, "
          f"{len(faults.done)} faults, {len(oracle.broken)} broken", flush=True)
    for each in oracle.broken[:10]:
        print(f"  {each}", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25, help="how long faults strike")
    parser.add_argument("--nodes", type=int, help="drawn by default")
    parser.add_argument("--cores", help="what each node is told to have; drawn by default")
    parser.add_argument("--jobs_per_s", type=float, default=6)
    parser.add_argument("--build", default="build")
    parser.add_argument("--base_port", type=int, default=17200)
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="peridot-soak-")
    oracle, faults = asyncio.run(play(options, folder))
    report(options, oracle, faults, oracle.jobs)
    if oracle.broken:
        for each in faults.done:
            print(f"  fault {each}")
        print(f"  logs: {folder}")
        sys.exit(1)
    shutil.rmtree(folder)


if __name__ == "__main__":
    main()
