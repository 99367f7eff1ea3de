"""An operator that adds and drops routes, and the checks of what the nodes make of its changes."""

import asyncio
import time

# A change is in force this long after its acknowledgement, at nodes without a fault near.
IN_FORCE_S = 2.0
# After a node has shown a change, requests that are sent later than this see it, too; eight times
# as long on a node that may be slowed down.
ROLLBACK_S = 8 * 0.25
CHANGE_GAP_S = 0.8
ASK_GAP_S = 0.15
KEPT_ROUTES = 6
# How long a caller waits for an answer at the end, when there are no faults.
SERVED_S = 3.0


class Operator:
    """Changes the routes in series and asks every node for them, over connections that stay open.

    Each route has a name of its own, is added once and dropped once.
    """

    def __init__(self, rng, system, oracle):
        self._rng = rng
        self._system = system
        self._oracle = oracle
        self._connections = [system.connect(place) for place in range(len(system.caller_ports))]
        # By name: the versions that added and dropped the route; the latter is None until then.
        self._routes = {}
        # By incarnation of a node: versions that it has shown, with the times of the answers.
        self._shown = {}

    async def run(self, until):
        await asyncio.gather(self._change_until(until),
                             *(self._ask_until(number, until)
                               for number in range(len(self._connections))))

    async def change(self):
        """Adds a route or drops one, and returns once the change is acknowledged."""
        current = [name for name, (_, dropped) in self._routes.items() if dropped is None]
        version = self._system.next_version()
        if len(current) >= KEPT_ROUTES or (current and self._rng.random() < 0.4):
            self._routes[self._rng.choice(current)][1] = version
        else:
            self._routes[f"extra{version}"] = [version, None]
        names = [name for name, (_, dropped) in self._routes.items() if dropped is None]
        await self._system.configure(names)

    async def _change_until(self, until):
        while time.time() < until:
            await self.change()
            await asyncio.sleep(self._rng.expovariate(1 / CHANGE_GAP_S))

    async def _ask_until(self, number, until):
        while time.time() < until:
            if self._routes:
                newest = list(self._routes)[-3 * KEPT_ROUTES:]
                await self._ask(number, self._rng.choice(newest))
            await asyncio.sleep(ASK_GAP_S * (1 + self._rng.random()))

    async def _ask(self, number, name):
        incarnation = (number, self._system.nodes[number].starts)
        sent_at = time.time()
        status, _ = await self._connections[number].call("GET", f"/{name}/")
        if incarnation != (number, self._system.nodes[number].starts):
            return status
        added, dropped = self._routes[name]
        seen = max((version for version, at in self._shown.get(incarnation, [])
                    if at + ROLLBACK_S < sent_at), default=0)
        where = f"node-{number} answers {status} for {name}, added by {added}, dropped by {dropped}"
        if status == 404 and added <= seen and dropped is None:
            self._oracle.fail(f"CONFIG: {where}, after it had shown version {seen}")
        if status == 200 and dropped is not None and dropped <= seen:
            self._oracle.fail(f"CONFIG: {where}, after it had shown version {seen}")
        if status == 200:
            self._shown.setdefault(incarnation, []).append((added, time.time()))
        return status

    async def check_at_the_end(self):
        """Checks each node, after the faults: over its old connection and a new one."""
        await self.change()
        await asyncio.sleep(IN_FORCE_S)
        await asyncio.gather(*(self._check_node(number, connection)
                               for number in range(len(self._connections))
                               if number not in self._system.removed
                               for connection in (self._connections[number],
                                                  self._system.connect(number))))

    async def _check_node(self, number, connection):
        until = time.time() + SERVED_S
        ready = await self._system.is_ready(number)
        for name, (added, dropped) in list(self._routes.items())[-KEPT_ROUTES:]:
            expected = 200 if dropped is None else 404
            status, _ = await connection.call("GET", f"/{name}/")
            if status in (200, 404) and status != expected:
                self._oracle.fail(f"CONFIG: node-{number} answers {status} for {name} at the end, "
                                  f"added by {added}, dropped by {dropped}")
        status = None
        while time.time() < until and status != 410:
            status, _ = await connection.call("DELETE", "/quick/00000000000000ff")
        if status != 410:
            self._oracle.fail(f"LOST: node-{number} answers {status} at the end, "
                              f"{'ready' if ready else 'not ready'}")

    def close(self):
        for connection in self._connections:
            connection.close()
