"""Checks the guarantees against the answers that callers got and the runs that workers recorded."""

import time

WORKER_CPU = 16_000
# A capacity that has shrunk counts after the stable window and a heartbeat.
SHRUNK_S = 4.5
# No task of a cancelled job starts after CANCEL_S, except by orders that workers carry out late, up
# to 6 s later, or later still as the ledger tells.
CANCEL_S = 3.0
LATE_ORDER_S = 6.5
LATE_SLACK_S = 0.5
VISIBLE_S = 3.0
ATTEMPTS = 4
# A task may be given up after GIVE_UP_CRASHES workers have crashed under it, by whatever cause;
# workers that a move or maintenance ended don't count. After it has crashed MAX_CRASHES of them
# itself, it may not be started MAX_MORE_STARTS times.
GIVE_UP_CRASHES = 2
MAX_CRASHES = 3
MAX_MORE_STARTS = 3


class Oracle:
    """Reads the ledger of runs piece by piece during the soak, and collects violated guarantees."""

    def __init__(self, jobs, quota_check=None):
        self.jobs = jobs
        self._quota_check = quota_check
        self.events = 0
        self.starts = 0
        # How long the jobs took to end, and the longest time for which a quota held one up.
        self.settled_s = self.held_s = 0.0
        # Jobs that need not end, as long-running tasks of their tenants take all of the quota.
        self.excused = []
        self.violations = []
        self._running = {}
        self._capacity = {}
        self._used = {}
        # Delays of starts that were carried out late.
        self._late = {}
        self._crashes = {}
        # Workers that crashed under each task, with the times of their start.
        self._crashed_under = {}
        self._starts_after_crashes = {}
        self._done = set()
        self._recorded_successes = {}
        self._failures = {}
        # Numbers of the failed runs of each job; the members of a gang share them.
        self._failed_runs = {}

    def fail(self, message):
        if message not in self.violations:
            self.violations.append(message)

    def take(self, events):
        for event in events:
            self.events += 1
            if event["what"] == "start":
                self._take_start(event)
            elif event["what"] == "capacity":
                self._capacity.setdefault(event["worker"], []).append(
                    (event["at_ms"] / 1000, event["run"]))
            elif event["what"] == "late":
                self._late[event["worker"], event["task"], event["run"]] = \
                    (event["at_ms"] - event["born"]) / 1000
            elif event["what"] == "noted":
                self._recorded_successes.setdefault(event["task"], event["at_ms"])
            else:
                self._take_end(event)

    def _take_start(self, event):
        self.starts += 1
        task, worker = event["task"], event["worker"]
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        if job is None:
            self.fail(f"UNASKED: {task} was never submitted")
            return
        if task in self._running:
            self.fail(f"TWICE: {task} starts on {worker} while it runs on {self._running[task][0]}")
        if task in self._recorded_successes and not job.long_running:
            self.fail(f"TWICE: {task} starts after its success was recorded")
        self._check_order(job, task, int(step))
        at = event["at_ms"] / 1000
        late_s = max(LATE_ORDER_S, self._delay(event))
        if job.cancelled_at is not None and at > job.cancelled_at + CANCEL_S + late_s:
            self.fail(f"UNASKED: {task} starts {at - job.cancelled_at:.1f} s after cancellation")
        self._running[task] = (worker, event["run"])
        if self._quota_check is not None:
            self._quota_check.take_start(event, job, at - late_s, self.fail)
        self._check_capacity(event, job.body["steps"][int(step)]["cpu"])
        self._check_crashes(task)

    def _check_capacity(self, event, cpu):
        worker, at = event["worker"], event["at_ms"] / 1000
        run = (event["task"], event["run"])
        runs = self._used.setdefault(worker, {})
        runs[run] = cpu
        capacity = self._capacity_since(worker, at - SHRUNK_S - self._delay(event))
        if sum(runs.values()) > capacity:
            self.fail(f"LIMIT: {worker} uses {sum(runs.values())} of {capacity} thousandths of a "
                      f"core with {event['task']}")

    def _delay(self, event):
        """Returns how late the worker may have carried out a start."""
        run = (event["worker"], event["task"], event["run"])
        return self._late[run] + LATE_SLACK_S if run in self._late else 0

    def _capacity_since(self, worker, since):
        """Returns the largest capacity that the worker has had since a time."""
        counted = [WORKER_CPU]
        for at, capacity in self._capacity.get(worker, []):
            counted = [capacity] if at <= since else [*counted, capacity]
        return max(counted)

    def _check_crashes(self, task):
        if self._crashes.get(task, 0) < MAX_CRASHES:
            return
        starts = self._starts_after_crashes[task] = self._starts_after_crashes.get(task, 0) + 1
        if starts >= MAX_MORE_STARTS:
            self.fail(f"BUDGET: {task} starts {MAX_MORE_STARTS} times after it has crashed "
                      f"{MAX_CRASHES} workers")

    def _check_order(self, job, task, step):
        for needed in job.body["steps"][step].get("depends-on", []):
            for index in range(job.body["steps"][needed]["count"]):
                if f"{job.id}.0.{needed}.{index}" not in self._done:
                    self.fail(f"ORDER: {task} starts before step {needed} is done")

    def _take_end(self, event):
        task = event["task"]
        running = self._running.get(task)
        if running == (event["worker"], event["run"]):
            del self._running[task]
        self._used.get(event["worker"], {}).pop((task, event["run"]), None)
        if self._quota_check is not None:
            self._quota_check.take_end(event)
        if event["what"] == "done":
            self._done.add(task)
        if event["what"] == "failed":
            self._failures[task] = self._failures.get(task, 0) + 1
            self._failed_runs.setdefault(task.split(".")[0], set()).add(event["run"])
        if event["what"] == "crashed":
            self._crashes[task] = self._crashes.get(task, 0) + 1
        if event["what"] in ("crashed", "lost"):
            self._crashed_under.setdefault(task, set()).add((event["worker"], event["born"]))

    def tasks_of(self, job):
        for step, spec in enumerate(job.body["steps"]):
            for index in range(spec["count"]):
                yield f"{job.id}.0.{step}.{index}"

    def open_step(self, job):
        """Returns the first step of the job that has a task which is not done; the others wait for
        it."""
        for step, spec in enumerate(job.body["steps"]):
            if any(f"{job.id}.0.{step}.{index}" not in self._done for index in range(spec["count"])):
                return spec
        return job.body["steps"][-1]

    def check_callers(self):
        """Checks the answers to callers against the runs so far."""
        started_jobs = {task.split(".")[0] for task in (*self._done, *self._running)}
        for job in self.jobs.values():
            if job.certainly_refused and job.id in started_jobs:
                self.fail(f"REFUSED: {job.id} runs although every submission was refused")
            self._check_states(job)

    def _check_states(self, job):
        ended = None
        for asked_at, answered_at, state in job.states:
            if state == "completed" and not self._may_be_completed(job):
                self.fail(f"MIXED: {job.id} is shown as completed, but has unfinished tasks")
            if state == "failed" and not self._may_have_failed(job):
                self.fail(f"LOST: {job.id} is shown as failed before {ATTEMPTS} failures of a task "
                          f"or {GIVE_UP_CRASHES} crashes of workers under one")
            if state == "cancelled" and job.cancel_sent_at is None:
                self.fail(f"LOST: {job.id} is shown as cancelled, but no caller cancelled it")
            if state == 410 and job.accepted_at is not None and \
                    asked_at > job.accepted_at + VISIBLE_S and job.cancel_sent_at is None:
                self.fail(f"LOST: {job.id} is unknown {asked_at - job.accepted_at:.1f} s after its "
                          "acceptance")
            if ended is not None and state in ("queued", "running") and asked_at > ended[1]:
                self.fail(f"MIXED: {job.id} changes back from {ended[0]} to {state}")
            if state in ("completed", "failed", "cancelled"):
                ended = (state, answered_at)

    def _may_be_completed(self, job):
        ends = [task in self._done for task in self.tasks_of(job)]
        return any(ends) if job.gang else all(ends)

    def _may_have_failed(self, job):
        if job.gang and len(self._failed_runs.get(job.id, ())) >= ATTEMPTS:
            return True
        return any((not job.gang and self._failures.get(task, 0) >= ATTEMPTS) or
                   len(self._crashed_under.get(task, ())) >= GIVE_UP_CRASHES
                   for task in self.tasks_of(job))

    def unfinished(self):
        """Returns accepted jobs that have not ended, or whose long-running tasks do not all run.

        Jobs that crash their workers need not end.
        """
        unfinished = []
        for job in self.jobs.values():
            if job.accepted_at is None or job.cancel_sent_at is not None or job.deadly:
                continue
            if job.long_running:
                if not all(task in self._running for task in self.tasks_of(job)):
                    unfinished.append(job)
            elif not job.states or job.states[-1][2] not in ("completed", "failed"):
                unfinished.append(job)
        return unfinished

    def still_running_cancelled(self):
        now = time.time()
        return [task for task in self._running
                if (job := self.jobs[task.split(".")[0]]).cancelled_at is not None
                and now - job.cancelled_at > CANCEL_S + LATE_ORDER_S]
