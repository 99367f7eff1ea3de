"""Stand-in of the users' platform for the cases 11 to 15: the store, the workers and the machines.

Written from the protocol page. Everything runs on one asyncio loop, on loopback addresses. Tests set
faults as attributes or hooks. What the workers did is in `Platform.events`.
"""
import asyncio
import base64
import json
import time
import urllib.parse

RECORD_BYTES = 262144
CALL_BYTES = 2097152
MAX_ENDS = 500


def unix_ms():
    return int(time.time() * 1000)


class Silence(Exception):
    """The connection stays open, and nothing is answered."""


class Cut(Exception):
    """The connection is closed without an answer."""


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if "100-continue" in headers.get("expect", ""):
        raise Cut()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    path, _, query = target.partition("?")
    return method, path, dict(urllib.parse.parse_qsl(query, keep_blank_values=True)), headers, body


def response(status, body, content_type="application/json"):
    if not isinstance(body, bytes):
        body = json.dumps(body, separators=(",", ":")).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: {content_type}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def serve(host, port, handler):
    """Serves HTTP/1.1 with keep-alive; `handler` returns (status, body[, content type])."""

    async def connection(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                try:
                    answer = await handler(*request)
                except Silence:
                    await asyncio.sleep(3600)
                    return
                writer.write(response(*answer))
                await writer.drain()
        except (Cut, asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=1 << 24)


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()


class Store:
    """The log: topics with one partition each."""

    def __init__(self, platform):
        self.platform = platform
        self.topics = {}
        self.refused_for_size = 0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, name, key, value):
        topic = self.topic(name)
        record = bytes([len(key)]) + key.encode() + value
        self._store(name, topic, [record])

    def _store(self, name, topic, records):
        for record in records:
            offset = len(topic.records)
            topic.records.append(record)
            if name.startswith("keyed."):
                length = record[0]
                key, value = record[1:1 + length].decode("latin-1"), record[1 + length:]
                if value:
                    topic.newest[key] = (value, offset)
                else:
                    topic.newest.pop(key, None)
        topic.changed.set()
        topic.changed = asyncio.Event()

    async def answer(self, method, path, query, headers, body):
        await asyncio.sleep(0.002)
        hook = self.platform.store_hook
        if hook:
            await hook(path, query, headers, body)
        name = query.get("topic", "")
        topic = self.topic(name)
        if path == "/-/log-append":
            return self._append(name, topic, query, body)
        if path == "/-/log-newest":
            return self._newest(topic, query)
        if path == "/-/log-read":
            return await self._read(topic, query)
        return 404, {}

    def _append(self, name, topic, query, body):
        if name in ("keyed.op", "keyed.servers"):
            return 403, {}
        records, position = [], 0
        while position < len(body):
            length = int.from_bytes(body[position:position + 4], "big")
            if length > RECORD_BYTES:
                self.refused_for_size += 1
                return 400, {"reason": "record-bytes"}
            records.append(body[position + 4:position + 4 + length])
            position += 4 + length
        if len(body) > CALL_BYTES:
            self.refused_for_size += 1
            return 400, {"reason": "call-bytes"}
        if "at" in query and int(query["at"]) != len(topic.records):
            return 412, {"end": len(topic.records)}
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            known = topic.producers.setdefault(query["producer"], [-1, 0, {}])
            if epoch < known[0]:
                return 409, {"reason": "fenced"}
            if epoch > known[0]:
                known[0], known[1], known[2] = epoch, sequence - 1, {}
            if records:
                if sequence in known[2]:
                    return 200, known[2][sequence]
                if sequence != known[1] + 1:
                    return 409, {"reason": "seq", "sequence": known[1] + 1}
        offset = len(topic.records)
        self._store(name, topic, records)
        answer = {"offset": offset, "end": len(topic.records)}
        if "producer" in query and records:
            known[1] = sequence
            known[2][sequence] = answer
            while len(known[2]) > 5:
                del known[2][min(known[2])]
        return 200, answer

    def _newest(self, topic, query):
        keys = sorted(topic.newest)
        after = query.get("depends-on")
        if after is not None:
            keys = [key for key in keys if key > after]
        items, size = [], 0
        for key in keys:
            value, offset = topic.newest[key]
            if items and (len(items) == 500 or size + len(value) > 1 << 20):
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "has-more": len(items) < len(keys), "end": len(topic.records)}

    async def _read(self, topic, query):
        start = int(query.get("from", "0"))
        deadline = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while start >= len(topic.records) and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(topic.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        limit = int(query.get("max-kb", "1024")) * 1024
        body = len(topic.records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        size = 0
        for record in topic.records[start:]:
            if size and size + len(record) > limit:
                break
            size += len(record)
            body += len(record).to_bytes(4, "big") + record
        return 200, body, "application/octet-stream"


class Run:
    def __init__(self, task, run, spec, now):
        self.task, self.run, self.spec, self.begun = task, run, spec, now
        self.stop_at = None
        self.saved = ""


class Worker:
    """One machine's worker. Its clock is the Unix time in milliseconds."""

    def __init__(self, platform, index, service, host, port, cpu=16000, mem=32768):
        self.platform, self.index, self.service = platform, index, service
        self.host, self.port, self.cpu, self.mem = host, port, cpu, mem
        self.machine = f"m-{index}"
        self.rack = f"r1-{index // 4}"
        self.id = f"w{index:04x}"
        self.sequence = 0
        self.up = False
        self.runs = {}
        self.hook = None
        self.cut_until = 0.0
        self.state = "up"
        self.stop_ms = platform.stop_ms

    def begin(self):
        self.born = unix_ms()
        self.up = True
        self.fence = 0
        self.runs = {}
        self.ended = []
        self.next_end = 1
        self.highest = {}
        self.lease = 0
        self.wake = asyncio.Event()
        self.register()

    def used_cpu(self):
        """What the runs here ask for, as far as the consumer's body tells the platform."""
        return sum(self.platform.cpu_of.get(run.task.split(".")[0], 0)
                   for run in self.runs.values())

    def crash(self):
        """Ends the worker at once, with all that it runs. Its entry stays until it lapses."""
        for run in self.runs.values():
            self.event("crashed", run.task, run.run)
        self.up = False
        self.runs = {}

    async def crash_for(self, down_s):
        """Crashes; a new life begins under the same id some time later."""
        self.crash()
        self.state = "down"
        await asyncio.sleep(down_s)
        self.state = "up"
        self.begin()

    async def leave(self, state, pool, time_s):
        """Ends the worker by an order; a new one joins the pool, unless that is off."""
        self.crash()
        self.unlist()
        self.state, self.service = state, pool
        self.id = f"w{self.index:04x}-{unix_ms() % 100000:05x}"
        await asyncio.sleep(time_s)
        self.state = "up"
        if pool not in self.platform.spare:
            self.begin()

    def unlist(self):
        self.platform.store.put("keyed.servers", self.id, b"")

    def register(self):
        self.sequence += 1
        entry = {"service": self.service, "address": f"{self.host}:{self.port}", "zone": "one",
                 "version": "1", "slots": 8, "state": "ready", "cold-left-ms": 0,
                 "sequence": self.sequence, "born": self.born, "labels": ["a", self.rack],
                 "capacity": {"cpu": self.cpu, "mem-mb": self.mem, "gpu": 0}}
        self.platform.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    def event(self, what, task, run, **more):
        self.platform.event(what, worker=self.id, born=self.born, task=task, run=run, **more)

    async def answer(self, method, path, query, headers, body):
        if not self.up or self.is_cut():
            raise Silence()
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body) if body else {}
        if self.hook:
            await self.hook(path, order, headers)
        answer = await self.carry_out(path, order)
        if self.is_cut():
            raise Silence()
        return answer

    def is_cut(self):
        """Whether a partition separates the worker from the nodes: no byte passes either way."""
        return time.monotonic() < self.cut_until

    def clock(self):
        return unix_ms()

    async def carry_out(self, path, order):
        if not self.up:
            raise Silence()
        if path == "/health":
            return 200, {}
        if order.get("fence", 0) < self.fence:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}
        self.fence = order.get("fence", 0)
        if path == "/-/run-start":
            return self.start(order)
        if path == "/-/run-stop":
            return self.stop(order)
        if path == "/-/hold":
            return await self.hold(order)
        return 200, {"clock-ms": self.clock()}

    def extend(self, order):
        if "deadline-ms" in order:
            longest = self.clock() + self.platform.hold_max_ms
            self.lease = max(self.lease, min(order["deadline-ms"], longest))

    def start(self, order):
        task, run = order["task"], order["run"]
        known = self.runs.get(task)
        if known and known.run == run:
            return 200, {"clock-ms": self.clock()}
        if known or self.highest.get(task, 0) >= run:
            self.extend(order)
            return 409, {"clock-ms": self.clock(), "reason": "old"}
        if order.get("deadline-ms", 0) < self.clock():
            return 409, {"clock-ms": self.clock(), "reason": "late"}
        self.extend(order)
        self.runs[task] = Run(task, run, order.get("spec", ""), time.monotonic())
        self.runs[task].saved = order.get("checkpoint", "")
        self.event("start", task, run, checkpoint=order.get("checkpoint", ""))
        return 200, {"clock-ms": self.clock()}

    def stop(self, order):
        task, run = order["task"], order["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        known = self.runs.get(task)
        if known and known.run <= run and known.stop_at is None:
            known.stop_at = time.monotonic() + self.stop_ms / 1000
        return 200, {"clock-ms": self.clock()}

    async def hold(self, order):
        self.extend(order)
        seen = order.get("last-seen", 0)
        for end in self.ended:
            if end[0] <= seen:
                self.event("noted", end[1], end[2], how=end[3])
        self.ended = [end for end in self.ended if end[0] > seen]
        if not self.ended and order.get("wait-ms", 0):
            try:
                await asyncio.wait_for(self.wake.wait(), min(order["wait-ms"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        if not self.up:
            raise Silence()
        running = [[run.task, run.run, run.saved, self.percent(run), 0] for run in self.runs.values()]
        return 200, {"clock-ms": self.clock(), "born": self.born, "running": running,
                     "ended": self.ended[:MAX_ENDS]}

    def percent(self, run):
        length = self.platform.run_ms(run)
        if length is None:
            return 100
        return min(100, int((time.monotonic() - run.begun) * 100000 / max(length, 1)))

    def end(self, run, how):
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.ended.append([self.next_end, run.task, run.run, how, run.saved])
        self.next_end += 1
        self.event(how, run.task, run.run)
        self.wake.set()
        self.wake = asyncio.Event()

    def tick(self):
        if not self.up:
            return
        now = time.monotonic()
        for run in list(self.runs.values()):
            length = self.platform.run_ms(run)
            if self.lease <= self.clock():
                self.end(run, "lapsed")
            elif run.stop_at is not None and now >= run.stop_at:
                self.end(run, "stopped")
            elif length is not None and now - run.begun >= length / 1000:
                self.end(run, "done")


class Platform:
    def __init__(self, base, services, hold_max_ms=6000, stop_ms=200, move_s=1.5, spare=("spare",)):
        """`base` is a loopback prefix as "127.3.7"; `services` maps names to numbers of workers."""
        self.base = base
        self.hold_max_ms, self.stop_ms, self.move_s = hold_max_ms, stop_ms, move_s
        self.store = Store(self)
        self.store_hook = None
        self.events = []
        self.cpu_of = {}
        self.begun = time.monotonic()
        self.workers = []
        self.spare = list(spare)
        self.servers = []
        for service, count in services.items():
            for _ in range(count):
                index = len(self.workers)
                self.workers.append(Worker(self, index, service, f"{base}.1", 20000 + index))
        self.store_address = f"{base}.1:19000"
        self.cloud_address = f"{base}.1:19001"

    def event(self, what, **fields):
        self.events.append({"at": round(time.monotonic() - self.begun, 3), "what": what, **fields})

    def run_ms(self, run):
        """Time that a run takes; None if it lasts. The spec is `ms=N` or anything else."""
        return int(run.spec[3:]) if run.spec.startswith("ms=") else None

    def put_config(self, config):
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def cloud(self, method, path, query, headers, body):
        if path == "/-/machines":
            machines = [{"machine": worker.machine, "pool": worker.service,
                         "state": worker.state, "zone": "one",
                         "labels": ["a", worker.rack], "id": worker.id if worker.up else "",
                         "capacity": {"cpu": worker.cpu, "mem-mb": worker.mem, "gpu": 0}}
                        for worker in self.workers]
            return 200, {"machines": machines, "next-token": ""}
        order = json.loads(body)
        worker = next((each for each in self.workers if each.machine == order["machine"]), None)
        if worker is None:
            return 400, {}
        self.event("machine", worker=worker.id, born=0, task="", run=0, order=path[3:], **order)
        if path == "/-/machine-move":
            if worker.service == order["pool"]:
                return 200, {}
            if worker.state != "up":
                return 409, {"reason": "busy"}
            asyncio.ensure_future(worker.leave("moving", order["pool"], self.move_s))
            return 200, {}
        return 409, {"reason": "wave"}

    async def start(self):
        host = f"{self.base}.1"
        self.servers.append(await serve(host, 19000, self.store.answer))
        self.servers.append(await serve(host, 19001, self.cloud))
        for worker in self.workers:
            if worker.service not in self.spare:
                worker.begin()
            self.servers.append(await serve(host, worker.port, worker.answer))
        self.tasks = [asyncio.ensure_future(self._tick()), asyncio.ensure_future(self._beat())]

    async def _tick(self):
        while True:
            for worker in self.workers:
                worker.tick()
            await asyncio.sleep(0.01)

    async def _beat(self):
        while True:
            await asyncio.sleep(1.5)
            for worker in self.workers:
                if worker.up:
                    worker.register()
