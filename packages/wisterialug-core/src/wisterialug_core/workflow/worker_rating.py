"""Rates workers for the tasks of one group."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from wisterialug_core.workflow import fill_interference, job_table

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import model, worker_table


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
        interference: fill_interference.InterferenceModel,
        *,
        throttled: bool = False,
    ) -> None:
        self._step = step
        self._group = group
        self._need = job_table.reserved_amount(step)
        self._interference = interference
        self._throttled = throttled
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
        """
        if not self._heap:
            return None
        if task is not None and task.failures:
            options = [
                item
                for item in self._heap
                if item[2].report.id not in task.failed_on
                and not item[2].health.suspect
            ]
            if options:
                return min(options)[2]
        return self._heap[0][2]

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
        # Without samples of each serving image, interference is unknown.
        if not self._throttled and worker.has_unsampled_serving():
            return None
        room = worker.fill_room_millicores()
        if not self._throttled and room < step.cpu_millicores:
            return None
        pace = self._interference.feasible_pace(
            worker.samples,
            worker.fill_shares,
            step.image,
            worker.cpu_share(step),
        )
        if not self._throttled and pace < fill_interference.MIN_START_PACE:
            return None
        return _fill_score(step, worker, pace)


def _fill_score(
    step: workflow_pb2.Step, worker: worker_table.Worker, pace: float
) -> tuple[bool, float, bool, int]:
    """Rates a worker for fill work; the lowest is best.

    Workers without serving tasks are left to fill tasks that interfere.
    """
    remote = bool(step.data_rack) and step.data_rack != worker.rack
    return remote, -pace, not worker.serving, -worker.fill_room_millicores()


def _score(
    step: workflow_pb2.Step, worker: worker_table.Worker
) -> tuple[bool, int, int]:
    """Rates a worker for a task; the lowest is best.

    Serving tasks share workers, so that the others are left to fill tasks that
    would interfere with them.
    """
    remote = bool(step.data_rack) and step.data_rack != worker.rack
    left = worker.free().cpu_millicores - step.cpu_millicores
    if step.long_running:
        # Workers with a single serving image suit more fill images.
        others = sum(worker.serving.values()) - worker.serving[step.image]
        return remote, others, left
    return remote, 0, left - worker.fill_millicores
