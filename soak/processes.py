"""Runs the real programs as processes. Sends signals only to processes that it started."""

import os
import signal
import subprocess
import threading

NODE_SETTINGS = """\
[node]
name = {name}
zone = {zone}
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
graded_health = {graded}
"""

# Reason of the stops by a quota, see `hold`.
QUOTA = "quota"
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
        self.starts = 0
        # Processor cores that it may use, for `Quotas`.
        self.cores = None
        # Reasons for which it is stopped, by faults and by its quota; it goes on without any.
        self._holds = set()
        self._lock = threading.Lock()
        self._allowed = set()
        self._child = None

    def start(self):
        with open(self.log_path, "ab") as log:
            child = subprocess.Popen(self.command, stdout=log, stderr=log)
        with self._lock:
            self._child = child
            self._holds = set()
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
            self.hold("fault")
        elif number == signal.SIGCONT:
            self.release("fault")
        else:
            self._child.send_signal(number)

    @property
    def pid(self):
        return self._child.pid if self.runs else None

    def hold(self, reason):
        """Stops it until each reason has been released, or until it is started again."""
        with self._lock:
            if self.runs and not self._holds:
                self._child.send_signal(signal.SIGSTOP)
            self._holds.add(reason)

    def release(self, reason):
        with self._lock:
            held = bool(self._holds)
            self._holds.discard(reason)
            if self.runs and held and not self._holds:
                self._child.send_signal(signal.SIGCONT)

    def release_faults(self):
        """Ends the stops by faults; that of a quota stays."""
        for reason in list(self._holds - {QUOTA}):
            self.release(reason)

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
