"""A stand-in of the users' platform on loopback addresses: the store, the cloud and the workers.

Follows PROTOCOL.md. Everything that arrives is written to a record. Tests set hooks to delay an
answer, or to act when a call arrives.
"""

import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qsl, unquote, urlsplit

STORE_ANSWER_S = 0.004
BEAT_S = 1.5
SILENT_BEATS = 3
MOVE_S = 1.5
UPKEEP_S = 2.0
STOP_S = 0.1
HOLD_MAX_MS = 6000
GANG_MS = 3000


def unix_ms():
    return int(time.time() * 1000)


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def __call__(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = unquote(parts.path)
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        try:
            value = json.loads(self.body)
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}


async def read_message(reader):
    """Returns the start line, the headers and the body of a message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    return lines[0], headers, body


async def serve(host, port, handler):
    """Serves HTTP/1.1. The handler returns status and body, or None for no answer."""

    async def connected(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                answer = await handler(Request(method, target, message[1], message[2]))
                if answer is None:
                    await reader.read()
                    break
                status, body = answer
                kind = "application/json"
                if isinstance(body, bytes):
                    kind = "application/octet-stream"
                else:
                    body = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connected, host, port, limit=1 << 24)


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()

    def put(self, records):
        for record in records:
            offset = len(self.records)
            self.records.append(record)
            length = record[0] if record else 0
            key, value = record[1:1 + length], record[1 + length:]
            if value:
                self.newest[key] = (value, offset)
            else:
                self.newest.pop(key, None)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class Store:
    """The platform's log. `on_append(node, topic, keys)` is called when an append was done."""

    def __init__(self):
        self.topics = {}
        self.on_append = None

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        key = key.encode()
        self.topic(topic).put([bytes([len(key)]) + key + value])

    def value(self, topic, key):
        entry = self.topic(topic).newest.get(key.encode())
        return entry[0] if entry else None

    async def listen(self, host, port, node):
        async def handler(request):
            return await self.answer(request, node)

        return await serve(host, port, handler)

    async def answer(self, request, node):
        await asyncio.sleep(STORE_ANSWER_S)
        topic_name = request.query.get("topic", "")
        topic = self.topic(topic_name)
        if request.path == "/-/log-append":
            answer, keys = self.append(topic, request)
            if answer[0] == 200 and self.on_append:
                self.on_append(node, topic_name, keys)
            return answer
        if request.path == "/-/log-newest":
            after = request.query.get("depends-on", "").encode()
            keys = sorted(key for key in topic.newest if key > after)
            items = [{"key": key.decode(), "offset": topic.newest[key][1],
                      "value": base64.b64encode(topic.newest[key][0]).decode()}
                     for key in keys[:500]]
            return 200, {"items": items, "has-more": len(keys) > 500, "end": len(topic.records)}
        if request.path == "/-/log-read":
            return await self.read(topic_name, request)
        return 400, {}

    async def read(self, topic_name, request):
        start = int(request.query["from"])
        until = time.monotonic() + int(request.query.get("wait-ms", 0)) / 1000
        while start >= len(self.topic(topic_name).records):
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.topic(topic_name).changed.wait(), left)
            except asyncio.TimeoutError:
                break
        records = self.topic(topic_name).records
        body = struct.pack(">QQ", len(records), 0)
        limit = int(request.query.get("max-kb", 1024)) * 1024
        for number, record in enumerate(records[start:]):
            if number and len(body) + len(record) > limit:
                break
            body += struct.pack(">I", len(record)) + record
        return 200, body

    def append(self, topic, request):
        records, body = [], request.body
        while body:
            length = struct.unpack(">I", body[:4])[0]
            records.append(body[4:4 + length])
            body = body[4 + length:]
        query = request.query
        if "at" in query and int(query["at"]) != len(topic.records):
            return (412, {"end": len(topic.records)}), []
        answers = None
        if "producer" in query:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            known = topic.producers.setdefault(query["producer"], [0, None, {}])
            if epoch < known[0]:
                return (409, {"reason": "fenced"}), []
            if epoch > known[0]:
                known[:] = [epoch, None, {}]
            if records:
                if sequence in known[2]:
                    return (200, known[2][sequence]), []
                if known[1] is not None and sequence != known[1] + 1:
                    return (409, {"reason": "seq", "sequence": known[1] + 1}), []
                known[1] = sequence
                answers = known[2]
        offset = len(topic.records)
        topic.put(records)
        answer = {"offset": offset, "end": len(topic.records)}
        if answers is not None:
            answers[sequence] = answer
            for old in sorted(answers)[:-5]:
                del answers[old]
        return (200, answer), [record[1:1 + record[0]] for record in records if record]


class Run:
    def __init__(self, number, body, now):
        self.number = number
        self.started = now
        self.checkpoint = body.get("checkpoint", "")
        try:
            self.work = json.loads(body.get("spec", "{}"))
        except ValueError:
            self.work = {}
        # Gangs: when all members were present.
        self.joined = None
        self.done = 0.0
        self.stop_at = None


class Worker:
    """One life of a machine."""

    def __init__(self, platform, machine, identity):
        self.platform = platform
        self.machine = machine
        self.id = identity
        self.born = unix_ms()
        self._start = time.monotonic()
        self.fence = 0
        self.runs = {}
        self.closed = {}
        self.ended = []
        self.next_end = 1
        self.lease_end = 0
        self.changed = asyncio.Event()
        # Fails each task as it starts it, while its reports are good.
        self.fails_starts = False
        # Gives a start no answer, and hands it to this function instead.
        self.on_start = None
        self.beat_at = 0.0
        self.sequence = 0

    def clock(self):
        return int((time.monotonic() - self._start) * 1000)

    def extend(self, body):
        if "deadline-ms" in body:
            self.lease_end = max(self.lease_end,
                                 min(int(body["deadline-ms"]), self.clock() + HOLD_MAX_MS))

    async def answer(self, request):
        body = request.json()
        expected = request.headers.get("expect-instance", self.id)
        if expected != self.id:
            return 421, {}
        if self.on_start and request.path == "/-/run-start":
            self.on_start(request)
            return None
        reason = None
        if body.get("fence", 0) < self.fence:
            reason = "fence"
        else:
            self.fence = body.get("fence", 0)
            if request.path == "/-/run-start":
                reason = self.start(body)
            elif request.path == "/-/run-stop":
                self.stop(body)
            elif request.path == "/-/hold":
                return await self.hold(body)
        if reason:
            return 409, {"clock-ms": self.clock(), "reason": reason, "born": self.born}
        return 200, {"clock-ms": self.clock(), "born": self.born}

    def start(self, body):
        task, number = body["task"], body["run"]
        known = self.runs.get(task)
        if known and known.number == number:
            return None
        if known or self.closed.get(task, 0) >= number:
            self.extend(body)
            return "old"
        if self.clock() > body["deadline-ms"]:
            return "late"
        self.extend(body)
        self.runs[task] = Run(number, body, time.monotonic())
        checkpoint = body.get("checkpoint", "")
        self.platform.event("start", self, task, number,
                            f" checkpoint={checkpoint}" if checkpoint else "")
        if self.fails_starts:
            self.end(task, "failed")
        return None

    def stop(self, body):
        task, number = body["task"], body["run"]
        self.closed[task] = max(self.closed.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_S

    async def hold(self, body):
        self.extend(body)
        seen = body.get("last-seen", 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        until = time.monotonic() + min(body.get("wait-ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        running = [[task, run.number, run.checkpoint, self.percent(run), 0]
                   for task, run in self.runs.items()]
        return 200, {"clock-ms": self.clock(), "born": self.born, "running": running,
                     "ended": self.ended[:500]}

    @staticmethod
    def percent(run):
        work_ms = run.work.get("ms")
        if work_ms is None:
            return 100
        return min(99, int(run.done * 1e5 / work_ms))

    def end(self, task, how):
        run = self.runs.pop(task)
        self.closed[task] = max(self.closed.get(task, 0), run.number)
        self.ended.append([self.next_end, task, run.number, how,
                           run.checkpoint if how != "done" else ""])
        self.next_end += 1
        self.platform.event(how, self, task, run.number)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def tick(self, passed):
        now = time.monotonic()
        for task, run in list(self.runs.items()):
            if task not in self.runs:
                continue
            if self.clock() >= self.lease_end:
                self.end(task, "lapsed")
                continue
            if run.stop_at is not None and now >= run.stop_at:
                self.end(task, "stopped")
                continue
            if run.work.get("gang") and not self.platform.gang_works(self, task, run):
                continue
            run.done += passed
            if run.work.get("ms") is not None and run.done * 1000 >= run.work["ms"]:
                self.platform.end_done(self, task, run)


class Machine:
    def __init__(self, name, pool, host, port, rack):
        self.name = name
        self.pool = pool
        self.host = host
        self.port = port
        self.rack = rack
        self.state = "up"
        self.up_at = 0.0
        self.worker = None
        # The id of the next worker, if it is to be the one that the last had.
        self.next_id = None
        self.waves = set()


class Platform:
    def __init__(self, record, host, base_port, pools, spare):
        self.record = record
        self.store = Store()
        self.spare = spare
        self.machines = {}
        self.orders = []
        # Begun upkeeps: time, machine and wave.
        self.upkeeps = []
        self.starts = []
        self.ends = []
        # Called with an order to a machine, or with None for a list; may return an answer in place
        # of the real one.
        self.on_cloud = None
        self._workers = 0
        for pool, count in pools.items():
            for _ in range(count):
                number = len(self.machines)
                self.machines[f"m{number:02d}"] = Machine(
                    f"m{number:02d}", pool, host, base_port + number, f"r{number // 4}")

    async def listen(self, host, cloud_port):
        self.servers = [await serve(host, cloud_port, self.answer_cloud)]
        for machine in self.machines.values():
            self.servers.append(await serve(machine.host, machine.port,
                                            self.worker_handler(machine)))
        self._ticker = asyncio.create_task(self.run())

    @staticmethod
    def worker_handler(machine):
        async def handler(request):
            worker = machine.worker
            answer = await worker.answer(request) if worker else None
            # A life that ended meanwhile says nothing any more.
            return answer if machine.worker is worker else None

        return handler

    def event(self, what, worker, task, run, more=""):
        self.record(f"worker {worker.id} on {worker.machine.name}: {what} {task} run {run}{more}")
        entry = (self.record.now(), task, run, worker.id, what)
        (self.starts if what == "start" else self.ends).append(entry)

    def gang_members(self, task, number):
        prefix = task.rsplit(".", 1)[0] + "."
        return [(machine.worker, name, run) for machine in self.machines.values() if machine.worker
                for name, run in machine.worker.runs.items()
                if name.startswith(prefix) and run.number == number]

    def end_done(self, worker, task, run):
        """Ends a run `done`, and with it all members of its gang."""
        if not run.work.get("gang"):
            worker.end(task, "done")
            return
        for holder, name, _ in self.gang_members(task, run.number):
            holder.end(name, "done")

    def gang_works(self, worker, task, run):
        """Returns whether all members are present, or were when the gang began to work."""
        members = self.gang_members(task, run.number)
        if run.joined is None:
            if len(members) == run.work["gang"]:
                for _, _, member in members:
                    member.joined = time.monotonic()
                return True
            if time.monotonic() - run.started > GANG_MS / 1000:
                worker.end(task, "alone")
            return False
        if len(members) < run.work["gang"]:
            for holder, name, _ in members:
                holder.end(name, "broken")
            return False
        return True

    async def run(self):
        before = time.monotonic()
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for machine in self.machines.values():
                self.tick_machine(machine, now, now - before)
            before = now

    def tick_machine(self, machine, now, passed):
        if machine.state != "up" and now >= machine.up_at:
            machine.state = "up"
        if machine.state == "up" and machine.worker is None and machine.pool != self.spare:
            self._workers += 1
            machine.worker = Worker(self, machine, machine.next_id or f"w{self._workers:05d}")
            machine.next_id = None
        worker = machine.worker
        if worker is None:
            return
        worker.tick(passed)
        if now - worker.beat_at >= BEAT_S:
            worker.beat_at = now
            worker.sequence += 1
            self.store.put("keyed.servers", worker.id, json.dumps({
                "service": machine.pool, "address": f"{machine.host}:{machine.port}",
                "zone": "one", "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
                "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
                "labels": ["a", machine.rack], "born": worker.born,
                "sequence": worker.sequence}).encode())

    def take_down(self, machine, state, seconds):
        machine.state = state
        machine.up_at = time.monotonic() + seconds
        if machine.worker:
            for task, run in machine.worker.runs.items():
                self.event("terminated", machine.worker, task, run.number)
            machine.worker.runs.clear()
            self.store.put("keyed.servers", machine.worker.id, b"")
            machine.worker = None

    def crash_rack(self, rack, seconds):
        """All machines of a rack go silent. Their workers start again under their ids."""
        for machine in self.machines.values():
            if machine.rack == rack:
                machine.state = "down"
                machine.up_at = time.monotonic() + seconds
                if machine.worker:
                    self.crash_worker(machine)

    def crash_worker(self, machine):
        for task, run in machine.worker.runs.items():
            self.event("crashed", machine.worker, task, run.number)
        machine.next_id = machine.worker.id
        left = machine.worker.beat_at + SILENT_BEATS * BEAT_S - time.monotonic()
        asyncio.get_running_loop().call_later(left, self.drop_entry, machine)
        machine.worker = None

    def drop_entry(self, machine):
        if machine.worker is None and machine.next_id:
            self.record(f"the entry of {machine.next_id} is removed")
            self.store.put("keyed.servers", machine.next_id, b"")

    async def answer_cloud(self, request):
        if request.path == "/-/machines":
            if self.on_cloud and self.on_cloud(None):
                return self.on_cloud(None)
            return 200, {"machines": [
                {"machine": machine.name, "pool": machine.pool, "state": machine.state,
                 "zone": "one", "labels": ["a", machine.rack],
                 "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
                 "id": machine.worker.id if machine.worker else ""}
                for machine in self.machines.values()], "next-token": ""}
        body = request.json()
        machine = self.machines.get(body.get("machine"))
        if machine is None:
            return 400, {}
        order = {"at": self.record.now(), "machine": machine.name,
                 "holder": request.headers.get("holder", ""),
                 "fence": int(request.headers.get("fencing-token", 0)),
                 "what": request.path[3:], "for": body.get("pool", body.get("wave"))}
        answer = self.on_cloud(order) if self.on_cloud else None
        if answer is None:
            answer = self.carry_out(machine, request, body)
        order["status"] = answer[0] if answer else None
        self.orders.append(order)
        self.record(f"order for {machine.name}: {order['what']} {order['for']} by holder "
                    f"{order['holder']} with fence {order['fence']}, answered {order['status']}")
        return answer

    def carry_out(self, machine, request, body):
        if request.path == "/-/machine-move":
            if machine.pool == body.get("pool"):
                return 200, {}
            if machine.state != "up":
                return 409, {"reason": "busy"}
            machine.pool = body["pool"]
            self.take_down(machine, "moving", MOVE_S)
            return 200, {}
        if body.get("wave") in machine.waves:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        machine.waves.add(body.get("wave"))
        self.upkeeps.append((self.record.now(), machine.name, body.get("wave")))
        self.take_down(machine, "upkeep", UPKEEP_S)
        return 200, {}
