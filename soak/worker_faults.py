"""Faults of workers, of their entries and of links that refuse, beside those of `Faults`.

They are drawn from a generator of their own, so that the other faults of a seed remain the same.
"""

import asyncio
import json

from faults import Faults

ENTRY = {"service": "quick", "address": "127.0.0.1:9", "zone": "one", "version": "v1", "slots": 8,
         "state": "ready", "cold-left-ms": 0, "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
         "labels": ["a", "r9"], "born": 1, "sequence": 1}
NESTING = 40_000
# JSON texts that replace the value of a field.
ODD_VALUES = ("1e999", "99999999999999999999999999", "-1", "null", "[]", "{}", '"\\ud800"', "1.5")
ODD_ADDRESSES = ("127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1", ":", "[::1]:80:80",
                 "127.0.0.1:99999999999999999999", "")


def draw_odd_entry(rng):
    """Returns the bytes of an entry that names no worker to use."""
    field = rng.choice(sorted(ENTRY))
    without = {name: value for name, value in ENTRY.items() if name != field}
    head = json.dumps(without)[:-1].encode()
    address = rng.choice(ODD_ADDRESSES)
    value = rng.choice(ODD_VALUES)
    return rng.choice([
        b"[" * NESTING + b"]" * NESTING,
        head + b', "' + field.encode() + b'": ' + b'{"a":' * NESTING + b"1" + b"}" * NESTING + b"}",
        head + b', "capacity": {"cpu": ' + value.encode() + b"}}",
        head + f', "{field}": {value}}}'.encode(),
        json.dumps({**ENTRY, "address": address}).encode(),
        json.dumps({**ENTRY, "service": "absent"}).encode(),
        json.dumps(without).encode()[:-3],
        json.dumps({"sequence": 3}).encode(),
        b"\xff\xfe\x00", b"not JSON", b"null",
    ])


class WorkerFaults(Faults):
    """Injects the kinds of WORKER_KINDS that `names` has."""

    def __init__(self, rng, system, names):
        super().__init__(rng, system)
        self._names = names

    def _kinds(self):
        return [(weight, getattr(self, name)) for name, weight in WORKER_KINDS.items()
                if name in self._names]

    async def inject(self, until, gap_s):
        if self._kinds():
            await super().inject(until, gap_s)

    def _some_vms(self):
        count = self._rng.choice([1, 1, 2, 4, len(self._system.worker_links)])
        return self._rng.sample(range(len(self._system.worker_links)), count)

    def _some_links(self):
        return [self._system.worker_links[vm] for vm in self._some_vms()]

    async def refuse(self, duration_s):
        links = self._some_links()
        for link in links:
            link.refuse()
        await asyncio.sleep(duration_s)
        for link in links:
            await link.start()

    async def _break(self, links, request, duration_s):
        """The next such request arrives; its answer is lost by a reset, and the link refuses."""
        for link in links:
            link.breaks_after = request
        await asyncio.sleep(duration_s)
        for link in links:
            link.breaks_after = None
            await link.start()

    async def break_starts(self, duration_s):
        await self._break(self._some_links(), b"POST /-/run-start ", duration_s)

    async def break_appends(self, duration_s):
        await self._break(self._system.log_links, b"POST /-/log-append", duration_s)

    async def break_peers(self, duration_s):
        await self._break(self._system.peer_links, b"POST ", duration_s)

    async def cut_some_nodes(self, duration_s):
        nodes = self._rng.sample([node.name for node in self._system.nodes],
                                 self._rng.randint(1, len(self._system.nodes) - 1))
        links = self._some_links()
        for link in links:
            link.cut_from(nodes)
        await asyncio.sleep(duration_s)
        for link in links:
            link.heal()

    async def silence(self, _):
        links = self._rng.choice([self._system.worker_links, self._system.log_links,
                                  self._system.peer_links])
        for link in self._rng.sample(links, self._rng.randint(1, len(links))):
            link.silence()

    async def restart(self, duration_s):
        """Restarts workers, together or as a series, under their old ids or new ones."""
        vms, gap_s = self._some_vms(), self._rng.choice([0, 0.2, 1])
        refuses = self._rng.random() < 0.5
        drawn = [(vm, {"down_ms": int(1000 * duration_s * self._rng.choice([0.02, 0.5, 1])),
                       "entry_delay_ms": self._rng.choice([0, 500, 1500, 3000]),
                       "born_shift_ms": self._rng.choice([0, 0, -60_000]),
                       "keeps_id": self._rng.random() < 0.7}) for vm in vms]
        await asyncio.gather(*(self._restart(vm, values, refuses, gap_s * place)
                               for place, (vm, values) in enumerate(drawn)))

    async def late_restart(self, duration_s):
        """Restarts workers under their ids, some twice, which then carry out the orders of before."""
        await self._restart_some_late(duration_s, closes=False)

    async def late_copies(self, duration_s):
        """The same, but the connections of late orders close, so that clients repeat them."""
        await self._restart_some_late(duration_s, closes=True)

    async def _restart_some_late(self, duration_s, closes):
        vms = self._rng.sample(range(len(self._system.worker_links)), self._rng.choice([2, 3, 4]))
        drawn = [(vm, [self._draw_late_restart(duration_s)
                       for _ in range(self._rng.choice([1, 1, 2]))]) for vm in vms]
        if self._rng.random() < 0.3:
            await self.node_kill(duration_s)
        await asyncio.gather(*(self._restart_late(vm, restarts, closes) for vm, restarts in drawn))

    def _draw_late_restart(self, duration_s):
        """Returns the time with late orders before a restart, how connections end, and the rest."""
        return self._rng.uniform(0.2, 1.5), self._rng.random() < 0.5, {
            "down_ms": int(1000 * duration_s * self._rng.choice([0.1, 0.5, 1, 2])),
            "vm_is_down": self._rng.random() < 0.6,
            "late_percent": self._rng.choice([40, 80, 100]),
            "entry_delay_ms": self._rng.choice([0, 1500, 5000]),
            "born_shift_ms": 0, "keeps_id": True}

    async def _restart_late(self, vm, restarts, closes):
        for before_s, refuses, values in restarts:
            await self._system.change_worker(
                "late-orders", vm, percent=values["late_percent"], closes=closes)
            await asyncio.sleep(before_s)
            await self._restart(vm, values, refuses, 0)
        await self._system.change_worker("late-orders", vm, percent=0)

    async def _restart(self, vm, values, refuses, delay_s):
        await asyncio.sleep(delay_s)
        link = self._system.worker_links[vm]
        # Connections end with the worker that had them: at once, or unnoticed until it is back.
        if refuses:
            link.refuse()
        else:
            link.silence()
        await self._system.change_worker("restart", vm, **values)
        await asyncio.sleep(values["down_ms"] / 1000)
        link.reset()
        await link.start()

    async def shrink(self, duration_s):
        vms, percent = self._some_vms(), self._rng.choice([10, 25, 50, 75])
        await asyncio.gather(*(self._system.change_worker("capacity", vm, percent=percent)
                               for vm in vms))
        # Long enough that the shrunk capacity counts.
        await asyncio.sleep(6 + duration_s)
        await asyncio.gather(*(self._system.change_worker("capacity", vm, percent=100)
                               for vm in vms))

    async def odd_entry(self, duration_s):
        key = self._rng.choice(["x-odd", "", "i-999999", "m" * 200])
        await self._system.put_entry(key, draw_odd_entry(self._rng))
        await asyncio.sleep(duration_s)
        await self._system.put_entry(key, b"")


# Kinds with their weights. "deadly" and "gangs" are kinds of jobs instead of faults, see `Callers`;
# "operator" changes routes in series, see `Operator`.
WORKER_KINDS = {"refuse": 2, "break_starts": 3, "cut_some_nodes": 2, "silence": 1, "restart": 3,
                "shrink": 2, "odd_entry": 2, "break_appends": 1, "break_peers": 1, "late_restart": 3,
                "late_copies": 1}
