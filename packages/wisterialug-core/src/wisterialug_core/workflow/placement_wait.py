"""Decides which tasks wait for a place near their data or their group.

Made for racks that many tasks want at once: a near place that is free soon is
worth waiting for, a long queue for it is not (docs/design/placement-wait.md).
"""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import TYPE_CHECKING, NamedTuple

from wisterialug_core.workflow import (
    job_table,
    model,
    room_forecast,
    run_times,
    urgency,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import task_placement, worker_table

# A wait has to leave a job on time even if it takes this much longer than
# expected.
SLACK_FACTOR = 1.5
# A job with nothing running starts within three seconds where there is room;
# rounds and orders take part of it.
MAX_IDLE_WAIT_S = 2.0
# Gangs for which one round looks for a rack that is free later; bounds its
# duration.
MAX_GANGS = 8


class Outcome(enum.Enum):
    """How the wait of a group of tasks ended."""

    # It started near, sooner than a run elsewhere would have ended.
    NEAR = "near"
    # It started near, but later than that.
    NEAR_LATE = "near_late"
    # The wait no longer paid; it started elsewhere, or may now.
    FAR = "far"
    # Its job ended, or its tasks were lent.
    DROPPED = "dropped"


class Began(NamedTuple):
    """A group has begun to wait.

    Attributes:
      tasks: How many of its tasks wait.
      expected_s: When the first of them is expected to start.
      lost_s: What starting elsewhere would cost each of them.
    """

    group: model.GroupKey
    rack: str
    tasks: int
    expected_s: float
    lost_s: float


class Ended(NamedTuple):
    """A group no longer waits."""

    group: model.GroupKey
    outcome: Outcome
    waited_s: float


@dataclasses.dataclass
class _Wait:
    """The wait of a group.

    Attributes:
      lost_s: What starting elsewhere costs a task, by its declared time.
    """

    since_s: float
    lost_s: float


class Waits:
    """The waits of a shard's tasks, from round to round.

    Attributes:
      slowdown: How many times as long a task takes away from its data, or a
        gang on several racks; nothing waits where it is 1 or less.
      chosen: Tasks that wait though they could start elsewhere now.
      stay: Tasks for which waiting in this shard pays, those included.
      changes: Begun and ended waits since they were last taken.
    """

    def __init__(self, slowdown: float = 1.0) -> None:
        self.slowdown = slowdown
        self.chosen: set[model.TaskKey] = set()
        self.stay: set[model.TaskKey] = set()
        self.changes: list[Began | Ended] = []
        self._open: dict[model.GroupKey, _Wait] = {}

    def applies_to(self, step: workflow_pb2.Step) -> bool:
        """Returns whether tasks of a step may wait for a better place."""
        return (
            self.slowdown > 1
            and bool(step.data_rack or (step.gang and step.same_rack))
            and not (step.long_running or step.fills)
        )

    def release(self) -> None:
        """Lets all tasks go elsewhere, as none can start in this shard."""
        self.chosen = set()
        self.stay = set()

    def is_open(self, group: model.GroupKey) -> bool:
        """Returns whether a group waits."""
        return group in self._open

    def waited_s(self, group: model.GroupKey, now_s: float) -> float:
        """Returns how long a group has waited; 0 if it does not."""
        wait = self._open.get(group)
        return now_s - wait.since_s if wait else 0.0

    def take_changes(self) -> list[Began | Ended]:
        """Returns and forgets the changes so far."""
        changes, self.changes = self.changes, []
        return changes

    def update(
        self,
        begun: dict[model.GroupKey, Began],
        started_near: set[model.GroupKey],
        jobs: job_table.JobTable,
        now_s: float,
    ) -> None:
        """Takes over what a round has decided.

        Args:
          begun: The groups that wait, with what a new wait is for.
          started_near: Groups of which a task was placed near.
          jobs: The shard's jobs.
          now_s: Monotonic time.
        """
        for group in self._open.keys() - begun.keys():
            wait = self._open.pop(group)
            waited_s = now_s - wait.since_s
            outcome = Outcome.FAR
            if group in started_near:
                late = waited_s > wait.lost_s
                outcome = Outcome.NEAR_LATE if late else Outcome.NEAR
            elif not _has_tasks(group, jobs):
                outcome = Outcome.DROPPED
            self.changes.append(Ended(group, outcome, waited_s))
        for group, began in begun.items():
            if group not in self._open:
                self._open[group] = _Wait(now_s, began.lost_s)
                self.changes.append(began)


def _has_tasks(group: model.GroupKey, jobs: job_table.JobTable) -> bool:
    entry = jobs.open_jobs.get(group.job)
    return (
        entry is not None
        and not entry.final
        and any(task.pending or task.active for task in entry.group(group))
    )


class WaitRound:
    """Decisions of one placement round, group by group in its order."""

    def __init__(
        self,
        waits: Waits,
        jobs: job_table.JobTable,
        workers: worker_table.WorkerTable,
        usable: list[worker_table.Worker],
        now_s: float,
        now_ms: int,
    ) -> None:
        self._waits = waits
        self._jobs = jobs
        self._now_s = now_s
        self._now_ms = now_ms
        self._usable = usable
        self._racks: dict[str, list[worker_table.Worker]] | None = None
        self._forecast = room_forecast.RoomForecast(
            jobs, workers, waits.slowdown, now_s
        )
        self._begun: dict[model.GroupKey, Began] = {}
        self._chosen: set[model.TaskKey] = set()
        self._stay: set[model.TaskKey] = set()
        self._gangs = 0

    def applies_to(self, step: workflow_pb2.Step) -> bool:
        """Returns whether tasks of a step may wait for a better place."""
        return self._waits.applies_to(step)

    def on_rack(self, rack: str) -> list[worker_table.Worker]:
        """Returns the usable workers of a rack."""
        if self._racks is None:
            self._racks = {}
            for worker in self._usable:
                self._racks.setdefault(worker.rack, []).append(worker)
        return self._racks.get(rack, [])

    def task_waits(
        self,
        task: model.Task,
        near: list[worker_table.Worker],
        *,
        elsewhere: bool,
    ) -> bool:
        """Decides whether a task for which no near worker has room waits.

        Args:
          task: The task.
          near: Workers near its data that may run it.
          elsewhere: Whether it could start on another worker now.
        """
        if task.key in self._stay:
            # Decided already: groups that go first are looked at twice.
            return True
        group = task.group
        step = self._jobs.step(group)
        limit_s = self._limit_s(group, step)
        if limit_s <= 0:
            return False
        need = job_table.reserved_amount(step)
        # Where there is room, something else speaks against the worker.
        near = [
            worker
            for worker in near
            if not worker.has_room(need)
            and worker.report.id not in task.failed_on
        ]
        when_s = self._forecast.claim(step, group, near, limit_s)
        if when_s == math.inf:
            return False
        self._stay.add(task.key)
        if elsewhere:
            self._chosen.add(task.key)
        if elsewhere or self._waits.is_open(group):
            self._note(group, 1, step, when_s, step.data_rack)
        return True

    def gang_waits(
        self,
        tasks: list[model.Task],
        candidates: Iterable[worker_table.Worker],
    ) -> bool:
        """Decides whether a gang that fits on no rack waits for one.

        Args:
          tasks: All tasks of the gang.
          candidates: Workers that may run it.
        """
        group = tasks[0].group
        step = self._jobs.step(group)
        limit_s = self._limit_s(group, step)
        self._gangs += 1
        if limit_s <= 0 or self._gangs > MAX_GANGS:
            return False
        racks: dict[str, list[worker_table.Worker]] = {}
        for worker in candidates:
            if step.data_rack in {"", worker.rack}:
                racks.setdefault(worker.rack, []).append(worker)
        for rack, workers in racks.items():
            when_s = self._forecast.claim_all(step, group, workers, limit_s)
            if 0 < when_s < math.inf:
                self._chosen.update(task.key for task in tasks)
                self._note(group, len(tasks), step, when_s, rack)
                return True
        return False

    def _limit_s(self, group: model.GroupKey, step: workflow_pb2.Step) -> float:
        """Returns how long a wait may be expected to take; 0 for none."""
        lost_s = self._lost_s(step)
        waited_s = self._waits.waited_s(group, self._now_s)
        if waited_s >= lost_s:
            return 0.0
        limit_s = lost_s * run_times.SHORT_RUN_RATIO
        entry = self._jobs.jobs[group.job]
        if not entry.active:
            limit_s = min(limit_s, MAX_IDLE_WAIT_S - waited_s)
        latest_ms = urgency.group_times(entry, group).latest_ms
        slack_s = (latest_ms - self._now_ms) / 1000
        if slack_s >= lost_s:
            # On time elsewhere, so that it must not be late for the wait.
            limit_s = min(limit_s, slack_s / SLACK_FACTOR)
        return limit_s

    def _lost_s(self, step: workflow_pb2.Step) -> float:
        """Returns how much longer a task takes elsewhere."""
        return (self._waits.slowdown - 1) * step.estimate_ms / 1000

    def _note(
        self,
        group: model.GroupKey,
        tasks: int,
        step: workflow_pb2.Step,
        when_s: float,
        rack: str,
    ) -> None:
        before = self._begun.get(group)
        self._begun[group] = Began(
            group,
            rack,
            tasks + (before.tasks if before else 0),
            before.expected_s if before else when_s,
            self._lost_s(step),
        )

    def close(self, placements: list[task_placement.Placement]) -> None:
        """Ends the round, in which these tasks were placed."""
        self._waits.chosen = self._chosen
        self._waits.stay = self._stay | self._chosen
        started_near = {
            placement.task.group
            for placement in placements
            if self._is_near(placement, placements)
        }
        self._waits.update(self._begun, started_near, self._jobs, self._now_s)

    def _is_near(
        self,
        placement: task_placement.Placement,
        placements: list[task_placement.Placement],
    ) -> bool:
        step = self._jobs.step(placement.task.key)
        rack = placement.worker.rack
        if not self.applies_to(step):
            return False
        if step.data_rack:
            return rack == step.data_rack
        group = placement.task.group
        return all(
            other.worker.rack == rack
            for other in placements
            if other.task.group == group
        )
