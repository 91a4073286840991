"""Expected times at which workers have room for further tasks."""

from __future__ import annotations

import bisect
import collections
import math
from typing import TYPE_CHECKING, NamedTuple

from wisterialug_core.workflow import job_table, model

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from wisterialug_core.decisions import resources
    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import worker_table

# From the order to stop a run until its room is free.
STOP_S = 0.4
# Waiting tasks that may claim room in one round, for each rack; bounds its
# duration.
MAX_CLAIMS = 100


class _Claim(NamedTuple):
    """Room that a waiting task is to get.

    Attributes:
      begin_s: When it is free, in seconds from now.
      run_s: How long the task takes then.
    """

    group: model.GroupKey
    need: resources.Amount
    begin_s: float
    run_s: float


class _Room:
    """Free resources of one worker over time.

    Attributes:
      changes: The worker's number of changes when this was worked out.
      claims: What waiting tasks have claimed.
    """

    def __init__(
        self,
        worker: worker_table.Worker,
        events: Iterable[tuple[float, resources.Amount]],
        claims: Iterable[_Claim],
    ) -> None:
        self.worker = worker
        self.changes = worker.changes
        self.claims: list[_Claim] = []
        # Free now, less all claims; the rest by time.
        self._free = worker.free()
        self._events = sorted(events)
        # What was worked out since the latest claim.
        self._earliest_s: dict[resources.Amount, float] = {}
        for claim in claims:
            self.add(claim)

    def earliest_s(self, need: resources.Amount) -> float:
        """Returns when an amount fits; infinite if that is not foreseen."""
        when_s = self._earliest_s.get(need)
        if when_s is None:
            when_s = self._find_earliest_s(need)
            self._earliest_s[need] = when_s
        return when_s

    def _find_earliest_s(self, need: resources.Amount) -> float:
        free = self._free
        if need.fits(free):
            return 0.0
        for when_s, amount in self._events:
            free = free.plus(amount)
            if need.fits(free):
                return when_s
        return math.inf

    def is_at_limit(
        self, group: model.GroupKey, step: workflow_pb2.Step
    ) -> bool:
        """Returns whether a group may have no more tasks here."""
        if not step.max_per_worker:
            return False
        claimed = sum(claim.group == group for claim in self.claims)
        running = self.worker.step_counts.get(group, 0)
        return running + claimed >= step.max_per_worker

    def add(self, claim: _Claim) -> None:
        """Sets room aside."""
        self.claims.append(claim)
        self._earliest_s.clear()
        self._free = self._free.minus(claim.need)
        bisect.insort(self._events, (claim.begin_s + claim.run_s, claim.need))


class RoomForecast:
    """When the workers of one round have room, by the runs there.

    It answers a rack that many tasks want at once: each claims its place in
    turn, so that the next one sees the queue before it.
    """

    def __init__(
        self,
        jobs: job_table.JobTable,
        workers: worker_table.WorkerTable,
        slowdown: float,
        now_s: float,
    ) -> None:
        self._jobs = jobs
        self._workers = workers
        self._slowdown = slowdown
        self._now_s = now_s
        self._rooms: dict[str, _Room] = {}
        # Places looked for with success, by rack.
        self._claims: collections.Counter[str] = collections.Counter()

    def claim(
        self,
        step: workflow_pb2.Step,
        group: model.GroupKey,
        workers: Iterable[worker_table.Worker],
        within_s: float,
    ) -> float:
        """Claims the place that is free first for one task.

        Args:
          step: The task's step.
          group: The task's group.
          workers: Workers of one rack.
          within_s: A place that is not free before this is not claimed.

        Returns:
          Seconds until the place is free; infinite if none was claimed.
        """
        room, when_s = self._first_free(step, group, workers, within_s)
        if room is None:
            return math.inf
        room.add(
            _Claim(
                group,
                job_table.reserved_amount(step),
                when_s,
                step.estimate_ms / 1000,
            )
        )
        return when_s

    def claim_all(
        self,
        step: workflow_pb2.Step,
        group: model.GroupKey,
        workers: Iterable[worker_table.Worker],
        within_s: float,
    ) -> float:
        """Claims places for all tasks of a gang at once, or none.

        Args:
          step: The gang's step.
          group: The gang.
          workers: Workers of one rack.
          within_s: Places that are not free before this are not claimed.

        Returns:
          Seconds until all are free; infinite if none were claimed.
        """
        workers = list(workers)
        before = {w.report.id: list(self._room(w).claims) for w in workers}
        need = job_table.reserved_amount(step)
        chosen: list[worker_table.Worker] = []
        latest_s = 0.0
        while len(chosen) < step.count:
            room, when_s = self._first_free(step, group, workers, within_s)
            if room is None:
                latest_s = math.inf
                break
            latest_s = max(latest_s, when_s)
            chosen.append(room.worker)
            # The members run together: none gets the place of another.
            room.add(_Claim(group, need, when_s, math.inf))
        for worker in workers:
            self._build(worker, before[worker.report.id])
        if latest_s < math.inf:
            for worker in chosen:
                self._room(worker).add(
                    _Claim(group, need, latest_s, step.estimate_ms / 1000)
                )
        return latest_s

    def _first_free(
        self,
        step: workflow_pb2.Step,
        group: model.GroupKey,
        workers: Iterable[worker_table.Worker],
        within_s: float,
    ) -> tuple[_Room | None, float]:
        need = job_table.reserved_amount(step)
        best, best_s = None, within_s
        for worker in workers:
            if self._claims[worker.rack] >= MAX_CLAIMS:
                break
            room = self._room(worker)
            if room.is_at_limit(group, step):
                continue
            when_s = room.earliest_s(need)
            if when_s < best_s:
                best, best_s = room, when_s
                if not when_s:
                    break
        if best is not None:
            self._claims[best.worker.rack] += 1
        return best, best_s

    def _room(self, worker: worker_table.Worker) -> _Room:
        room = self._rooms.get(worker.report.id)
        if room is None:
            room = self._build(worker, ())
        elif room.changes != worker.changes:
            room = self._build(worker, room.claims)
        return room

    def _build(
        self, worker: worker_table.Worker, claims: Iterable[_Claim]
    ) -> _Room:
        events = (event for key in worker.runs for event in self._release(key))
        room = _Room(worker, events, claims)
        self._rooms[worker.report.id] = room
        return room

    def _release(
        self, key: model.TaskKey
    ) -> Iterator[tuple[float, resources.Amount]]:
        """Yields when a run leaves its room, if that is foreseen."""
        task = self._jobs.task(key)
        if task is None:
            return
        step = self._jobs.step(key)
        entry = self._jobs.jobs[key.job]
        amount = job_table.reserved_amount(step)
        if task.phase is model.Phase.STOPPING or entry.final:
            yield STOP_S, amount
        elif not (step.long_running or step.fills):
            declared_s = step.estimate_ms / 1000
            if self._is_slowed(task, step):
                declared_s *= self._slowdown
            yield task.track.left_s(declared_s, self._now_s), amount

    def _is_slowed(self, task: model.Task, step: workflow_pb2.Step) -> bool:
        """Returns whether a run is away from its data or its gang."""
        rack = self._rack(task)
        if step.data_rack:
            return rack != step.data_rack
        if not step.same_rack:
            return False
        entry = self._jobs.jobs[task.key.job]
        return any(
            member.active and self._rack(member) != rack
            for member in entry.group(task.group)
        )

    def _rack(self, task: model.Task) -> str:
        worker = self._workers.workers.get(task.worker)
        return worker.rack if worker is not None else ""
