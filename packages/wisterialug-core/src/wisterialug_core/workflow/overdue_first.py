"""Long-running tasks that go before all others, as they have waited for long.

Made for a service without room: for seconds on end, each gap goes to a short
task or to a long-running one of an older job.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_core.workflow import job_table, model

# The platform lets a long-running task wait for six seconds after a run.
OVERDUE_MS = 5000


def select(
    queue: Iterable[tuple[model.GroupKey, list[model.Task]]],
    jobs: job_table.JobTable,
    now_ms: int,
) -> list[tuple[model.GroupKey, model.Task]]:
    """Returns the overdue tasks with their groups, the longest wait first.

    Tasks that have not run yet wait their turn. Gangs are left out: they start
    as a whole.

    Args:
      queue: Waiting tasks by group.
      jobs: Their jobs.
      now_ms: Unix time.
    """
    overdue = []
    for group, waiting in queue:
        step = jobs.step(group)
        if not step.long_running or step.gang:
            continue
        for task in waiting:
            ended_ms = task.last_run_end_ms
            if ended_ms and now_ms - ended_ms >= OVERDUE_MS:
                overdue.append((ended_ms, group, task))
    overdue.sort(key=lambda item: item[0])
    return [(group, task) for _, group, task in overdue]
