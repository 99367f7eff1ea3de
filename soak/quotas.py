"""Limits the processor time of processes by stopping each that has used up its share of a period."""

import sys
import threading
import time

from processes import QUOTA

PERIOD_S = 0.1
LOOK_S = 0.003


def processor_clock(pid):
    """Returns the clock of a process that counts the processor time of all its threads."""
    return (~pid << 3) | 2


class Share:
    """What a process has used in the current period, and what it has used too much before."""

    def __init__(self, process, offset_s):
        self._process = process
        self._ends_at = time.monotonic() + offset_s
        self._pid = None
        self._used_before_s = 0.0
        self._debt_s = 0.0
        self.held_periods = 0
        self.periods = 0

    def look(self, now):
        pid = self._process.pid
        try:
            used_s = time.clock_gettime(processor_clock(pid)) if pid is not None else 0.0
        except OSError:
            return
        budget_s = self._process.cores * PERIOD_S
        if pid != self._pid:
            self._pid, self._used_before_s, self._debt_s = pid, 0.0, 0.0
        spent_s = used_s - self._used_before_s + self._debt_s
        if now >= self._ends_at:
            self.periods += 1
            self.held_periods += spent_s >= budget_s
            self._ends_at = max(self._ends_at + PERIOD_S, now)
            spent_s = max(0.0, spent_s - budget_s)
            self._debt_s, self._used_before_s = spent_s, used_s
            if spent_s < budget_s:
                self._process.release(QUOTA)
        if spent_s >= budget_s:
            self._process.hold(QUOTA)


class Quotas:
    """Watches processes with `cores` in a thread of its own, between `start` and `stop`."""

    def __init__(self, processes):
        self._processes = processes
        self._shares = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        # So that the thread isn't kept waiting by the rest of this program.
        sys.setswitchinterval(0.001)
        self._thread.start()

    def stop(self):
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        for process in list(self._processes):
            process.release(QUOTA)

    def held_share(self):
        """Returns the share of all periods in which a process had used up what it may use."""
        periods = sum(share.periods for share in self._shares.values())
        return sum(share.held_periods for share in self._shares.values()) / max(periods, 1)

    def _run(self):
        while not self._stopping.wait(LOOK_S):
            now = time.monotonic()
            for place, process in enumerate(list(self._processes)):
                if process not in self._shares:
                    # Not all periods begin at the same time.
                    self._shares[process] = Share(process, PERIOD_S * (place * 7 % 34) / 34)
                self._shares[process].look(now)
