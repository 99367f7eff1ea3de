#!/usr/bin/env python3
"""Plays one short scenario without chance: a fault that lasts, after which each node must serve.

    soak/scenarios.py refused_node

Exits with 1 and keeps the logs if a node doesn't serve.
"""

import argparse
import asyncio
import json
import shutil
import sys
import tempfile
import time

from callers import Connection, Job
from end_checks import EndChecks
from oracle import Oracle
from proxy import Block
from shapes import drawn_shape
from system import System

NODES = 5
CORES = "0.5"
START_S = 10.0
# Longer than nodes wait for a lost node before they act on its absence.
LONG_S = 36.0
# How long a node is asked while it has no link of its own to the owner, or the owner none to it.
PAIR_S = 12.0
ASK_GAP_S = 0.25
STEP = {"count": 1, "cpu": 100, "mem-mb": 16, "estimate-ms": 40}


class Scenario:
    """A system whose nodes all serve. `victim` is the place of a node that isn't the owner."""

    def __init__(self, system, oracle):
        self.system = system
        self.oracle = oracle
        self.jobs = oracle.jobs
        self.victim = self.owner = None

    async def start(self):
        await self.system.start()
        until = time.time() + START_S
        for place in self.system.present:
            while not await self.system.is_ready(place):
                if time.time() > until:
                    self.oracle.fail(f"START: node-{place} isn't ready after {START_S:.0f} s")
                    return
                await asyncio.sleep(0.1)
        self.owner = self._find_owner()
        self.victim = next(place for place in self.system.present if place != self.owner)

    def _find_owner(self):
        """Returns the place of the node that has loaded the newest state as the owner."""
        loaded = {}
        for place, node in enumerate(self.system.nodes):
            with open(node.log_path, encoding="utf-8") as log:
                for line in log:
                    if '"owner_loaded"' in line:
                        loaded[place] = int(json.loads(line)["context_map"]["epoch"])
        return max(loaded, key=loaded.get)

    async def refused_node(self):
        """Connections to one node are refused for long."""
        await self._block_for(LONG_S, self.victim, Block(refuses=True))

    async def stopped_node(self):
        """One node stands still for long."""
        self.system.nodes[self.victim].hold("scenario")
        await asyncio.sleep(LONG_S)
        self.system.nodes[self.victim].release("scenario")

    async def refused_pair(self):
        """A node's connections to the owner are refused, and only these."""
        await self._serve_without_pair(self.victim, self.owner)

    async def refused_pair_back(self):
        """The owner's connections to a node are refused, and only these."""
        await self._serve_without_pair(self.owner, self.victim)

    async def majority_gone(self):
        """The owner and two of the other four nodes end without notice, for good."""
        others = [place for place in self.system.present if place not in (self.owner, self.victim)]
        for place in (self.owner, *others[:2]):
            self.system.remove_node(place)

    async def majority_silent(self):
        """The same, but nothing tells the others: no connection of these nodes is reset."""
        others = [place for place in self.system.present if place not in (self.owner, self.victim)]
        for place in (self.owner, *others[:2]):
            self.system.nodes[place].hold("scenario")
            self.system.removed.add(place)

    async def _block_for(self, duration_s, target, block):
        self.system.peer_links[target].block(block)
        await asyncio.sleep(duration_s)
        await self.system.peer_links[target].lift(block)

    async def _serve_without_pair(self, opener, target):
        block = Block([self.system.nodes[opener].name], refuses=True)
        blocked = asyncio.ensure_future(self._block_for(PAIR_S, target, block))
        connection = Connection(self.system.caller_ports[self.victim])
        refused, calls, until = [], 0, time.time() + PAIR_S
        while time.time() < until:
            calls += 1
            job = Job(f"{calls:016x}", "/quick/", {"spec": '{"ms": 40}', "steps": [STEP]})
            self.jobs[job.id] = job
            for method, body, wanted in (("POST", job.body, (200,)), ("GET", None, (200,)),
                                         ("DELETE", None, (200, 410))):
                status, _ = await connection.call(method, job.path, body)
                if status not in wanted:
                    refused.append((method, status))
            await asyncio.sleep(ASK_GAP_S)
        connection.close()
        await blocked
        if refused:
            self.oracle.fail(f"LOST: node-{self.victim}, without a pair to the owner node-"
                             f"{self.owner}, refuses {len(refused)} of {3 * calls} calls: "
                             f"{sorted(set(refused), key=str)}")


SCENARIOS = ("refused_node", "stopped_node", "refused_pair", "refused_pair_back",
             "majority_gone", "majority_silent")


async def play(options, folder):
    system = System(folder, options.build, options.base_port, drawn_shape(NODES, CORES))
    oracle = Oracle({})
    scenario = Scenario(system, oracle)
    end_checks = EndChecks(system, oracle, oracle.jobs)
    try:
        await scenario.start()
        if not oracle.violations:
            await end_checks.open_connections()
            await getattr(scenario, options.scenario)()
            await end_checks.check()
    finally:
        end_checks.close()
        await system.stop()
    return scenario


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=SCENARIOS)
    parser.add_argument("--build", default="build")
    parser.add_argument("--base_port", type=int, default=19000)
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix=f"peridot-{options.scenario}-")
    began = time.time()
    scenario = asyncio.run(play(options, folder))
    violations = scenario.oracle.violations
    print(f"{options.scenario}: owner node-{scenario.owner}, victim node-{scenario.victim}, "
          f"{len(violations)} broken, {time.time() - began:.0f} s")
    for violation in violations:
        print(f"  {violation}")
    if violations:
        print(f"  logs: {folder}")
        sys.exit(1)
    shutil.rmtree(folder)


if __name__ == "__main__":
    main()
