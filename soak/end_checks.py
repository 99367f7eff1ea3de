"""Asks every node at the end for every kind of call, over old connections and new ones."""

import asyncio
import random
import time

from callers import Job
from operator_checks import IN_FORCE_S

# After the faults: a node serves once this time has passed.
RECOVERY_S = 3.0
# How long a call is repeated that gets no answer or is refused.
SERVED_S = 10.0
PAUSE_S = 0.2
# Jobs that can't begin count as `waiting` this long after their acceptance.
COUNTED_S = 5.0
WAITING_JOBS = 4
# Label that no worker has.
ABSENT_LABEL = "absent"


class EndChecks:
    """Draws nothing from the generators of a run. `jobs` gets the jobs that it submits."""

    def __init__(self, system, oracle, jobs):
        self._system = system
        self._oracle = oracle
        self._jobs = jobs
        self._rng = random.Random(0)
        self._old = {}
        self._failed = set()
        self._waiting = []

    async def open_connections(self):
        """Opens the connections that are old at the end."""
        for place in self._system.present:
            self._old[place] = self._system.connect(place)
        await asyncio.gather(*(connection.call("GET", "/quick/")
                               for connection in self._old.values()))

    async def check(self):
        """Checks all nodes, once the faults have ended."""
        await asyncio.sleep(RECOVERY_S)
        await asyncio.gather(*(self._check_ready(place) for place in self._system.present))
        waiting_since = await self._submit_waiting()
        added = f"late{self._system.next_version()}"
        await self._system.configure([*self._system.more_routes, added])
        connections = [(place, connection, kind) for place in self._system.present
                       for connection, kind in (
                           (self._connection(place), "old"),
                           (self._system.connect(place), "new"))]
        await asyncio.gather(*(self._check_calls(*entry) for entry in connections))
        await self._check_routes(connections, added, 200)
        await self._system.configure([name for name in self._system.more_routes if name != added])
        await self._check_routes(connections, added, 404)
        await asyncio.sleep(max(0.0, waiting_since + COUNTED_S - time.time()))
        await asyncio.gather(*(self._check_waiting(*entry) for entry in connections))
        await self._cancel_waiting()
        for _, connection, _ in connections:
            connection.close()

    def _connection(self, place):
        return self._old.setdefault(place, self._system.connect(place))

    async def _check_ready(self, place):
        until = time.time() + SERVED_S
        while not await self._system.is_ready(place):
            if time.time() > until:
                self._fail(place, "is not ready")
                return
            await asyncio.sleep(PAUSE_S)

    def _fail(self, place, what):
        self._failed.add(place)
        self._oracle.fail(f"LOST: {self._system.nodes[place].name} {what} at the end")

    def _draw_job(self, **values):
        job_id = f"{self._rng.getrandbits(64):016x}"
        step = {"count": 1, "cpu": 100, "mem-mb": 16, "estimate-ms": 40, **values}
        job = Job(job_id, "/quick/", {"spec": '{"ms": 40}', "steps": [step]})
        if self._system.tenants is not None:
            job.tenant, job.key = self._system.tenants.own
        self._jobs[job.id] = job
        return job

    async def _call(self, place, connection, method, path, body, wanted):
        """Repeats a call until it has a wanted status. Returns the body, or None."""
        until, statuses = time.time() + SERVED_S, []
        # What has failed at a node already is asked once more for each other kind of call.
        while not statuses or (time.time() < until and place not in self._failed):
            status, answer = await connection.call(method, path, body)
            if status in wanted:
                return answer
            statuses.append(status)
            await asyncio.sleep(PAUSE_S)
        self._fail(place, f"answers {method} {path} with {statuses[-1]}, "
                          f"{len(statuses)} times,")
        return None

    async def _check_calls(self, place, connection, _):
        job = self._draw_job()
        job.open_tries = 1
        if await self._call(place, connection, "POST", job.path, job.body, {200}) is not None:
            job.accepted_at = time.time()
            answer = await self._call(place, connection, "GET", job.path, None, {200})
            if answer is not None:
                job.states.append((time.time(), time.time(), answer["state"]))
        cancelled = self._draw_job(**{"required-label": ABSENT_LABEL})
        cancelled.open_tries = 1
        if await self._call(place, connection, "POST", cancelled.path, cancelled.body,
                            {200}) is not None:
            cancelled.accepted_at = cancelled.cancel_sent_at = time.time()
            if await self._call(place, connection, "DELETE", cancelled.path, None,
                                {200, 410}) is not None:
                cancelled.cancelled_at = time.time()
        await self._call(place, connection, "GET", "/quick/", None, {200})

    async def _check_routes(self, connections, name, status):
        """Asks for a queue that was just changed, and for one that never existed."""
        await asyncio.sleep(IN_FORCE_S)
        await asyncio.gather(*(self._check_route(*entry, path, wanted) for entry in connections
                               for path, wanted in ((f"/{name}/", status), ("/never/", 404))))

    async def _check_route(self, place, connection, kind, path, wanted):
        answer = await self._call(place, connection, "GET", path, None, {200, 404})
        if answer is not None and ("waiting" in answer) != (wanted == 200):
            self._oracle.fail(f"CONFIG: {self._system.nodes[place].name} answers {answer} for "
                              f"{path} instead of {wanted} at the end, {kind} connection")

    async def _submit_waiting(self):
        """Submits jobs that can't begin at any node that takes them."""
        for _ in range(WAITING_JOBS):
            job = self._draw_job(**{"required-label": ABSENT_LABEL})
            job.open_tries = 1
            for place in self._system.present:
                status, _ = await self._connection(place).call("POST", job.path, job.body)
                if status == 200:
                    self._waiting.append(job)
                    # Not among those that must end.
                    job.cancel_sent_at = job.accepted_at = time.time()
                    break
        return time.time()

    async def _check_waiting(self, place, connection, kind):
        answer = await self._call(place, connection, "GET", "/quick/", None, {200})
        if answer is not None and answer["waiting"] * 2 < len(self._waiting):
            self._oracle.fail(f"MIXED: {self._system.nodes[place].name} counts {answer['waiting']} "
                              f"waiting jobs of {len(self._waiting)}, {kind} connection")

    async def _cancel_waiting(self):
        for job in self._waiting:
            for place in self._system.present:
                status, _ = await self._connection(place).call("DELETE", job.path)
                if status in (200, 410):
                    job.cancelled_at = time.time()
                    break

    def close(self):
        for connection in self._old.values():
            connection.close()
