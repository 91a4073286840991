"""Placements of tasks on workers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialug_core.workflow import job_table, model, worker_table


@dataclasses.dataclass(frozen=True)
class Placement:
    """A task to start on a worker."""

    task: model.Task
    worker: worker_table.Worker
    run: int


def reserve(
    task: model.Task,
    worker: worker_table.Worker,
    run: int,
    jobs: job_table.JobTable,
    workers: worker_table.WorkerTable,
    now_s: float,
) -> Placement:
    """Reserves room for a task's next run and returns its placement."""
    jobs.start(task, worker.report.id, run, now_s)
    workers.reserve(task, jobs.step(task.key))
    return Placement(task, worker, run)
