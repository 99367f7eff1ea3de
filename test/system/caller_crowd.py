#!/usr/bin/env python3
"""Sends one kind of abusive traffic to a real process, beside an ordinary caller.

    test/system/caller_crowd.py callers tiny_chunks --build build

Fails unless the process lives, its memory and descriptors stay under the bounds, and an ordinary
request is answered afterwards. No bound depends on the machine's speed.
"""

import argparse
import base64
import http.client
import json
import os
import resource
import selectors
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

# Growth of the resident memory since the process became ready. The settings below give callers
# 8 MB; the rest is for the connections themselves, fragmentation and the process's own state.
GROWTH_BOUND_KB = 24 * 1024
# Descriptors that the process may open, and how many of them may be open at any time: the others
# are the reserve for peers, the log, workers and the readiness check.
MAX_FDS = 256
FDS_BOUND = 200
# Growth of the open descriptors on the peers' port: what callers can't take of the limit.
PEERS_FDS_GROWTH_BOUND = MAX_FDS // 4
LIMITS = f"memory_mb = 40\nmax_fds = {MAX_FDS}\n"
# Inside the limits that the pages name.
ORDINARY_S = 30.0
START_S = 30.0
# The crowd stops when nobody could send anything for this long, or at the latest after MOST_S.
QUIET_S = 2.0
MOST_S = 25.0
SAMPLE_S = 0.02
LARGE = 4_000_000
UNFINISHED = 250_000

JOB = (b'{"spec": "{\\"ms\\": 40}", "steps": [{"count": 1, "cpu": 100, "mem-mb": 16, '
       b'"estimate-ms": 40}]}')

SCHEDULER = """\
[node]
name = node-0
zone = one
cluster_token = crowd

[listen]
callers = 127.0.0.1:{callers}
ready = 127.0.0.1:{ready}
peers = 127.0.0.1:{peers}
metrics = 127.0.0.1:{metrics}

[platform]
log = 127.0.0.1:{platform}
vm_control = 127.0.0.1:{platform}

[limits]
cpu_cores = 1
longest_lease_ms = 6000
grace_s = 6
retention_s = 120
vm_lease_ms = 3000
move_s = 1.5
maintenance_s = 2
"""

ENTRY = """\
[entry]
name = entry-1
zone = zone-a
region = region-1
address = 127.0.0.1
caller_port = {callers}
operator_port = {ready}
peer_port = {peers}
platform_url = http://127.0.0.1:{platform}
cluster_token = crowd-cluster-token
operator_token = crowd-operator-token

[limits]
max_body_bytes = 262144
"""


def head(length, more=b""):
    """Returns the header of a submission whose body has `length` bytes, or None for chunks."""
    size = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
    return (b"POST /quick/%016x HTTP/1.1\r\nHost: soak.example\r\n" % int.from_bytes(
        os.urandom(8), "big") + size + b"\r\n" + more + b"\r\n")


def announced_sent():
    return 40, head(LARGE) + b"x" * LARGE


def announced_silent():
    return 150, head(50 * LARGE)


def unannounced():
    chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
    return 40, head(None) + chunk * (LARGE // 65536) + b"0\r\n\r\n"


def large_chunks():
    return 160, head(None) + b"%x\r\n" % UNFINISHED + b"x" * (UNFINISHED - 1)


def tiny_chunks():
    return 20, head(None) + b"1\r\nx\r\n" * 120_000


def endless_headers():
    lines = b"".join(b"X-%d: %s\r\n" % (i, b"y" * 15_000) for i in range(5))
    return 500, b"GET /quick/0123456789abcdef HTTP/1.1\r\n" + lines + b"X-Last: " + b"z" * 2_000


def many_headers():
    lines = b"".join(b"X-%d: y\r\n" % i for i in range(20_000))
    return 150, b"GET /quick/0123456789abcdef HTTP/1.1\r\nHost: soak.example\r\n" + lines


def slow():
    return 150, head(UNFINISHED) + b"x" * 40


def idle():
    return 2 * MAX_FDS, b""


def short_headers():
    # The header stays unfinished; a server that keeps each line by itself needs far more memory
    # than the text.
    lines = b"".join(b"%x:\r\n" % i for i in range(2_300))
    return 150, b"GET / HTTP/1.1\r\nHost: soak.example\r\n" + lines


def reopened():
    # Each connection that the process closes is replaced until an ordinary request got its answer.
    return 2 * MAX_FDS, b""


def unread_answers():
    call = b"GET /quick/0123456789abcdef HTTP/1.1\r\nHost: soak.example\r\n\r\n"
    return 150, call * 2_000


def dense_bodies():
    # As many steps as fit into a body within the limits; each takes far more than its text.
    body = b'{"spec": "{}", "steps": [' + b"{}," * 87_000 + b"{}]}"
    return 40, head(len(body)) + body


KINDS = {kind.__name__: kind for kind in (
    announced_sent, announced_silent, unannounced, large_chunks, tiny_chunks, endless_headers,
    many_headers, slow, idle, unread_answers, dense_bodies, short_headers, reopened)}


class Crowd:
    """Connections that all send the same bytes, read nothing and stay open."""

    def __init__(self, port, count, content, piece):
        self._content = memoryview(content)
        self._piece = piece
        self._selector = selectors.DefaultSelector()
        self._members = []
        self.sent = 0
        for _ in range(count):
            member = socket.socket()
            member.setblocking(False)
            member.connect_ex(("127.0.0.1", port))
            self._members.append(member)
            if content:
                self._selector.register(member, selectors.EVENT_WRITE, [0])

    def send(self):
        """Sends until everybody has sent everything, was cut off or isn't read from."""
        begin = moved_at = time.monotonic()
        while time.monotonic() - moved_at < QUIET_S and time.monotonic() - begin < MOST_S:
            for key, _ in self._selector.select(0.1):
                moved_at = time.monotonic() if self._send_some(key) else moved_at
            if self._piece is not None:
                time.sleep(0.1)
            if not self._selector.get_map():
                # Whatever was sent last has to reach the process too.
                time.sleep(QUIET_S)
                return

    def _send_some(self, key):
        begin = key.data[0]
        try:
            count = key.fileobj.send(self._content[begin:begin + (self._piece or 262_144)])
        except BlockingIOError:
            return False
        except OSError:
            self._selector.unregister(key.fileobj)
            return False
        key.data[0] += count
        self.sent += count
        if key.data[0] == len(self._content):
            self._selector.unregister(key.fileobj)
        return True

    def close(self):
        for member in self._members:
            member.close()


class Reopeners:
    """Connections that send nothing; each that the process closes is replaced at once."""

    def __init__(self, port, count):
        self._port = port
        self._selector = selectors.DefaultSelector()
        self.opened = 0
        self._ended = threading.Event()
        for _ in range(count):
            self._open()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _open(self):
        member = socket.socket()
        member.setblocking(False)
        member.connect_ex(("127.0.0.1", self._port))
        self._selector.register(member, selectors.EVENT_READ)
        self.opened += 1

    def _run(self):
        while not self._ended.is_set():
            for key, _ in self._selector.select(0.1):
                self._selector.unregister(key.fileobj)
                key.fileobj.close()
                self._open()

    def close(self):
        self._ended.set()
        self._thread.join()
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()


class Watched:
    """A process whose memory and descriptors are sampled."""

    def __init__(self, command, log):
        self.fds_before = 0
        self.most_fds = 0
        self.samples = 0
        with open(log, "ab") as file:
            self.child = subprocess.Popen(command, stdout=file, stderr=file, preexec_fn=lambda:
                                          resource.setrlimit(resource.RLIMIT_NOFILE,
                                                             (MAX_FDS, MAX_FDS)))
        self._ended = threading.Event()
        self._sampler = threading.Thread(target=self._sample)

    def watch(self):
        self.fds_before = len(os.listdir(f"/proc/{self.child.pid}/fd"))
        self._sampler.start()

    def _sample(self):
        while not self._ended.wait(SAMPLE_S):
            try:
                self.most_fds = max(self.most_fds, len(os.listdir(f"/proc/{self.child.pid}/fd")))
                self.samples += 1
            except OSError:
                return

    def memory_kb(self, field):
        with open(f"/proc/{self.child.pid}/status", encoding="ascii") as status:
            return next(int(line.split()[1]) for line in status if line.startswith(field))

    def lives(self):
        return self.child.poll() is None

    def stop(self):
        self._ended.set()
        if self._sampler.is_alive():
            self._sampler.join()
        if self.lives():
            os.kill(self.child.pid, signal.SIGKILL)
        self.child.wait()


class System:
    """One process with the stand-in that it needs."""

    def __init__(self, server, build, folder, base):
        self.server = server
        self._folder = folder
        self._ports = {"platform": base, "callers": base + 50, "ready": base + 51,
                       "peers": base + 52, "metrics": base + 53}
        self.port = self._ports["callers" if server == "entry" else server]
        if server == "entry":
            with open(f"{folder}/vms.json", "w", encoding="utf-8") as vms:
                vms.write('{"vms": []}')
            standin = [f"{build}/standins/standin-platform", f"--port={base}",
                       f"--vms={folder}/vms.json"]
            self._command = [f"{build}/apps/peridot-entry"]
        else:
            standin = [f"{build}/standins/standin-fleet", f"--port={base}", "--pool_sizes=2,1",
                       "--pools=quick", "--zones=one"]
            self._command = [f"{build}/apps/peridot-scheduler"]
        with open(f"{folder}/standin.log", "ab") as log:
            self._standin = subprocess.Popen(standin, stdout=log, stderr=log)
        self.process = None

    def start(self):
        self._wait_for(lambda: self._call(self._ports["platform"], "GET",
                                          "/vms")[0] is not None)
        if self.server != "entry":
            self._configure()
        self._start_process()
        self._wait_for(self.ordinary_is_answered)
        self.process.watch()

    def _start_process(self):
        settings = f"{self._folder}/settings.ini"
        with open(settings, "w", encoding="utf-8") as file:
            file.write((ENTRY if self.server == "entry" else SCHEDULER).format(**self._ports))
            file.write(LIMITS)
        self.process = Watched([*self._command, f"--settings={settings}"],
                               f"{self._folder}/process.log")

    def _configure(self):
        content = (b'{"version": 8, "routes": [{"name": "quick", "host": "soak.example", '
                   b'"path-prefix": "/quick/", "kind": "unsafe", "timeout-ms": 3000, '
                   b'"attempts": 4, "target-duration-ms": 600, "stretch": 1.6, "priority": 0, '
                   b'"service": "quick"}], "services": [{"name": "quick", "spare": false}, '
                   b'{"name": "spare", "spare": true}], "limits": {}}')
        self._wait_for(lambda: self._call(self._ports["platform"], "POST", "/operator?key=config",
                                          content)[0] == 200)

    def ordinary(self):
        """Makes one ordinary request on a connection of its own. Returns its status, or None."""
        if self.server == "callers":
            return self._submit()
        if self.server == "peers":
            # A process that is out of descriptors serves neither its peers nor its callers.
            return self._submit() if self._open_link() == 101 else None
        path = {"ready": "/-/ready", "metrics": "/metrics", "entry": "/v1/reports/x"}[self.server]
        return self._call(self.port, "GET", path)[0]

    def _submit(self):
        path = f"/quick/{os.urandom(8).hex()}"
        return self._call(self._ports["callers"], "POST", path, JOB)[0]

    def _open_link(self):
        """Opens a link as a node does, and closes it. Returns the handshake's status, or None."""
        return self._call(self._ports["peers"], "GET", "/", headers={
            "Connection": "Upgrade", "Upgrade": "websocket", "Sec-WebSocket-Version": "13",
            "Sec-WebSocket-Key": base64.b64encode(os.urandom(16)).decode(),
            "Authorization": "Bearer crowd", "X-Peridot-Incarnation": "node-1-0123456789abcdef",
            "X-Peridot-Target": self._incarnation()})[0]

    def _incarnation(self):
        with open(f"{self._folder}/process.log", encoding="utf-8") as log:
            started = [json.loads(line) for line in log if '"started"' in line]
        return started[0]["context_map"]["incarnation"] if started else ""

    def ordinary_is_answered(self):
        return self.ordinary() in (200, 401)

    def is_answered(self):
        """Whether an ordinary request gets its answer, tried until it does."""
        until = time.monotonic() + ORDINARY_S
        while time.monotonic() < until:
            if self.ordinary_is_answered():
                return True
            time.sleep(0.1)
        return False

    @staticmethod
    def _call(port, method, path, body=None, headers=None):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
        try:
            connection.request(method, path, body, {"Host": "soak.example", **(headers or {})})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return None, None
        finally:
            connection.close()

    def _wait_for(self, condition):
        until = time.monotonic() + START_S
        while not condition():
            if time.monotonic() > until:
                raise SystemExit(f"the system did not start, see {self._folder}")
            time.sleep(0.1)

    def stop(self):
        if self.process is not None:
            self.process.stop()
        os.kill(self._standin.pid, signal.SIGKILL)
        self._standin.wait()


def play(system, kind):
    """Returns what doesn't hold."""
    system.start()
    before_kb = system.process.memory_kb("VmRSS")
    count, content = KINDS[kind]()
    ordinary = {"calls": 0, "answers": 0}
    ended = threading.Event()

    def call_beside():
        while not ended.wait(0.2):
            ordinary["calls"] += 1
            ordinary["answers"] += 1 if system.ordinary_is_answered() else 0

    beside = threading.Thread(target=call_beside)
    beside.start()
    faults = []
    sent = 0
    if kind == "reopened":
        crowd = Reopeners(system.port, count)
        time.sleep(QUIET_S)
        if not system.is_answered():
            faults.append("no ordinary request is answered while connections are opened")
        count = crowd.opened
    else:
        crowd = Crowd(system.port, count, content, 1 if kind == "slow" else None)
        crowd.send()
        sent = crowd.sent
    crowd.close()
    ended.set()
    beside.join()
    answered = system.process.lives() and system.is_answered()
    if not system.process.lives():
        return [f"the process ended with code {system.process.child.returncode}"]
    growth_kb = system.process.memory_kb("VmHWM") - before_kb
    print(f"{system.server} {kind}: {count} connections sent {sent / 1e6:.1f} MB; memory "
          f"{before_kb} kB before, {growth_kb} kB more at most; {system.process.most_fds} "
          f"descriptors at most ({system.process.fds_before} before) in {system.process.samples} "
          f"samples; beside it {ordinary['answers']} of {ordinary['calls']} ordinary requests answered")
    if growth_kb > GROWTH_BOUND_KB:
        faults.append(f"memory grew by {growth_kb} kB, the bound is {GROWTH_BOUND_KB}")
    if system.process.most_fds > FDS_BOUND:
        faults.append(f"{system.process.most_fds} descriptors, the bound is {FDS_BOUND}")
    fds_growth = system.process.most_fds - system.process.fds_before
    if system.server == "peers" and fds_growth > PEERS_FDS_GROWTH_BOUND:
        faults.append(f"{fds_growth} more descriptors, the bound is {PEERS_FDS_GROWTH_BOUND}")
    if not answered:
        faults.append("no ordinary request is answered afterwards")
    return faults


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("server", choices=("callers", "ready", "metrics", "entry", "peers"))
    parser.add_argument("kind", choices=KINDS)
    parser.add_argument("--build", default="build")
    parser.add_argument("--base_port", type=int, default=19800)
    options = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    folder = tempfile.mkdtemp()
    system = System(options.server, options.build, folder, options.base_port)
    try:
        faults = play(system, options.kind)
    finally:
        system.stop()
    for fault in faults:
        print(f"FAILED: {fault}")
    if faults:
        print(f"logs: {folder}")
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main())
