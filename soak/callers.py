"""Callers that submit jobs, poll their state and cancel some, over persistent connections."""

import asyncio
import json
import time

HOST = "soak.example"
DEADLINE_S = 3.0
TRIES = 4
REFUSED = (429, 503)
DEADLY_SHARE = 0.025
CRASH_MS = (20, 150, 900)
LONGEST_CRASH_MS = 3000
# Long enough that a task is still running when an order for an earlier run of it is carried out.
SLOW_SHARE = 0.3
SLOW_MS = 6000
# Each member of a gang fails its first run, so that several list the failure of one run.
GANG_SHARE = 0.15
GANG_MEMBERS = 5


class Job:
    """A job as its caller knows it: its requests and the answers to them."""

    def __init__(self, job_id, prefix, body):
        self.id = job_id
        self.path = prefix + job_id
        self.body = body
        # The name of its tenant, and the key of its calls.
        self.tenant = self.key = None
        # Whether its tasks crash their workers.
        self.deadly = "crashes" in json.loads(body["spec"])
        self.sent_at = time.time()
        self.accepted_at = None
        self.open_tries = 0
        self.refused_tries = 0
        self.unknown_tries = 0
        self.cancel_sent_at = None
        self.cancelled_at = None
        self.states = []

    @property
    def long_running(self):
        return any(step.get("long-running") for step in self.body["steps"])

    @property
    def gang(self):
        return any(step.get("gang") for step in self.body["steps"])

    @property
    def certainly_refused(self):
        return self.refused_tries > 0 and self.unknown_tries + self.open_tries == 0 \
            and self.accepted_at is None


class Connection:
    """A persistent connection to one node, opened again after it has failed.

    Calls without a key of their own carry `key`, if there is one.
    """

    def __init__(self, port, key=None):
        self.port = port
        self.key = key
        self._reader = self._writer = None
        self._lock = asyncio.Lock()

    async def call(self, method, path, body=None, key=None):
        """Returns status and body, or (None, None) if there was no complete answer in time."""
        async with self._lock:
            try:
                return await asyncio.wait_for(self._call(method, path, body, key or self.key),
                                              DEADLINE_S)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                self.close()
                return None, None

    async def _call(self, method, path, body, key):
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port)
        content = body
        if not isinstance(body, bytes):
            content = json.dumps(body).encode() if body is not None else b""
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n"
                f"Deadline-Ms: {int(DEADLINE_S * 1000)}\r\nContent-Length: {len(content)}\r\n")
        head += f"Credential: {key}\r\n\r\n" if key else "\r\n"
        self._writer.write(head.encode() + content)
        await self._writer.drain()
        lines = (await self._reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        text = await self._reader.readexactly(int(headers["content-length"]))
        if headers.get("connection") == "close":
            self.close()
        return int(lines[0].split()[1]), json.loads(text)

    def close(self):
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None


class Callers:
    """All callers of a soak run. `jobs` holds their jobs by id, for the checks.

    `deadly_rng` draws the jobs whose tasks crash their workers, and `slow_rng` those whose tasks
    run for SLOW_MS; there are none without it. `gang_rng` draws the gangs. `tenants` draws whose the
    jobs are, if there are any.
    """

    def __init__(self, rng, ports, deadly_rng=None, slow_rng=None, gang_rng=None,
                 queues=("quick", "deep"), tenants=None):
        self._rng = rng
        self._deadly_rng = deadly_rng
        self._slow_rng = slow_rng
        self._gang_rng = gang_rng
        self._connections = [Connection(port) for port in ports]
        self._queues = queues
        self._tenants = tenants
        self.jobs = {}

    def add_node(self, port):
        self._connections.append(Connection(port))

    def remove_node(self, port):
        """Uses a node no longer, as a load balancer does with one that is gone."""
        self._connections = [connection for connection in self._connections
                             if connection.port != port]

    def draw_job(self, long_running):
        job_id = f"{self._rng.getrandbits(64):016x}"
        if long_running:
            step = {"count": self._rng.randint(1, 3), "cpu": 500, "mem-mb": 64, "estimate-ms": 900,
                    "long-running": True, "max-per-server": 1, "may-miss": 1}
            return Job(job_id, "/stay/", {"spec": "{}", "steps": [step]})
        prefix = f"/{self._rng.choice(self._queues)}/"
        run_ms = self._rng.choice([40, 150, 400, 900, 2500])
        spec = {"ms": run_ms, "fails": 1 if self._rng.random() < 0.1 else 0}
        steps = []
        for index in range(self._rng.randint(1, 3)):
            step = {"count": self._rng.randint(1, 6), "cpu": self._rng.choice([500, 2000, 6000]),
                    "mem-mb": 128, "estimate-ms": run_ms}
            if index > 0:
                step["depends-on"] = [index - 1]
            steps.append(step)
        if self._deadly_rng is not None and self._deadly_rng.random() < DEADLY_SHARE:
            spec = {"ms": LONGEST_CRASH_MS, "crashes": self._deadly_rng.choice(CRASH_MS)}
            steps = [{**steps[0], "count": 1}]
        elif self._slow_rng is not None and self._slow_rng.random() < SLOW_SHARE:
            spec = {"ms": SLOW_MS}
            steps = [{**steps[0], "cpu": 500, "estimate-ms": SLOW_MS}]
        elif self._gang_rng is not None and self._gang_rng.random() < GANG_SHARE:
            spec = {"ms": run_ms, "fails": 1}
            steps = [{**steps[0], "cpu": 500, "count": GANG_MEMBERS, "gang": True}]
        return Job(job_id, prefix, {"spec": json.dumps(spec), "steps": steps})

    async def submit(self, long_running=False):
        job = self.draw_job(long_running)
        if self._tenants is not None:
            job.tenant, job.key = self._tenants.draw_caller()
        self.jobs[job.id] = job
        for _ in range(TRIES):
            job.open_tries += 1
            status, _ = await self._rng.choice(self._connections).call(
                "POST", job.path, job.body, job.key)
            job.open_tries -= 1
            if status == 200:
                job.accepted_at = job.accepted_at or time.time()
                return job
            if status in REFUSED:
                job.refused_tries += 1
            else:
                job.unknown_tries += 1
            await asyncio.sleep(0.3 + self._rng.random())
        return job

    async def ask(self, job):
        asked_at = time.time()
        status, body = await self._rng.choice(self._connections).call("GET", job.path, key=job.key)
        state = body["state"] if status == 200 else status
        job.states.append((asked_at, time.time(), state))
        return state

    async def cancel(self, job):
        job.cancel_sent_at = job.cancel_sent_at or time.time()
        for _ in range(TRIES):
            status, _ = await self._rng.choice(self._connections).call("DELETE", job.path,
                                                                    key=job.key)
            if status in (200, 410):
                job.cancelled_at = job.cancelled_at or time.time()
                return
            await asyncio.sleep(0.3)

    async def run_load(self, until, jobs_per_s):
        """Submits jobs until the time `until`; each caller polls its job."""
        following = set()
        while time.time() < until:
            long_running = self._rng.random() < 0.05
            task = asyncio.ensure_future(self._follow(long_running, until))
            following.add(task)
            task.add_done_callback(following.discard)
            await asyncio.sleep(self._rng.expovariate(jobs_per_s))
        await asyncio.gather(*following)

    async def _follow(self, long_running, until):
        job = await self.submit(long_running)
        cancels = self._rng.random() < (0.5 if long_running else 0.08)
        while time.time() < until:
            await asyncio.sleep(0.2 + self._rng.random() * 1.5)
            if cancels:
                await self.cancel(job)
                cancels = False
            if await self.ask(job) in ("completed", "failed", "cancelled"):
                return

    def close(self):
        for connection in self._connections:
            connection.close()
