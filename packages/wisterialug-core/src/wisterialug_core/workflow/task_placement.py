"""Placements of tasks on workers, one by one or as a gang."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from wisterialug_core.workflow import job_table, model, worker_rating

if TYPE_CHECKING:
    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import worker_table


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


def place_gang(
    tasks: list[model.Task],
    step: workflow_pb2.Step,
    candidates: list[worker_table.Worker],
    jobs: job_table.JobTable,
    workers: worker_table.WorkerTable,
    fill_rooms: worker_rating.FillRooms,
) -> list[Placement]:
    """Places all members of a gang, or none."""
    if any(t.active for t in tasks):
        return []
    group = model.GroupKey(*tasks[0].key[:3])
    racks = {w.rack for w in candidates}
    pools = [[w for w in candidates if w.rack == rack] for rack in racks]
    pools.sort(key=lambda pool: -sum(w.free().cpu_millicores for w in pool))
    run = max(t.run for t in tasks) + 1
    for pool in pools if step.same_rack else [candidates]:
        placements: list[Placement] = []
        queue = worker_rating.Candidates(step, group, pool, fill_rooms)
        for task in tasks:
            worker = queue.best(task)
            if worker is None:
                break
            placements.append(
                reserve(task, worker, run, jobs, workers, task.phase_since_s)
            )
            queue.update(worker)
        if len(placements) == len(tasks):
            return placements
        for placement in placements:
            task = placement.task
            workers.release(task, task.worker, step)
            jobs.jobs[task.key.job].active -= 1
            task.worker = ""
            task.run = run - 1
    return []
