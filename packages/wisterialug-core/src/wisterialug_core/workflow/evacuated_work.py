"""Work that waits because a data centre is out of service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.workflow import job_table, worker_table

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import model


def held_back(
    queue: Iterable[tuple[model.GroupKey, list[model.Task]]],
    jobs: job_table.JobTable,
    workers: worker_table.WorkerTable,
) -> list[model.Task]:
    """Returns the waiting tasks that only evacuated workers could ever run.

    Other tasks wait for room, which falls free when runs end.
    """
    listed = [w for w in workers.workers.values() if w.listed_as_ready]
    evacuated = [w for w in listed if w.evacuated]
    if not evacuated:
        return []
    others = [w for w in listed if not w.evacuated]
    tasks = []
    for group, waiting in queue:
        entry = jobs.jobs[group.job]
        step = jobs.step(group)
        if not _could_run(
            step, worker_table.eligible_workers(entry, step, others)
        ) and _could_run(
            step, worker_table.eligible_workers(entry, step, evacuated)
        ):
            tasks += waiting
    return tasks


def _could_run(
    step: workflow_pb2.Step, workers: Iterable[worker_table.Worker]
) -> bool:
    """Returns whether a task fits on an empty worker."""
    need = job_table.reserved_amount(step)
    return any(need.fits(worker.report.capacity) for worker in workers)
