"""Rates workers for the tasks of one group."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, NamedTuple

from wisterialug_core.workflow import fill_interference, job_table

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import (
        crash_trials,
        model,
        worker_table,
    )


# Room for a fill run, as a multiple of what it takes up, from which more is no
# better.
AMPLE_ROOM_RATIO = 2.0


class _FillRoom(NamedTuple):
    """What a worker leaves to fill work.

    Attributes:
      changes: The worker's number of changes when this was worked out.
      millicores: Processor time that one more fill run may expect.
      sampled: Whether there is a sample of each serving image.
      servings: What the serving images leave.
    """

    changes: int
    millicores: int
    sampled: bool
    servings: tuple[fill_interference.ServingRoom, ...]


class FillRooms:
    """What workers leave to fill work, for one round.

    The groups of a backlog all ask for it, and it changes with a worker's runs
    only: samples do not change during a round.
    """

    def __init__(
        self, interference: fill_interference.InterferenceModel
    ) -> None:
        self._interference = interference
        self._rooms: dict[str, _FillRoom] = {}

    def of(self, worker: worker_table.Worker) -> _FillRoom:
        """Returns what a worker leaves to fill work now."""
        room = self._rooms.get(worker.report.id)
        if room is None or room.changes != worker.changes:
            room = _FillRoom(
                worker.changes,
                worker.fill_room_millicores(),
                not worker.has_unsampled_serving(),
                self._interference.serving_rooms(
                    worker.samples, worker.fill_shares
                ),
            )
            self._rooms[worker.report.id] = room
        return room

    def ratio(self, room: _FillRoom, image: str, share: float) -> float:
        """Returns how many times the room holds one more fill run."""
        return self._interference.room_ratio(room.servings, image, share)


class Candidates:
    """Workers for tasks of one group, the best first.

    A placement changes one worker's score only, so the others are rated once
    for all tasks of the group.
    """

    def __init__(
        self,
        step: workflow_pb2.Step,
        group: model.GroupKey,
        workers: Iterable[worker_table.Worker],
        fill_rooms: FillRooms,
        *,
        throttled: bool = False,
        trials: crash_trials.Trials | None = None,
    ) -> None:
        self._step = step
        self._group = group
        self._need = job_table.reserved_amount(step)
        self._fill_rooms = fill_rooms
        self._throttled = throttled
        self._trials = trials
        self._has_suspects = trials is not None and trials.has_suspects
        self._heap: list[tuple[tuple, int, worker_table.Worker]] = []
        for number, worker in enumerate(workers):
            score = self._rate(worker)
            if score is not None:
                self._heap.append((score, number, worker))
        heapq.heapify(self._heap)

    def best(
        self, task: model.Task | None = None
    ) -> worker_table.Worker | None:
        """Returns the best worker for a task, or for any of the group.

        Some workers fail all that they start. A task that has failed is tried
        on a worker that has not, if there is one: it has few attempts left.
        Likewise, a task under which a worker has crashed starts apart from
        others, so that another crash shows whether it is the cause.
        """
        if not self._heap:
            return None
        if task is not None and (
            task.failures or task.crash_evidence.suspect or self._has_suspects
        ):
            options = [i for i in self._heap if self._suits(task, i[2])]
            if options:
                return min(options)[2]
        return self._heap[0][2]

    def _suits(self, task: model.Task, worker: worker_table.Worker) -> bool:
        if task.failures and (
            worker.report.id in task.failed_on or worker.health.suspect
        ):
            return False
        return self._trials is None or self._trials.tells_apart(worker, task)

    def update(self, worker: worker_table.Worker) -> None:
        """Rates a worker again after a task was placed there."""
        if self._heap[0][2] is worker:
            _, number, _ = heapq.heappop(self._heap)
        else:
            item = next(item for item in self._heap if item[2] is worker)
            number = item[1]
            self._heap.remove(item)
            heapq.heapify(self._heap)
        score = self._rate(worker)
        if score is not None:
            heapq.heappush(self._heap, (score, number, worker))

    def _rate(self, worker: worker_table.Worker) -> tuple | None:
        """Rates a worker, the lowest best; None if a task does not fit."""
        step = self._step
        if not worker.has_room(self._need):
            return None
        if (
            step.max_per_worker
            and worker.step_counts.get(self._group, 0) >= step.max_per_worker
        ):
            return None
        if not step.fills:
            return _score(step, worker)
        room = self._fill_rooms.of(worker)
        # Without samples of each serving image, interference is unknown.
        if not self._throttled and not room.sampled:
            return None
        if not self._throttled and room.millicores < step.cpu_millicores:
            return None
        ratio = self._fill_rooms.ratio(room, step.image, worker.cpu_share(step))
        if not self._throttled and ratio < fill_interference.MIN_START_PACE:
            return None
        return _fill_score(step, worker, ratio)


def next_to_fit(
    step: workflow_pb2.Step,
    group: model.GroupKey,
    workers: Iterable[worker_table.Worker],
) -> worker_table.Worker | None:
    """Returns the worker on which a long-running task will fit first, if any.

    It is kept from short tasks, which would fill each gap as it opens and
    starve the larger long-running task.
    """
    return max(
        (w for w in workers if w.has_room_after_batch(step, group)),
        key=lambda worker: worker.free().cpu_millicores,
        default=None,
    )


def _cold_load(worker: worker_table.Worker) -> int:
    """Returns the runs that a cold worker would have; 0 for a warm one.

    The workers of a data centre may all be cold when it is taken back, and look
    the emptiest: all that waits would start there at once.
    """
    return len(worker.runs) + 1 if worker.report.cold_ms else 0


def _fill_score(
    step: workflow_pb2.Step, worker: worker_table.Worker, ratio: float
) -> tuple[bool, bool, float, int, bool, int]:
    """Rates a worker for fill work; the lowest is best.

    Workers without serving tasks are left to fill tasks that interfere. A run
    that just fits would be held as soon as the load rises.
    """
    remote = bool(step.data_rack) and step.data_rack != worker.rack
    room = min(AMPLE_ROOM_RATIO, ratio)
    return (
        worker.health.slow,
        remote,
        -room,
        _cold_load(worker),
        not worker.serving,
        -worker.fill_room_millicores(),
    )


def _score(
    step: workflow_pb2.Step, worker: worker_table.Worker
) -> tuple[bool, bool, int, int, int]:
    """Rates a worker for a task; the lowest is best.

    Serving tasks share workers, so that the others are left to fill tasks that
    would interfere with them.
    """
    remote = bool(step.data_rack) and step.data_rack != worker.rack
    cold_load = _cold_load(worker)
    left = worker.free().cpu_millicores - step.cpu_millicores
    if step.long_running:
        # Workers with a single serving image suit more fill images.
        others = sum(worker.serving.values()) - worker.serving[step.image]
        return worker.health.slow, remote, cold_load, others, left
    return (
        worker.health.slow,
        remote,
        cold_load,
        0,
        left - worker.fill_millicores,
    )
