"""Tenants with keys and quotas that change during a run, and the checks of what is made of them."""

import asyncio
import collections
import time

from callers import Connection

# A version is in force this long after its acknowledgement, on every node.
BOUND_S = 3.0
CHANGE_GAP_S = 0.7
# The next change follows at once: keys that are added and removed in quick succession.
QUICK_SHARE = 0.3
ASK_GAP_S = 0.12
CHANGING_KEYS = 6
QUOTA_SHARE = 0.2
RESOURCES = ("cpu", "mem-mb", "gpu")
# The tenant of the checks' own calls beside tenants with quotas; it has none.
CHECKS = "checks"
# Each holds the largest task, and less than a tenant asks for at times. 0 is no limit.
QUOTAS = ({"cpu": 0}, {"cpu": 12_000}, {"cpu": 20_000, "mem-mb": 2_048}, {"mem-mb": 1_024})


class Key:
    """A key with the times of the writes that add and remove it: when sent and acknowledged."""

    def __init__(self, text, tenant):
        self.text = text
        self.tenant = tenant
        self.added_at = self.removing_at = self.removed_at = None


class Tenants:
    """Each tenant has one lasting key, which its jobs use; the other keys come and go."""

    def __init__(self, rng, count, with_quotas):
        self.rng = rng
        self.names = [f"tenant-{number}" for number in range(count)]
        self._lasting = {name: self._draw_key(name) for name in self.names}
        # Name and key of the tenant that the checks' own calls are of.
        self.own = self.names[0], self._lasting[self.names[0]].text
        self.keys = list(self._lasting.values())
        for key in self.keys:
            key.added_at = time.time()
        # A tenant that is at its quota may have to wait for longer than the checks do.
        self._unlimited = Key(f"{CHECKS}-{self.own[1]}", CHECKS) if with_quotas else None
        if with_quotas:
            self.own = self._unlimited.tenant, self._unlimited.text
        # By tenant: the quotas with the times from which they certainly count; None until then.
        self.quotas = {name: [(0.0, {})] for name in self.names} if with_quotas else {}

    def _draw_key(self, name):
        return Key(f"{self.rng.getrandbits(96):024x}", name)

    def draw_caller(self):
        """Returns the name of a tenant and its lasting key."""
        name = self.rng.choice(self.names)
        return name, self._lasting[name].text

    def key_of_another(self, tenant):
        """Returns the lasting key of another tenant, or None if there is none."""
        others = [name for name in self.names if name != tenant]
        return self._lasting[self.rng.choice(others)].text if others else None

    def changing(self):
        return [key for key in self.keys
                if key.removing_at is None and key not in self._lasting.values()]

    def add_key(self):
        key = self._draw_key(self.rng.choice(self.names))
        self.keys.append(key)
        return key

    def describe(self):
        """Returns the tenants as the configuration has them."""
        described = []
        for number, name in enumerate(self.names):
            tenant = {"name": name, "weight": 1 + number, "priority": 0,
                      "api-keys": [key.text for key in self.keys
                                   if key.tenant == name and key.removing_at is None]}
            if name in self.quotas:
                tenant["max-count"] = self.quotas[name][-1][1]
            described.append(tenant)
        if self._unlimited is not None:
            described.append({"name": self._unlimited.tenant, "weight": 1, "priority": 0,
                              "api-keys": [self._unlimited.text]})
        return described


class KeyChecks:
    """Changes keys and calls every node with valid, removed and unknown ones meanwhile."""

    def __init__(self, system, oracle):
        self._system = system
        self._oracle = oracle
        self._tenants = system.tenants
        self._connections = {}
        self.calls = collections.Counter()

    async def run(self, until):
        if self._tenants is not None:
            await asyncio.gather(self._change_until(until),
                                 *(self._ask_until(place, until) for place in self._system.present))

    async def _change_until(self, until):
        rng = self._tenants.rng
        while time.time() < until:
            if self._tenants.quotas and rng.random() < QUOTA_SHARE:
                await self._change_quota()
            else:
                await self._change_key()
            if rng.random() >= QUICK_SHARE:
                await asyncio.sleep(rng.expovariate(1 / CHANGE_GAP_S))

    async def _change_key(self):
        changing = self._tenants.changing()
        if changing and self._tenants.rng.random() < len(changing) / CHANGING_KEYS:
            key = self._tenants.rng.choice(changing)
            key.removing_at = time.time()
            await self._system.configure()
            key.removed_at = time.time()
            return
        key = self._tenants.add_key()
        await self._system.configure()
        key.added_at = time.time()

    async def _change_quota(self):
        quotas = self._tenants.quotas[self._tenants.rng.choice(self._tenants.names)]
        quota = self._tenants.rng.choice(QUOTAS)
        quotas.append((None, quota))
        await self._system.configure()
        quotas[-1] = (time.time() + BOUND_S, quota)

    async def _ask_until(self, place, until):
        rng = self._tenants.rng
        while time.time() < until:
            kind = rng.random()
            if kind < 0.15:
                await self._ask_without_key(place)
            elif kind < 0.4:
                await self._use_job_of_another(place)
            else:
                await self._ask_with(place, rng.choice(self._tenants.keys[-4 * CHANGING_KEYS:]))
            await asyncio.sleep(ASK_GAP_S * (1 + rng.random()))

    async def _call(self, place, method, path, body=None, key=None):
        connection = self._connections.setdefault(
            place, Connection(self._system.caller_ports[place]))
        status, _ = await connection.call(method, path, body, key)
        self.calls[status] += 1
        return status

    def _fail(self, place, what):
        self._oracle.fail(f"KEY: {self._system.nodes[place].name} {what}")

    async def _ask_with(self, place, key):
        sent_at = time.time()
        status = await self._call(place, "GET", "/quick/", key=key.text)
        if status == 200 and key.removed_at is not None and sent_at > key.removed_at + BOUND_S:
            self._fail(place, f"serves a key {sent_at - key.removed_at:.1f} s after its removal")
        if status == 401 and key.removing_at is None and key.added_at is not None and \
                sent_at > key.added_at + BOUND_S:
            self._fail(place, f"refuses a key {sent_at - key.added_at:.1f} s after its addition")
        return status

    async def _ask_without_key(self, place):
        unknown = f"{self._tenants.rng.getrandbits(96):024x}"
        for key in (None, unknown):
            if await self._call(place, "GET", "/quick/", key=key) == 200:
                self._fail(place, "serves a call without a key that any version has")
            if await self._call(place, "GET", "/open/", key=key) == 401:
                self._fail(place, "refuses a call to a public queue for its key")

    async def _use_job_of_another(self, place):
        jobs = [job for job in list(self._oracle.jobs.values())[-20:]
                if job.tenant is not None and job.accepted_at is not None]
        if not jobs:
            return
        job = self._tenants.rng.choice(jobs)
        key = self._tenants.key_of_another(job.tenant)
        if key is None:
            return
        for method, body in (("GET", None), ("DELETE", None), ("POST", job.body)):
            status = await self._call(place, method, job.path, body, key)
            if status == 200:
                self._fail(place, f"answers {method} of {job.id} to another tenant")

    async def check_at_the_end(self):
        """Checks each node once the faults have ended and the newest version is in force."""
        if self._tenants is None:
            return
        await self._system.configure()
        await asyncio.sleep(BOUND_S)
        for place in self._system.present:
            for key in self._tenants.keys[-2 * CHANGING_KEYS:]:
                await self._ask_with(place, key)
            await self._ask_without_key(place)

    def close(self):
        for connection in self._connections.values():
            connection.close()


class QuotaCheck:
    """Counts from the ledger what each tenant has running."""

    def __init__(self, tenants):
        self._quotas = tenants.quotas
        # By tenant: the steps of its runs by worker, task and run.
        self._running = {name: {} for name in tenants.names}

    @staticmethod
    def _run(event):
        return event["worker"], event["task"], event["run"]

    def take_start(self, event, job, counted_since, fail):
        """Checks a start, which may have been decided by any quota since `counted_since`."""
        if job.tenant is None or job.tenant == CHECKS:
            return
        running = self._running[job.tenant]
        running[self._run(event)] = job.body["steps"][int(event["task"].split(".")[2])]
        for resource in RESOURCES:
            limit = self._limit_since(job.tenant, resource, counted_since)
            used = sum(step.get(resource, 0) for step in running.values())
            if limit and used > limit:
                fail(f"QUOTA: {job.tenant} uses {used} of {limit} {resource} with {event['task']}")

    def take_end(self, event):
        for running in self._running.values():
            running.pop(self._run(event), None)

    def has_room(self, job, step):
        """Returns whether a task of the job's step fits into what its tenant's runs leave."""
        return self._fits(job, step, self._steps_of(job.tenant))

    def fills_quota_for_good(self, job, step):
        """Returns whether the tenant's long-running tasks alone leave no room for such a task."""
        lasting = [each for each in self._steps_of(job.tenant) if each.get("long-running")]
        return bool(lasting) and not self._fits(job, step, lasting)

    def _steps_of(self, tenant):
        return list(self._running.get(tenant, {}).values())

    def _fits(self, job, step, running):
        quota = self._quotas[job.tenant][-1][1] if job.tenant in self._quotas else {}
        for resource in RESOURCES:
            limit = quota.get(resource, 0)
            used = sum(each.get(resource, 0) for each in running)
            if limit and used + step.get(resource, 0) > limit:
                return False
        return True

    def _limit_since(self, tenant, resource, since):
        """Returns the largest limit since a time, or 0 if there was none."""
        limits = []
        for counts_from, quota in self._quotas[tenant]:
            if counts_from is not None and counts_from <= since:
                limits = []
            limits.append(quota.get(resource, 0))
        return 0 if 0 in limits else max(limits)
