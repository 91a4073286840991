"""One job and the state of its tasks."""

from __future__ import annotations

import bisect
import collections
import dataclasses
from typing import TYPE_CHECKING, NamedTuple

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import model, record_pages, stragglers

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


# `lent_to` of the tasks of a borrowed job that its home shard has not lent.
HOME = "home"

FINAL_STATES = frozenset(
    {
        workflow_pb2.JOB_COMPLETED,
        workflow_pb2.JOB_FAILED,
        workflow_pb2.JOB_CANCELLED,
    }
)


def record_of(task: model.Task) -> workflow_pb2.TaskRecord:
    """Returns the stored record of a task."""
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
        crashes=task.crash_evidence.crashes,
        unshared_crashes=task.crash_evidence.unshared_crashes,
        outlived_start=task.active and task.crash_evidence.outlived_start,
        open_losses=task.crash_evidence.open_losses,
        last_run_end_ms=0 if task.done else task.last_run_end_ms,
    )


class GroupTimes(NamedTuple):
    """What decides when a group should start, whatever the time is now.

    Attributes:
      task_core_ms: Declared work of one of its tasks.
      later_core_ms: Declared work of the steps after it.
      latest_ms: Latest start at which its job can be on time, in Unix ms; the
        job's arrival for a long-running step.
      useful_ms: Latest start at which the job is of use.
    """

    long_running: bool
    priority: int
    task_core_ms: int
    later_core_ms: int
    latest_ms: float
    useful_ms: float


@dataclasses.dataclass(slots=True)
class JobTimes:
    """What `urgency` has worked out of a job; it is asked for in each round.

    Attributes:
      groups: Times by group.
      objective_ms: Time in which the job is expected to be done.
      later_core_ms: Declared work of the steps after each step.
      remaining_ms: By repetition and step, the declared time from a step's
        start to the job's end; None where that is out of date.
      ended: Groups that have ended, and on which times may still depend.
    """

    groups: dict[model.GroupKey, GroupTimes] = dataclasses.field(
        default_factory=dict
    )
    objective_ms: float | None = None
    later_core_ms: list[int] | None = None
    remaining_ms: dict[int, list[float | None]] = dataclasses.field(
        default_factory=dict
    )
    ended: list[model.GroupKey] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, eq=False)
class JobEntry:
    """One job and its tasks.

    Attributes:
      home: The job belongs to this shard; otherwise tasks are borrowed.
      cancelled: The caller has cancelled the job.
      groups: Tasks by repetition and step, created on first use.
      open_tasks: Number of tasks of a group that are not done.
      active: Number of active runs.
      lenders: Shards that have lent tasks of a borrowed job.
      ended_ms: When the job ended, or a borrowed one had nothing left to run.
      pages: Where the records of its tasks are stored.
      times: What `urgency` has worked out of it.
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
    lenders: set[str] = dataclasses.field(default_factory=set)
    pages: record_pages.TaskPages = dataclasses.field(init=False)
    times: JobTimes = dataclasses.field(default_factory=JobTimes)
    # Times of finished tasks by group, until the group ends.
    step_times: dict[model.GroupKey, stragglers.StepTimes] = dataclasses.field(
        default_factory=dict
    )
    # The store has rejected its record; no run of it can start.
    unrecorded: bool = False
    # Ready groups of a job without repetitions, until the next step ends.
    _ready: tuple[model.GroupKey, ...] | None = dataclasses.field(
        default=None, init=False
    )
    _ended_groups: int = dataclasses.field(default=0, init=False)
    # Repetitions of which a group has been created, with the number of their
    # steps that are not done.
    _begun: dict[int, int] = dataclasses.field(default_factory=dict, init=False)

    def __post_init__(self) -> None:
        self.pages = record_pages.TaskPages(self.job)

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

    def has_group(self, repetition: int, step: int) -> bool:
        """Returns whether the job has a step, and runs it this often."""
        return 0 <= repetition < self.repetitions and 0 <= step < len(
            self.job.steps
        )

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
            self._begun.setdefault(key.repetition, len(self.job.steps))
            if not count:
                self._note_step_end(key)
        return tasks

    def startable_tasks(
        self, key: model.GroupKey, now_s: float
    ) -> list[model.Task]:
        """Returns the tasks of a group that may start now."""
        if self.unrecorded:
            return []
        waiting = [
            t for t in self.group(key) if t.pending and t.not_before_s <= now_s
        ]
        # A backlog is looked through many times a second, and few tasks in it
        # have open losses.
        if not any(t.crash_evidence.open_losses for t in waiting):
            return waiting
        startable = [t for t in waiting if t.may_start]
        if self.job.steps[key.step].gang and len(startable) < len(waiting):
            # A gang starts as a whole.
            return []
        return startable

    def note_done(self, key: model.GroupKey) -> None:
        """Notes that one more task of a group is done."""
        self.open_tasks[key] -= 1
        if not self.open_tasks[key]:
            self.step_times.pop(key, None)
            self._note_step_end(key)

    def _note_step_end(self, key: model.GroupKey) -> None:
        self._ended_groups += 1
        self._begun[key.repetition] -= 1
        self._ready = None
        if self.times.remaining_ms:
            self.times.ended.append(key)

    def step_done(self, repetition: int, step: int) -> bool:
        """Returns whether all tasks of a step are done."""
        key = model.GroupKey(self.job.id, repetition, step)
        return key in self.groups and self.open_tasks[key] == 0

    def ready_groups(
        self, now_ms: int, lookahead_ms: int = 0
    ) -> Iterable[model.GroupKey]:
        """Returns the unfinished groups that are due and not blocked."""
        if self.job.repeats:
            return self._find_ready_groups(now_ms + lookahead_ms)
        if self._ready is None:
            self._ready = tuple(self._find_ready_groups(now_ms))
        return self._ready

    def _find_ready_groups(self, until_ms: int) -> Iterator[model.GroupKey]:
        for repetition in range(self.repetitions):
            if self.due_ms(repetition) > until_ms:
                return
            yield from self._ready_steps(repetition)

    def _ready_steps(self, repetition: int) -> Iterator[model.GroupKey]:
        for number, step in enumerate(self.job.steps):
            if self.step_done(repetition, number):
                continue
            # Borrowed tasks were ready when they were lent.
            if not self.home or all(
                self.step_done(repetition, a) for a in step.after
            ):
                yield model.GroupKey(self.job.id, repetition, number)

    def ready_begun_groups(self, now_ms: int) -> list[model.GroupKey]:
        """Returns the ready groups of repetitions that have begun."""
        return [
            group
            for repetition, left in sorted(self._begun.items())
            if left and self.due_ms(repetition) <= now_ms
            for group in self._ready_steps(repetition)
        ]

    def repetitions_not_begun(self, now_ms: int) -> list[int]:
        """Returns the repetitions that are due and of which no group exists."""
        due = range(
            bisect.bisect_right(
                range(self.repetitions), now_ms, key=self.due_ms
            )
        )
        return [r for r in due if r not in self._begun]

    def has_open_tasks(self) -> bool:
        """Returns whether this shard runs a task or is to start one."""
        return bool(self.active) or any(
            task.pending for tasks in self.groups.values() for task in tasks
        )

    def progress_pages(self) -> dict[int, workflow_pb2.Progress]:
        """Returns the record of the job's current state, by page.

        The first page is always there, others if they hold any task.
        """
        pages: dict[int, workflow_pb2.Progress] = collections.defaultdict(
            workflow_pb2.Progress
        )
        pages[0] = workflow_pb2.Progress(
            state=self.state, ended_ms=self.ended_ms
        )
        for tasks in self.groups.values():
            for task in tasks:
                # Of an ended job, only tasks that may run, here or in another
                # shard, are kept; of a borrowed one all, as its shard may not
                # have read their results.
                touched = task.run or task.loans
                may_run = task.worker or task.lent_to
                if touched and (may_run or not (self.home and self.final)):
                    page = pages[self.pages.of(task.key)]
                    page.tasks.append(record_of(task))
        return dict(pages)

    def all_done(self) -> bool:
        """Returns whether each task of each repetition is done."""
        return self._ended_groups == self.repetitions * len(self.job.steps)
