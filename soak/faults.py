"""Injects overlapping faults, drawn from a seeded generator, from outside the programs."""

import asyncio
import signal

LONGEST_S = 4.0


class Faults:
    """The faults of one run. `system` has the processes, the links and the stand-in's switches."""

    def __init__(self, rng, system):
        self._rng = rng
        self._system = system
        self._switches = {}
        self.done = []

    def _kinds(self):
        return [
            (3, self.node_kill), (3, self.node_pause), (2, self.node_stop), (1, self.node_hang_up),
            (1, self.all_kill), (1, self.roll),
            (2, self.log_cut), (1, self.log_reset), (1, self.log_slow_link),
            (1, self.log_down), (1, self.log_slow), (1, self.log_answers_lost), (1, self.log_forget),
            (2, self.peer_cut), (1, self.peer_reset), (1, self.peer_slow),
            (2, self.worker_cut), (1, self.worker_reset), (2, self.worker_crash),
            (1, self.orders_lost), (1, self.orders_late), (1, self.configure),
        ]

    async def inject(self, until, gap_s):
        """Injects a fault every `gap_s` seconds on average; faults may overlap."""
        loop = asyncio.get_running_loop()
        pending = set()
        weights, actions = zip(*self._kinds())
        while loop.time() < until:
            action = self._rng.choices(actions, weights)[0]
            duration_s = self._rng.uniform(0.2, LONGEST_S)
            self.done.append((round(until - loop.time(), 1), action.__name__, round(duration_s, 1)))
            task = asyncio.ensure_future(action(duration_s))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(self._rng.expovariate(1 / gap_s))
        await asyncio.gather(*pending)

    def _node(self):
        return self._rng.choice(self._system.nodes)

    async def node_kill(self, _):
        self._node().send(signal.SIGKILL)

    async def all_kill(self, _):
        for node in self._system.nodes:
            node.send(signal.SIGKILL)

    async def node_pause(self, duration_s):
        node = self._node()
        node.send(signal.SIGSTOP)
        # Sometimes longer than the leases last and a successor needs to take over.
        await asyncio.sleep(duration_s * self._rng.choice([0.2, 1, 2]))
        node.send(signal.SIGCONT)

    async def node_stop(self, _):
        self._node().send(signal.SIGTERM)

    async def node_hang_up(self, _):
        self._node().send(signal.SIGHUP)

    async def roll(self, duration_s):
        for node in self._system.nodes:
            node.send(signal.SIGTERM)
            await asyncio.sleep(duration_s / 4)

    async def _cut(self, link, duration_s):
        forwards, returns = self._rng.choice([(False, True), (True, False), (False, False)])
        link.cut(forwards, returns)
        await asyncio.sleep(duration_s)
        link.heal()

    async def _slow(self, link, duration_s):
        link.delay_s = self._rng.choice([0.02, 0.1, 0.4])
        await asyncio.sleep(duration_s)
        link.heal()

    async def log_cut(self, duration_s):
        await self._cut(self._rng.choice(self._system.log_links), duration_s)

    async def log_reset(self, _):
        self._rng.choice(self._system.log_links).reset()

    async def log_slow_link(self, duration_s):
        await self._slow(self._rng.choice(self._system.log_links), duration_s)

    async def peer_cut(self, duration_s):
        await self._cut(self._rng.choice(self._system.peer_links), duration_s)

    async def peer_reset(self, _):
        self._rng.choice(self._system.peer_links).reset()

    async def peer_slow(self, duration_s):
        await self._slow(self._rng.choice(self._system.peer_links), duration_s)

    async def worker_cut(self, duration_s):
        await self._cut(self._rng.choice(self._system.worker_links), duration_s)

    async def worker_reset(self, _):
        self._rng.choice(self._system.worker_links).reset()

    async def worker_crash(self, _):
        await self._system.switch("/crash")

    async def log_forget(self, _):
        await self._system.switch("/forget")

    async def configure(self, _):
        await self._system.configure()

    async def _switched(self, duration_s, **values):
        self._switches.update(values)
        await self._system.switch("/faults", self._switches)
        await asyncio.sleep(duration_s)
        for name in values:
            self._switches.pop(name, None)
        await self._system.switch("/faults", self._switches)

    async def log_down(self, duration_s):
        await self._switched(duration_s, log_down=True)

    async def log_slow(self, duration_s):
        await self._switched(duration_s, log_delay_ms=self._rng.choice([50, 250]))

    async def log_answers_lost(self, duration_s):
        await self._switched(duration_s, log_lost=30)

    async def orders_lost(self, duration_s):
        await self._switched(duration_s, orders_lost=30)

    async def orders_late(self, duration_s):
        await self._switched(duration_s, orders_late=30)
