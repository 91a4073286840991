"""The work that a shard has accepted and that newer jobs wait for.

Made for callers who compete for too little room: each VM that accepts jobs has
to know how long a new one would wait.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, NamedTuple

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    finite_first,
    job_table,
    model,
    task_durations,
    urgency,
    worker_table,
)

if TYPE_CHECKING:
    from wisterialug_core.workflow import job_entry


# Work that is reported of a shard, at the most: declared sizes may be absurd, and
# a record has 64 bits for their product.
MAX_CORE_MS = 2**53


class WorkKey(NamedTuple):
    """What decides which work goes first."""

    service: str
    fills: bool
    priority: int
    size_class: int


Work = collections.Counter  # Core milliseconds by WorkKey.


def declared_work(job: workflow_pb2.Job) -> dict[WorkKey, int]:
    """Returns the work of a new job as declared, in core milliseconds."""
    work: Work = collections.Counter()
    size_class = urgency.size_class(job)
    for step in job.steps:
        if not step.long_running:
            key = _key(job, step, size_class)
            task_ms = task_durations.declared_ms(step)
            work[key] += step.count * step.cpu_millicores * task_ms // 1000
    return work


def backlog_core_ms(jobs: job_table.JobTable) -> int:
    """Returns the declared work of a shard's unfinished finite steps."""
    total = 0
    for entry in jobs.open_jobs.values():
        if entry.final or not entry.home:
            continue
        for number, step in enumerate(entry.job.steps):
            if step.long_running:
                continue
            key = model.GroupKey(entry.job.id, 0, number)
            count = entry.open_tasks.get(key, step.count)
            total += count * step.cpu_millicores * step.estimate_ms // 1000
    return min(total, MAX_CORE_MS)


def service_loads(
    jobs: job_table.JobTable,
    workers: worker_table.WorkerTable,
    durations: task_durations.DurationTable,
    now_ms: int,
) -> list[workflow_pb2.ServiceLoad]:
    """Returns a shard's workers and the least work that waits for them.

    Args:
      jobs: Jobs of the shard.
      workers: Its workers.
      durations: What is known of run times.
      now_ms: Unix time.
    """
    loads: dict[str, workflow_pb2.ServiceLoad] = {}
    for worker in workers.workers.values():
        if worker.report.state is not model.WorkerState.ABSENT:
            _add_worker(loads, worker)
    work: Work = collections.Counter()
    for entry in jobs.open_jobs.values():
        if not entry.final and entry.home and not entry.job.repeats:
            _add_job(work, entry, loads, durations, now_ms)
    for key, core_ms in work.items():
        if key.service in loads and core_ms >= 1:
            loads[key.service].ahead.add(
                priority=key.priority,
                size_class=key.size_class,
                fills=key.fills,
                core_ms=int(min(core_ms, MAX_CORE_MS)),
            )
    return list(loads.values())


def fits(step: workflow_pb2.Step, load: workflow_pb2.ServiceLoad) -> bool:
    """Returns whether a worker may be large enough for a task of a step."""
    need = job_table.reserved_amount(step)
    return (
        need.cpu_millicores <= load.largest_cpu_millicores
        and need.memory_mib <= load.largest_memory_mib
        and need.accelerators <= load.largest_accelerators
    )


def _add_worker(
    loads: dict[str, workflow_pb2.ServiceLoad],
    worker: worker_table.Worker,
) -> None:
    report = worker.report
    load = loads.setdefault(
        report.service, workflow_pb2.ServiceLoad(service=report.service)
    )
    capacity = report.capacity
    load.largest_cpu_millicores = max(
        load.largest_cpu_millicores, capacity.cpu_millicores
    )
    load.largest_memory_mib = max(load.largest_memory_mib, capacity.memory_mib)
    load.largest_accelerators = max(
        load.largest_accelerators, capacity.accelerators
    )
    if report.state is model.WorkerState.READY and not worker.gone:
        # A silent worker, or one that a new owner has not asked yet, may have
        # room. Finite tasks go before long-running ones up to this share.
        load.finite_millicores += max(
            int(finite_first.FIRST_SHARE * capacity.cpu_millicores),
            worker.free_after_batch().cpu_millicores,
        )
        load.fill_millicores += max(
            0, worker.fill_room_millicores() + worker.fill_millicores
        )


def _add_job(
    work: Work,
    entry: job_entry.JobEntry,
    loads: dict[str, workflow_pb2.ServiceLoad],
    durations: task_durations.DurationTable,
    now_ms: int,
) -> None:
    """Adds what is left of a job, if it goes before new jobs."""
    job = entry.job
    load = loads.get(job.policy.service)
    if load is None or not _goes_first(entry, now_ms):
        return
    size_class = urgency.size_class(job)
    for number, step in enumerate(job.steps):
        if step.long_running:
            continue
        if not fits(step, load):
            # This step and those after it wait for larger workers.
            return
        group = model.GroupKey(job.id, 0, number)
        count = entry.open_tasks.get(group, step.count)
        if count:
            key = task_durations.key_of(job, number)
            task_ms = durations.least_ms(key, step)
            running = sum(
                task.progress
                for task in entry.groups.get(group, ())
                if task.active and not task.done
            )
            left = max(0.0, count - running / 100)
            work[_key(job, step, size_class)] += (
                left * step.cpu_millicores * task_ms / 1000
            )


def _goes_first(entry: job_entry.JobEntry, now_ms: int) -> bool:
    """Returns whether a job can be on time: others let new jobs go first."""
    return any(
        urgency.order(entry, group, now_ms)[0] is urgency.Urgency.ON_TIME
        for group in entry.ready_groups(now_ms)
        if not entry.job.steps[group.step].long_running
    )


def _key(
    job: workflow_pb2.Job, step: workflow_pb2.Step, size_class: int
) -> WorkKey:
    return WorkKey(
        job.policy.service, step.fills, job.policy.priority, size_class
    )
