"""Finite tasks that go before long-running ones.

Made for a service whose long-running tasks wait because workers have left:
they stay for minutes, so that they would take each gap, and short tasks of the
same priority would not run at all until some of them end.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wisterialug_core.workflow import urgency

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from wisterialug_core.workflow import job_table, model, worker_table

# Part of the processors up to which finite tasks go first. It bounds what
# long-running tasks lose in a burst of finite ones.
FIRST_SHARE = 0.2


def select(
    queue: Iterable[tuple[model.GroupKey, list[model.Task]]],
    jobs: job_table.JobTable,
    workers: list[worker_table.Worker],
    now_ms: int,
) -> Iterator[tuple[model.GroupKey, list[model.Task]]]:
    """Yields the waiting tasks that go before long-running ones.

    These are tasks of jobs that are of use still, with at least the priority of
    the long-running tasks that wait. To let them wait would save nothing: they
    have to run at some time.

    Args:
      queue: Waiting tasks by group, the most urgent first.
      jobs: Their jobs.
      workers: The workers that may get tasks.
      now_ms: Unix time.
    """
    queue = list(queue)
    lowest_priority = min(
        (
            jobs.jobs[group.job].job.policy.priority
            for group, _ in queue
            if jobs.step(group).long_running
        ),
        default=math.inf,
    )
    room_millicores = _room_millicores(workers)
    for group, waiting in queue:
        entry = jobs.jobs[group.job]
        step = jobs.step(group)
        if (
            step.long_running
            or step.fills
            or step.gang
            or entry.job.policy.priority > lowest_priority
        ):
            continue
        if urgency.order(entry, group, now_ms)[0] is urgency.Urgency.TOO_LATE:
            return
        count = room_millicores // max(1, step.cpu_millicores)
        if count <= 0:
            return
        yield group, waiting[:count]
        room_millicores -= len(waiting[:count]) * step.cpu_millicores


def _room_millicores(workers: list[worker_table.Worker]) -> int:
    """Returns how much finite tasks may use beside those that run now."""
    capacity = sum(w.report.capacity.cpu_millicores for w in workers)
    running = sum(
        w.reserved.cpu_millicores - w.long_running_reserved.cpu_millicores
        for w in workers
    )
    return int(FIRST_SHARE * capacity) - running
