"""Runs the real programs as processes. Sends signals only to processes that it started."""

import os
import signal
import subprocess

NODE_SETTINGS = """\
[node]
name = {name}
zone = one
cluster_token = soak

[listen]
callers = 127.0.0.1:{callers}
ready = 127.0.0.1:{ready}
peers = 127.0.0.1:{peers}
advertised_peers = 127.0.0.1:{advertised}
metrics = 127.0.0.1:{metrics}

[platform]
log = 127.0.0.1:{log}
vm_control = 127.0.0.1:{vms}

[limits]
cpu_cores = {cores}
longest_lease_ms = 6000
grace_s = 6
retention_s = 120
vm_lease_ms = 3000
move_s = 1.5
maintenance_s = 2
"""

KILLED = {-signal.SIGKILL}
STOPPED = {0, 4, -signal.SIGKILL}


def socket_inode(local_port):
    """Returns the inode of the connected TCP socket with a local port, or None."""
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            fields = line.split()
            # A connected socket has state 01.
            if fields[1].endswith(f":{local_port:04X}") and fields[3] == "01":
                return fields[9]
    return None


class Process:
    """A program that can be restarted, and that tells expected ends from unexpected ones."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.paused = False
        self.starts = 0
        self._allowed = set()
        self._child = None

    def start(self):
        with open(self.log_path, "ab") as log:
            self._child = subprocess.Popen(self.command, stdout=log, stderr=log)
        self.paused = False
        self.starts += 1
        self._allowed = set()

    @property
    def runs(self):
        return self._child is not None and self._child.poll() is None

    def send(self, number):
        if not self.runs:
            return
        if number == signal.SIGKILL:
            self._allowed |= KILLED
        if number == signal.SIGTERM:
            self._allowed |= STOPPED
        if number == signal.SIGSTOP:
            self.paused = True
        if number == signal.SIGCONT:
            self.paused = False
        os.kill(self._child.pid, number)

    def has_socket(self, inode):
        folder = f"/proc/{self._child.pid}/fd" if self.runs else ""
        try:
            return any(os.readlink(f"{folder}/{entry}") == f"socket:[{inode}]"
                       for entry in os.listdir(folder))
        except OSError:
            return False

    def take_end(self):
        """Returns the exit code if the process ended unexpectedly, otherwise None."""
        code = self._child.poll()
        return None if code is None or code in self._allowed else code

    def end(self):
        if self.runs:
            os.kill(self._child.pid, signal.SIGKILL)
        if self._child is not None:
            self._child.wait()
