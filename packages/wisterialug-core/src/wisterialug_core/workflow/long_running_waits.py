"""What keeps long-running tasks waiting."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from wisterialug_core.workflow import job_table, worker_table

if TYPE_CHECKING:
    from wisterialug_core.workflow import model


@dataclasses.dataclass(frozen=True)
class Room:
    """Workers with room for a task, whether they may get it or not.

    Attributes:
      open: Usable workers whose room is open to it.
      kept: Usable workers whose room is kept for other tasks.
      limited: Usable workers with as many tasks of its step as are allowed.
      unusable: Workers that are listed as ready, and get no new runs.
      free_millicores: What is free on the usable workers together.
    """

    open: int = 0
    kept: int = 0
    limited: int = 0
    unusable: int = 0
    free_millicores: int = 0


@dataclasses.dataclass(frozen=True)
class Waits:
    """The long-running tasks of a shard that wait.

    Attributes:
      longest: The one that has waited for the longest.
      waited_s: For how long.
      waiting: How many wait.
      resting: How many of these leave their room to short tasks.
    """

    longest: model.Task
    waited_s: float
    waiting: int
    resting: int


def waits(jobs: job_table.JobTable, now_s: float, now_ms: int) -> Waits | None:
    """Returns the waits of long-running tasks; None if there are none."""
    tasks = jobs.waiting_long_running(now_ms)
    if not tasks:
        return None
    since_ms, longest = min(
        (
            (t.last_run_end_ms or jobs.jobs[t.key.job].job.accepted_ms, t)
            for t in tasks
        ),
        key=lambda item: item[0],
    )
    return Waits(
        longest,
        (now_ms - since_ms) / 1000,
        len(tasks),
        sum(task.not_before_s > now_s for task in tasks),
    )


def room(
    jobs: job_table.JobTable,
    workers: worker_table.WorkerTable,
    task: model.Task,
    now_s: float,
) -> Room:
    """Returns the room for a task."""
    entry = jobs.jobs[task.key.job]
    step = entry.job.steps[task.key.step]
    need = job_table.reserved_amount(step)
    ready = [w for w in workers.workers.values() if w.listed_as_ready]
    counts = dict.fromkeys(("open", "kept", "limited", "unusable"), 0)
    free_millicores = 0
    for worker in worker_table.eligible_workers(entry, step, ready):
        usable = worker.usable(now_s)
        if usable:
            free_millicores += max(0, worker.free().cpu_millicores)
        if not worker.has_room(need):
            continue
        if not usable:
            counts["unusable"] += 1
        elif (
            step.max_per_worker
            and worker.step_counts.get(task.group, 0) >= step.max_per_worker
        ):
            counts["limited"] += 1
        elif now_s < worker.kept_until_s:
            counts["kept"] += 1
        else:
            counts["open"] += 1
    return Room(**counts, free_millicores=free_millicores)
