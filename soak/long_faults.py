"""Faults that last from seconds to a minute, and nodes that come and go for good.

They are drawn from a generator of their own, so that the other faults of a seed remain the same.
"""

import asyncio
import signal

from faults import Faults
from proxy import Block

SHORTEST_S = 12.0
# Part of the nodes that may be gone for good in one run.
GONE_SHARE = 0.6
ROLL_GAP_S = 1.0


class LongFaults(Faults):
    """Injects long faults that end at the latest `longest_s` after their start."""

    def __init__(self, rng, system, callers, longest_s):
        super().__init__(rng, system)
        self._callers = callers
        self._longest_s = longest_s

    def _kinds(self):
        return [(3, self.node_stopped), (3, self.refused_to), (2, self.refused_from),
                (3, self.pair_refused), (3, self.pair_cut), (2, self.zone_cut), (2, self.no_log),
                (1, self.node_added), (2, self.node_replaced), (1, self.nodes_gone),
                (1, self.long_roll)]

    async def inject(self, until, gap_s):
        """Injects a fault every `gap_s` seconds on average; those at `until` go on until their end."""
        loop = asyncio.get_running_loop()
        pending = set()
        weights, actions = zip(*self._kinds())
        while loop.time() < until:
            action = self._rng.choices(actions, weights)[0]
            duration_s = min(self._rng.uniform(SHORTEST_S, max(SHORTEST_S, self._longest_s)),
                             self._longest_s)
            self.done.append((round(until - loop.time(), 1), action.__name__, round(duration_s, 1)))
            pending.add(asyncio.ensure_future(action(duration_s)))
            await asyncio.sleep(self._rng.expovariate(1 / gap_s))
        await asyncio.gather(*pending)

    def _note(self, text):
        """Adds what a fault has chosen to the list of the faults."""
        self.done[-1] = (*self.done[-1], text)

    def _place(self):
        return self._rng.choice(self._system.present)

    def _name(self, place):
        return self._system.nodes[place].name

    async def _block(self, links, block, duration_s):
        for link in links:
            link.block(block)
        await asyncio.sleep(duration_s)
        for link in links:
            await link.lift(block)

    async def node_stopped(self, duration_s):
        place = self._place()
        self._note(self._name(place))
        node, reason = self._system.nodes[place], object()
        node.hold(reason)
        await asyncio.sleep(duration_s)
        node.release(reason)

    async def refused_to(self, duration_s):
        place = self._place()
        self._note(self._name(place))
        await self._block([self._system.peer_links[place]], Block(refuses=True), duration_s)

    async def refused_from(self, duration_s):
        place = self._place()
        self._note(self._name(place))
        await self._block(self._system.peer_links, Block([self._name(place)], refuses=True),
                          duration_s)

    def _pair(self):
        opener, target = self._rng.sample(self._system.present, 2)
        self._note(f"{self._name(opener)} to {self._name(target)}")
        return self._name(opener), self._system.peer_links[target]

    async def pair_refused(self, duration_s):
        opener, link = self._pair()
        await self._block([link], Block([opener], refuses=True), duration_s)

    async def pair_cut(self, duration_s):
        opener, link = self._pair()
        forwards, returns = self._rng.choice([(False, True), (True, False), (False, False)])
        await self._block([link], Block([opener], forwards, returns), duration_s)

    async def zone_cut(self, duration_s):
        """Cuts the links between the nodes of a zone and the others, sometimes one way."""
        zone = self._rng.choice(self._system.shape.zones)
        ways = self._rng.choice([(True, True), (True, False), (False, True)])
        self._note(f"{zone} {ways}")
        inside = {place for place in self._system.present if self._system.zones[place] == zone}
        outside = set(self._system.present) - inside
        await asyncio.gather(*(
            self._block([self._system.peer_links[place] for place in targets],
                        Block([self._name(place) for place in openers], False, False), duration_s)
            for cuts, openers, targets in zip(ways, (inside, outside), (outside, inside)) if cuts))

    async def no_log(self, duration_s):
        place = self._place()
        self._note(self._name(place))
        await self._block([self._system.log_links[place]], Block(None, False, False), duration_s)

    async def node_added(self, _):
        place = self._place()
        name = f"added-{len(self._system.nodes)}"
        self._note(name)
        await self._add(name, place)

    async def node_replaced(self, duration_s):
        """Ends a node for good; one at another address follows, maybe under the same name."""
        place = self._place()
        if not self._may_remove(1):
            return
        same_name = self._rng.random() < 0.5
        name = self._name(place) if same_name else f"added-{len(self._system.nodes)}"
        pause_s = self._rng.choice([0.0, 0.5, duration_s / 4])
        self._note(f"{self._name(place)} by {name} after {pause_s:.1f} s")
        self._remove(place)
        await asyncio.sleep(pause_s)
        await self._add(name, place)

    async def nodes_gone(self, _):
        """Ends many nodes for good."""
        share = self._rng.uniform(0.2, GONE_SHARE)
        count = int(len(self._system.present) * share)
        if not self._may_remove(count):
            return
        gone = self._rng.sample(self._system.present, count)
        self._note(" ".join(self._name(place) for place in gone))
        for place in gone:
            self._remove(place)

    async def long_roll(self, _):
        for place in self._system.present:
            if place not in self._system.removed:
                self._system.nodes[place].send(signal.SIGTERM)
                await asyncio.sleep(ROLL_GAP_S)

    def _may_remove(self, count):
        present = len(self._system.present) - count
        return present >= 2 and present >= (1 - GONE_SHARE) * len(self._system.shape.nodes)

    def _remove(self, place):
        self._system.remove_node(place)
        self._callers.remove_node(self._system.caller_ports[place])

    async def _add(self, name, like):
        place = await self._system.add_node(
            name, self._system.zones[like], self._system.nodes[like].cores)
        self._callers.add_node(self._system.caller_ports[place])
