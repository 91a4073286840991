"""Jobs of one shard and the state of their tasks."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from wisterialug_core.decisions import resources
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import model

if TYPE_CHECKING:
    from collections.abc import Iterator

# Dropped job ids that are kept; their rows may be read for some more seconds.
MAX_DROPPED = 10_000
# Cancelled job ids of other shards that are kept: a loan may be read after the
# cancellation of its job, seconds later where a VM was partitioned.
MAX_CANCELLED_ELSEWHERE = 10_000
# `lent_to` of the tasks of a borrowed job that its home shard has not lent.
HOME = "home"

FINAL_STATES = frozenset(
    {
        workflow_pb2.JOB_COMPLETED,
        workflow_pb2.JOB_FAILED,
        workflow_pb2.JOB_CANCELLED,
    }
)


def reserved_amount(step: workflow_pb2.Step) -> resources.Amount:
    """Returns what one task of a step reserves on its worker.

    Fill tasks run in spare processor time, so they reserve no processor.
    """
    return resources.Amount(
        0 if step.fills else step.cpu_millicores,
        step.memory_mib,
        step.accelerators,
    )


@dataclasses.dataclass(slots=True, eq=False)
class JobEntry:
    """One job and its tasks.

    Attributes:
      home: The job belongs to this shard; otherwise tasks are borrowed.
      cancelled: The caller has cancelled the job.
      groups: Tasks by repetition and step, created on first use.
      open_tasks: Number of tasks of a group that are not done.
      active: Number of active runs.
    """

    job: workflow_pb2.Job
    home: bool = True
    state: int = workflow_pb2.JOB_QUEUED
    cancelled: bool = False
    ended_ms: int = 0
    groups: dict[model.GroupKey, list[model.Task]] = dataclasses.field(
        default_factory=dict
    )
    open_tasks: dict[model.GroupKey, int] = dataclasses.field(
        default_factory=dict
    )
    active: int = 0

    @property
    def repetitions(self) -> int:
        """Returns the number of times that the steps run."""
        return max(1, self.job.repeats)

    @property
    def final(self) -> bool:
        """Returns whether the job has ended."""
        return self.state in FINAL_STATES

    def due_ms(self, repetition: int) -> int:
        """Returns a repetition's earliest start in Unix ms; 0 for now."""
        if not self.job.repeats:
            return 0
        return self.job.start_at_ms + repetition * self.job.interval_ms

    def group(self, key: model.GroupKey) -> list[model.Task]:
        """Returns the tasks of a group."""
        tasks = self.groups.get(key)
        if tasks is None:
            count = self.job.steps[key.step].count
            lent_to = "" if self.home else HOME
            tasks = [
                model.Task(model.TaskKey(*key, i), lent_to=lent_to)
                for i in range(count)
            ]
            self.groups[key] = tasks
            self.open_tasks[key] = count
        return tasks

    def step_done(self, repetition: int, step: int) -> bool:
        """Returns whether all tasks of a step are done."""
        key = model.GroupKey(self.job.id, repetition, step)
        return key in self.groups and self.open_tasks[key] == 0

    def ready_groups(
        self, now_ms: int, lookahead_ms: int = 0
    ) -> Iterator[model.GroupKey]:
        """Yields the unfinished groups that are due and not blocked."""
        for repetition in range(self.repetitions):
            if self.due_ms(repetition) > now_ms + lookahead_ms:
                return
            for number, step in enumerate(self.job.steps):
                if self.step_done(repetition, number):
                    continue
                # Borrowed tasks were ready when they were lent.
                if not self.home or all(
                    self.step_done(repetition, a) for a in step.after
                ):
                    yield model.GroupKey(self.job.id, repetition, number)

    def all_done(self) -> bool:
        """Returns whether each task of each repetition is done."""
        return all(
            self.step_done(repetition, step)
            for repetition in range(self.repetitions)
            for step in range(len(self.job.steps))
        )


class JobTable:
    """Jobs of a shard, with the changes that are not durable yet.

    Attributes:
      jobs: Jobs by id; ended ones stay until their retention ends.
      dirty: Jobs whose record in the store is out of date.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobEntry] = {}
        self.dirty: set[str] = set()
        self.open_jobs: dict[str, JobEntry] = {}
        # Ids of recently dropped jobs, oldest first.
        self._dropped: dict[str, None] = {}
        self._cancelled_elsewhere: dict[str, None] = {}

    def add(self, job: workflow_pb2.Job) -> JobEntry | None:
        """Adds a job unless it is known already.

        Returns:
          The job's entry, or None if the job was dropped: its row may still be
          read for a moment.
        """
        entry = self.jobs.get(job.id)
        if entry is None and job.id in self._dropped:
            return None
        if entry is None:
            entry = self._insert(JobEntry(job))
        return entry

    def add_borrowed(self, job: workflow_pb2.Job) -> JobEntry | None:
        """Adds a job of another shard that lends tasks to this one."""
        entry = self.jobs.get(job.id)
        if entry is None and (
            job.id in self._dropped or job.id in self._cancelled_elsewhere
        ):
            return None
        if entry is None:
            entry = self._insert(JobEntry(job, home=False))
        return entry

    def _insert(self, entry: JobEntry) -> JobEntry:
        self.jobs[entry.job.id] = entry
        self.open_jobs[entry.job.id] = entry
        return entry

    def lend(self, task: model.Task, shard: str) -> None:
        """Lends a waiting task to another shard."""
        task.lent_to = shard
        task.loans += 1
        self.dirty.add(task.key.job)

    def loan(
        self, job: str, from_shard: str, to_shard: str
    ) -> workflow_pb2.Loan:
        """Returns all tasks of a job that are lent to a shard."""
        entry = self.jobs[job]
        message = workflow_pb2.Loan(
            job=entry.job, from_shard=from_shard, to_shard=to_shard
        )
        for tasks in entry.groups.values():
            message.tasks.extend(
                _record(task) for task in tasks if task.lent_to == to_shard
            )
        return message

    def lent_to(self, job: str) -> set[str]:
        """Returns the shards to which tasks of a job are lent."""
        return {
            task.lent_to
            for tasks in self.jobs[job].groups.values()
            for task in tasks
            if task.lent_to and task.lent_to != HOME
        }

    def borrow(self, loan: workflow_pb2.Loan) -> bool:
        """Accepts lent tasks; returns whether any are new here."""
        entry = self.add_borrowed(loan.job)
        if entry is None or entry.final:
            return False
        new = False
        for record in loan.tasks:
            key = model.GroupKey(entry.job.id, record.repetition, record.step)
            task = entry.group(key)[record.index]
            if record.loans <= task.loans:
                continue
            task.lent_to = ""
            task.loans = record.loans
            task.run = max(task.run, record.run)
            task.checkpoint = record.checkpoint
            new = True
        if new:
            self.dirty.add(entry.job.id)
        return new

    def restore(
        self, entry: JobEntry, progress: workflow_pb2.Progress
    ) -> list[model.Task]:
        """Restores a job from its record.

        Returns:
          Tasks with a run that may be active.
        """
        entry.state = progress.state
        entry.ended_ms = progress.ended_ms
        active = []
        for record in progress.tasks:
            key = model.GroupKey(entry.job.id, record.repetition, record.step)
            task = entry.group(key)[record.index]
            task.run = record.run
            task.failures = record.failures
            task.checkpoint = record.checkpoint
            task.lent_to = record.lent_to
            task.loans = record.loans
            if record.done:
                task.done = True
                entry.open_tasks[key] -= 1
            elif record.worker:
                task.worker = record.worker
                task.phase = model.Phase.ADOPTED
                entry.active += 1
                active.append(task)
        if entry.final and not active:
            self.open_jobs.pop(entry.job.id, None)
        return active

    def drop(self, job: str) -> None:
        """Removes a job whose retention has ended."""
        self.jobs.pop(job, None)
        self.open_jobs.pop(job, None)
        self.dirty.discard(job)
        self._dropped[job] = None
        if len(self._dropped) > MAX_DROPPED:
            del self._dropped[next(iter(self._dropped))]

    def task(self, key: model.TaskKey) -> model.Task | None:
        """Returns a task, or None if it does not exist."""
        entry = self.jobs.get(key.job)
        if entry is None or key.step >= len(entry.job.steps):
            return None
        tasks = entry.group(model.GroupKey(*key[:3]))
        return tasks[key.index] if key.index < len(tasks) else None

    def step(self, key: model.TaskKey | model.GroupKey) -> workflow_pb2.Step:
        """Returns the step of a task."""
        return self.jobs[key.job].job.steps[key.step]

    def start(
        self, task: model.Task, worker: str, run: int, now_s: float
    ) -> None:
        """Records the start of a run."""
        entry = self.jobs[task.key.job]
        task.run = run
        task.worker = worker
        task.phase = model.Phase.STARTING
        task.phase_since_s = now_s
        task.progress = 0
        task.stalled_since_s = 0.0
        entry.active += 1
        self.dirty.add(task.key.job)

    def mark_running(self, task: model.Task) -> None:
        """Marks the task's job as running: a worker has begun a run."""
        entry = self.jobs[task.key.job]
        if entry.state == workflow_pb2.JOB_QUEUED:
            entry.state = workflow_pb2.JOB_RUNNING
            self.dirty.add(task.key.job)

    def end(
        self, task: model.Task, end: model.RunEnd, checkpoint: str, now_ms: int
    ) -> None:
        """Records the end of a task's active run; may end its job."""
        entry = self.jobs[task.key.job]
        step = entry.job.steps[task.key.step]
        task.worker = ""
        entry.active -= 1
        if checkpoint:
            task.checkpoint = checkpoint
        self.dirty.add(task.key.job)
        if end is model.RunEnd.DONE and not step.long_running:
            self._mark_done(entry, task)
        elif end is model.RunEnd.FAILED and not step.long_running:
            task.failures += 1
            if task.failures >= entry.job.policy.max_attempts:
                self._finish(entry, workflow_pb2.JOB_FAILED, now_ms)
        if not entry.final and entry.all_done():
            self._finish(entry, workflow_pb2.JOB_COMPLETED, now_ms)
        if entry.final and not entry.active:
            self.open_jobs.pop(entry.job.id, None)

    def cancel(self, job: str, now_ms: int) -> bool:
        """Cancels a job; returns whether that changed its state."""
        entry = self.jobs.get(job)
        if entry is None:
            self._cancelled_elsewhere[job] = None
            if len(self._cancelled_elsewhere) > MAX_CANCELLED_ELSEWHERE:
                oldest = next(iter(self._cancelled_elsewhere))
                del self._cancelled_elsewhere[oldest]
            return False
        # Set for ended jobs too, so that the cancel row is removed with them.
        entry.cancelled = True
        if entry.final:
            return False
        self._finish(entry, workflow_pb2.JOB_CANCELLED, now_ms)
        if not entry.active:
            self.open_jobs.pop(job, None)
        return True

    def progress(self, job: str) -> workflow_pb2.Progress:
        """Returns the record of a job's current state."""
        entry = self.jobs[job]
        message = workflow_pb2.Progress(
            state=entry.state, ended_ms=entry.ended_ms
        )
        for tasks in entry.groups.values():
            for task in tasks:
                # Of an ended job, only tasks with an active run are kept.
                touched = task.run or task.loans
                if touched and (task.worker or not entry.final):
                    message.tasks.append(_record(task))
        return message

    def waiting_by_route(self) -> dict[str, int]:
        """Counts the queued jobs of each route."""
        counts: dict[str, int] = {}
        for entry in self.open_jobs.values():
            if entry.home and entry.state == workflow_pb2.JOB_QUEUED:
                counts[entry.job.route] = counts.get(entry.job.route, 0) + 1
        return counts

    def backlog_core_ms(self) -> int:
        """Returns the declared work of unfinished finite steps."""
        total = 0
        for entry in self.open_jobs.values():
            if entry.final or not entry.home:
                continue
            for number, step in enumerate(entry.job.steps):
                if step.long_running:
                    continue
                key = model.GroupKey(entry.job.id, 0, number)
                count = entry.open_tasks.get(key, step.count)
                total += count * step.cpu_millicores * step.estimate_ms // 1000
        return total

    def waiting_long_running(self, now_ms: int) -> list[model.Task]:
        """Returns the ready long-running tasks that wait.

        Gangs are left out: their tasks are not lent one by one.
        """
        waiting = []
        for entry in self.open_jobs.values():
            if entry.final or not any(s.long_running for s in entry.job.steps):
                continue
            for group in entry.ready_groups(now_ms):
                step = entry.job.steps[group.step]
                if step.long_running and not step.gang:
                    waiting += [t for t in entry.group(group) if t.pending]
        return waiting

    def waiting_long_running_millicores(self, now_ms: int) -> int:
        """Returns the processor time that waiting long-running tasks need."""
        return sum(
            self.step(task.key).cpu_millicores
            for task in self.waiting_long_running(now_ms)
        )

    def _mark_done(self, entry: JobEntry, task: model.Task) -> None:
        step = entry.job.steps[task.key.step]
        key = model.GroupKey(*task.key[:3])
        # The end of one member ends the whole gang.
        tasks = entry.group(key) if step.gang else [task]
        for member in tasks:
            if not member.done:
                member.done = True
                entry.open_tasks[key] -= 1

    def _finish(self, entry: JobEntry, state: int, now_ms: int) -> None:
        entry.state = state
        entry.ended_ms = now_ms
        self.dirty.add(entry.job.id)


def _record(task: model.Task) -> workflow_pb2.TaskRecord:
    return workflow_pb2.TaskRecord(
        repetition=task.key.repetition,
        step=task.key.step,
        index=task.key.index,
        run=task.run,
        worker=task.worker,
        done=task.done,
        failures=task.failures,
        checkpoint="" if task.done else task.checkpoint,
        lent_to=task.lent_to,
        loans=task.loans,
    )
