"""Placement of gangs, whose tasks work only together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.workflow import task_placement, worker_rating

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import (
        job_table,
        model,
        placement_wait,
        worker_table,
    )


def place(
    tasks: list[model.Task],
    candidates: list[worker_table.Worker],
    waits: placement_wait.WaitRound,
    jobs: job_table.JobTable,
    workers: worker_table.WorkerTable,
    fill_rooms: worker_rating.FillRooms,
    now_s: float,
) -> list[task_placement.Placement]:
    """Places all members of a gang, or none.

    It starts where it runs at full speed, and elsewhere if that is sooner done
    than waiting.

    Args:
      tasks: All tasks of the gang.
      candidates: Workers that may run it.
      waits: Decides on the wait for a better place.
      jobs: The shard's jobs.
      workers: The shard's workers.
      fill_rooms: What workers leave to fill work.
      now_s: Monotonic time.
    """
    if any(task.active for task in tasks):
        return []
    step = jobs.step(tasks[0].key)
    may_wait = waits.applies_to(step)
    if may_wait and step.data_rack:
        fast = [[w for w in candidates if w.rack == step.data_rack]]
    elif step.same_rack:
        fast = _racks(candidates)
    else:
        fast = [candidates]
    placed = _place_in_one(tasks, step, fast, jobs, workers, fill_rooms, now_s)
    if placed or not may_wait or waits.gang_waits(tasks, candidates):
        return placed
    slow = _racks(candidates) if step.same_rack else []
    slow.append(candidates)
    return _place_in_one(tasks, step, slow, jobs, workers, fill_rooms, now_s)


def _place_in_one(
    tasks: list[model.Task],
    step: workflow_pb2.Step,
    pools: Iterable[list[worker_table.Worker]],
    jobs: job_table.JobTable,
    workers: worker_table.WorkerTable,
    fill_rooms: worker_rating.FillRooms,
    now_s: float,
) -> list[task_placement.Placement]:
    """Places all members of a gang in one of the pools, or none."""
    group = tasks[0].group
    run = max(t.run for t in tasks) + 1
    for pool in pools:
        placements: list[task_placement.Placement] = []
        queue = worker_rating.Candidates(step, group, pool, fill_rooms)
        for task in tasks:
            worker = queue.best(task)
            if worker is None:
                break
            placements.append(
                task_placement.reserve(task, worker, run, jobs, workers, now_s)
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


def _racks(
    candidates: list[worker_table.Worker],
) -> list[list[worker_table.Worker]]:
    """Returns workers by rack, the rack with most room first."""
    by_rack: dict[str, list[worker_table.Worker]] = {}
    for worker in candidates:
        by_rack.setdefault(worker.rack, []).append(worker)
    return sorted(
        by_rack.values(),
        key=lambda rack: -sum(w.free().cpu_millicores for w in rack),
    )
