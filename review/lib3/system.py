"""Starts the scheduler nodes as the deploy file says, and calls them as a consumer does."""
import asyncio
import json
import logging
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def free_base():
    """Returns a loopback prefix of three numbers on which nothing listens."""
    while True:
        base = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            for port in (19000, 19001, 20000):
                with socket.socket() as probe:
                    probe.bind((f"{base}.1", port))
            return base
        except OSError:
            continue


def render(template, fields):
    return re.sub(r"\{\{([^}]*)\}\}", lambda match: str(fields.get(match.group(1), "")), template)


class Node:
    """One machine of the system with its process."""

    def __init__(self, system, index):
        self.system, self.index = system, index
        self.name = f"front-one-{index}"
        self.ip = f"{system.base}.{10 + index}"
        self.process = None
        self.kills = 0
        self.path = os.path.join(system.folder, f"{self.name}.conf")
        self.log_path = os.path.join(system.folder, f"{self.name}.log")

    def fields(self):
        fields = dict(self.system.fields)
        fields.update({
            "node": self.name, "zone": "one", "ip": self.ip, "listen.front": f"{self.ip}:8624",
            "listen.ready": f"{self.ip}:8622", "internal-ports.0": "7060",
        })
        return fields

    def start(self):
        with open(self.path, "w") as file:
            file.write(render(self.system.template, self.fields()))
        environment = {"PATH": os.environ.get("PATH", ""), "PERIDOTRUDDER_NODE_FILE": self.path}
        self.process = subprocess.Popen(self.system.command, cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=open(self.log_path, "ab"),
                                        stderr=subprocess.STDOUT)

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def rss_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) // 1024
        except OSError:
            pass
        return 0

    def log_has(self, text):
        with open(self.log_path, errors="replace") as file:
            return text in file.read()


class System:
    def __init__(self, base, platform, nodes, extra=None):
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            role = dict(re.findall(r'(?m)^(run|template) = "(.*)"$', file.read()))
        with open(os.path.join(ROOT, role["template"])) as file:
            self.template = file.read()
        self.command = role["run"].split()
        self.base = base
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.fields = {
            "platform.address": platform.store_address, "cloud.address": platform.cloud_address,
            "advice": "", "limits.cpu-share": 0.25, "limits.memory-mb": 260, "limits.max-fds": 4100,
            "bounds.hold-max-ms": platform.hold_max_ms, "bounds.grace-s": 6, "bounds.status_s": 120,
            "bounds.lease-ms": 3000, "bounds.move-s": 1.5, "bounds.upkeep-s": 2, "bounds.far-x": 2,
        }
        self.fields.update(extra or {})
        self.nodes = [Node(self, index) for index in range(nodes)]

    def start(self):
        for node in self.nodes:
            node.start()

    def stop(self, keep_logs=False):
        for node in self.nodes:
            node.kill()
        if not keep_logs:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def ready(self, timeout=15):
        """Returns whether all nodes say that they are ready in time."""
        deadline = time.monotonic() + timeout
        for node in self.nodes:
            while True:
                status, _ = await call(node.ip, 8622, "GET", "/-/ready", timeout=1)
                if status == 200:
                    break
                if time.monotonic() > deadline:
                    return False
                await asyncio.sleep(0.1)
        return True


async def call(ip, port, method, path, body=None, headers=None, timeout=3.0):
    """Sends one request on a connection of its own; status 0 if there is no answer in time."""
    data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    head = f"{method} {path} HTTP/1.1\r\n"
    for name, value in {"Host": "demo.example", "Content-Type": "application/json",
                        "Content-Length": len(data), **(headers or {})}.items():
        head += f"{name}: {value}\r\n"
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, port)
        writer.write(head.encode() + b"\r\n" + data)
        await writer.drain()
        answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        length = re.search(r"(?i)content-length: *(\d+)", answer)
        content = await reader.readexactly(int(length.group(1))) if length else b""
        return int(answer.split(" ", 2)[1]), content

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Record:
    """What was sent, answered and run, for record.txt in the case's folder."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.begun = time.monotonic()
        self.lines = []

    def note(self, text):
        self.lines.append(f"{time.monotonic() - self.begun:8.3f} {text}")

    def write(self, platform=None):
        with open(self.path, "w") as file:
            file.write("\n".join(self.lines) + "\n")
            if platform is not None:
                file.write("\nwhat the workers did (seconds since the platform's start):\n")
                for event in platform.events:
                    file.write(json.dumps(event) + "\n")


def config(version=1, services=("quick",), spare="spare", attempts=3, tenants=None, limits=None):
    """Returns a manifest with one queue for each service, under the path /SERVICE/."""
    manifest = {
        "version": version,
        "routes": [{"name": name, "host": "demo.example", "path-prefix": f"/{name}/",
                    "service": name, "priority": 0, "attempts": attempts, "stretch": 1.6,
                    "target-duration-ms": 600} for name in services],
        "services": [{"name": name, "admission-control": False} for name in services] +
                    [{"name": spare, "spare": True}],
        "limits": limits or {},
    }
    if tenants is not None:
        manifest["tenants"] = tenants
    return manifest


def run_case(folder, run, limit_s=115):
    """Runs the case `run(record)` and ends the process with its exit code; 2 if it can't run."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    record = Record(folder)
    code = 2
    try:
        code = asyncio.new_event_loop().run_until_complete(asyncio.wait_for(run(record), limit_s))
    except asyncio.TimeoutError:
        record.note("the case took too long")
        record.write()
    except Exception:
        record.note(traceback.format_exc())
        record.write()
    print(f"exit code {code}", flush=True)
    os._exit(code)
