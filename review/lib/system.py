"""Starts nodes of the deploy file on loopback addresses, and calls them as consumers do."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

from platform_standin import Platform, Record, read_message

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "demo.example"
PREFIX = "/quick/"
TIME_LIMIT_S = 110
IDLE_LIMIT_S = 8.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played."""


def free_network():
    """Returns the first three bytes of loopback addresses on which nobody listens."""
    for _ in range(50):
        network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for last in range(1, 12):
                for port in (8621, 8622, 8624, 7060, 7075):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{last}", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


def role():
    """Returns the command and the template of the deploy file's role."""
    with open(f"{ROOT}/deploy/system.toml", encoding="utf-8") as file:
        text = file.read()
    run = re.search(r'^run = "([^"]*)"', text, re.M).group(1).split()
    template = re.search(r'^template = "([^"]*)"', text, re.M).group(1)
    return run, template


class Node:
    """A process of the deploy file's role, with its own loopback address and settings file."""

    def __init__(self, name, ip, fields, folder, zone, more=""):
        self.name = name
        self.zone = zone
        self.ip = ip
        command, template = role()
        with open(f"{ROOT}/{template}", encoding="utf-8") as file:
            text = file.read()
        text = re.sub(r"\{\{([^}]+)\}\}", lambda match: fields.get(match.group(1), ""), text)
        if more:
            text = text.replace("[listen]", "[listen]\n" + more)
        self.settings = f"{folder}/{name}.conf"
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self._command = [f"{ROOT}/{command[0]}"] + command[1:]
        self._log = f"{folder}/{name}.log"
        self.process = None

    def start(self):
        if not os.access(self._command[0], os.X_OK):
            raise CannotRun(f"{self._command[0]} is not built")
        environment = {key: value for key, value in os.environ.items()
                       if key in ("PATH", "HOME", "LANG")}
        environment["PERIDOTRUDDER_NODE_FILE"] = self.settings
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(self._command, cwd=ROOT, env=environment, stdout=log,
                                            stderr=log)

    def send_signal(self, number):
        self.process.send_signal(number)

    def log(self):
        with open(self._log, encoding="utf-8", errors="replace") as file:
            return file.read()


class Consumer:
    """One open channel to a node's front address."""

    def __init__(self, record, node):
        self._record = record
        self.node = node
        self._streams = None
        self._used_at = 0.0

    async def call(self, method, path, body=None, deadline_ms=3000):
        """Returns status and body; status None if there was no answer before the deadline."""
        self._record(f"consumer to {self.node.name}: {method} {path}")
        try:
            answer = await asyncio.wait_for(self._exchange(method, path, body, deadline_ms),
                                            deadline_ms / 1000)
        except (asyncio.TimeoutError, ConnectionError, OSError) as error:
            self.close()
            self._record(f"consumer to {self.node.name}: {method} {path} -> no answer "
                         f"({type(error).__name__})")
            return None, {}
        self._record(f"consumer to {self.node.name}: {method} {path} -> {answer[0]} {answer[1]}")
        return answer

    async def _exchange(self, method, path, body, deadline_ms):
        # The nodes close a channel that is not used for ten seconds.
        if time.monotonic() - self._used_at > IDLE_LIMIT_S:
            self.close()
        self._used_at = time.monotonic()
        if self._streams is None:
            self._streams = await asyncio.open_connection(self.node.ip, 8624)
        reader, writer = self._streams
        data = json.dumps(body).encode() if body is not None else b""
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: {deadline_ms}\r\n"
                     f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                     .encode() + data)
        message = await read_message(reader)
        if message is None:
            raise ConnectionError("closed")
        status = int(message[0].split(" ")[1])
        if message[1].get("connection", "").lower() == "close":
            self.close()
        try:
            content = json.loads(message[2]) if message[2] else {}
        except ValueError:
            content = {}
        return status, content

    def close(self):
        if self._streams:
            self._streams[1].close()
            self._streams = None


class System:
    """Nodes and the stand-in of the platform."""

    def __init__(self, folder, zones=("one", "two", "three"), in_pool=4, in_spare=4):
        self.record = Record(f"{folder}/record.txt")
        # The node that wrote last to the topic of the jobs.
        self.owner = None
        self._work = tempfile.TemporaryDirectory()
        self.network = free_network()
        self.platform_ip = f"{self.network}.1"
        pools = {"spare-svc": in_spare, "quick-svc": in_pool}
        self.platform = Platform(self.record, self.platform_ip, 9000, pools, "spare-svc")
        self.nodes = []
        for number, zone in enumerate(zones):
            self.add_node(number, zone)

    def fields(self, number):
        ip = f"{self.network}.{number + 2}"
        return {
            "ip": ip,
            "listen.front": f"{ip}:8624", "listen.ready": f"{ip}:8622",
            "internal-ports.0": "7060", "platform.address": f"{self.platform_ip}:{8700 + number}",
            "cloud.address": f"{self.platform_ip}:8621", "advice": "", "limits.cpu-share": "0.25",
            "bounds.hold-max-ms": "6000", "bounds.grace-s": "6", "bounds.status_s": "120",
            "bounds.lease-ms": "3000", "bounds.move-s": "1.5", "bounds.upkeep-s": "2"}

    def add_node(self, number, zone):
        fields = self.fields(number)
        fields["zone"] = zone
        fields["node"] = f"front-{zone}-{number + 1}"
        self.nodes.append(Node(fields["node"], fields["ip"], fields, self._work.name,
                               zone, self.more_settings(number)))

    def more_settings(self, number):  # pylint: disable=unused-argument
        """Returns lines for the section `listen` of a node's settings."""
        return ""

    def store_port(self, number):
        """Returns the port of the store's own listener for a node."""
        return 8700 + number

    async def start(self):
        store = self.platform.store
        store.on_append = self.note_append
        self.servers = [await store.listen(self.platform_ip, self.store_port(number), node)
                        for number, node in enumerate(self.nodes)]
        await self.platform.listen(self.platform_ip, 8621)
        self.write_manifest(1)
        for node in self.nodes:
            node.start()
        await self.wait_until(15, self.all_ready, "the nodes are not ready")
        # The first plans of the owner are over, and the workers are listed.
        await asyncio.sleep(2.5)
        self.record("system is ready")

    def write_manifest(self, version):
        self.platform.store.put("keyed.op", "config", json.dumps({
            "version": version,
            "routes": [{"name": "quick", "host": HOST, "path-prefix": PREFIX,
                        "service": "quick-svc", "priority": 0, "attempts": 3, "stretch": 1.6,
                        "target-duration-ms": 600}],
            "services": [{"name": "quick-svc"}, {"name": "spare-svc", "spare": True}],
            "limits": {}}).encode())

    async def ready(self, node):
        try:
            reader, writer = await asyncio.open_connection(node.ip, 8622)
            writer.write(f"GET /-/ready HTTP/1.1\r\nHost: {node.ip}\r\n\r\n".encode())
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return message is not None and message[0].split(" ")[1] == "200"

    async def all_ready(self):
        for node in self.nodes:
            if not await self.ready(node):
                return False
        return True

    async def wait_until(self, seconds, check, message):
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            if await check():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(message)

    def note_append(self, node, topic, keys):
        if topic == "keyed.jobs" and keys:
            self.owner = node

    def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            # For those who look for the cause.
            for node in self.nodes:
                with open(f"{os.environ['KEEP_LOGS']}/{node.name}.log", "w") as file:
                    file.write(node.log())
        self._work.cleanup()


async def play(system, scenario):
    await system.start()
    return await scenario(system)


def main(create, scenario):
    """Runs a scenario, which returns the texts of broken rules, and exits as a case does."""
    folder = sys.argv[1]

    async def run():
        system = create(folder)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(
                number, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(play(system, scenario), TIME_LIMIT_S)
        finally:
            system.stop()

    try:
        broken = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as error:
        finish(2, f"could not run: {error!r}")
    except Exception as error:  # pylint: disable=broad-except
        finish(2, f"failed: {error!r}")
    for text in broken:
        print(f"BROKEN {text}")
    finish(1 if broken else 0, "the rule was broken" if broken else "the rule held")


def finish(code, text):
    print(text, flush=True)
    # Channels that a test leaves open need no orderly end.
    os._exit(code)
