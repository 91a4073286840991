"""Long-running runs that are stopped for short tasks.

Made for a service without room: its long-running tasks stay for minutes, while
short tasks of the same priority have a second. A long-running task that is
stopped waits for the next room; few are, up to the share of the processors
that finite tasks may use first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.workflow import (
    finite_first,
    job_table,
    model,
    urgency,
    waiting_groups,
    worker_table,
)

if TYPE_CHECKING:
    from collections.abc import Container

    from wisterialug_core.decisions import resources
    from wisterialug_core.schema import workflow_pb2

# How long a stopped task leaves its room to short ones: at once, it would take
# it back when the first of them ends, and be stopped for the next. The platform
# lets a long-running task wait for six seconds.
REST_S = 4.0
# Time before a task's latest start at which room is made for it: a stop, the
# report of the end and the start take about as long.
LEAD_MS = 300
# How long the room is kept for tasks that go first; longer than a stop takes.
KEEP_S = 0.6
# Age from which a long-running run is not worth more than a younger one.
MAX_AGE_S = 10.0
# Tasks for which one round makes room; bounds its duration.
MAX_TASKS_PER_ROUND = 16


def select(
    jobs: job_table.JobTable,
    workers: worker_table.WorkerTable,
    now_s: float,
    now_ms: int,
    waits_by_choice: Container[model.TaskKey] = (),
) -> list[model.Task]:
    """Returns the long-running tasks to stop.

    They rest, and their workers' room is kept for short tasks.

    Args:
      jobs: The shard's jobs.
      workers: The shard's workers.
      now_s: Monotonic time.
      now_ms: Unix time.
      waits_by_choice: Tasks that could start now, and need no room.
    """
    usable = [w for w in workers.workers.values() if w.usable(now_s)]
    queue = waiting_groups.pending_groups(jobs, now_s, now_ms)
    due = [
        (group, task)
        for group, waiting in finite_first.select(queue, jobs, usable, now_ms)
        if _is_due(jobs, group, now_ms)
        for task in waiting
        if task.key not in waits_by_choice
    ][:MAX_TASKS_PER_ROUND]
    if not due:
        return []
    rooms = {w.report.id: _Room(w, jobs) for w in usable}
    stopped: list[model.Task] = []
    for group, _ in due:
        entry = jobs.jobs[group.job]
        step = jobs.step(group)
        eligible = worker_table.eligible_workers(entry, step, usable)
        options = []
        for worker in eligible:
            count = worker.step_counts.get(group, 0)
            if step.max_per_worker and count >= step.max_per_worker:
                continue
            room = rooms[worker.report.id]
            victims = room.victims(step, entry.job.policy.priority)
            if victims is not None:
                options.append(
                    (
                        _lost_core_s(victims, jobs, now_s),
                        worker.report.id,
                        victims,
                    )
                )
        if not options:
            continue
        _, worker_id, victims = min(options, key=lambda option: option[:2])
        rooms[worker_id].give(step, victims)
        rooms[worker_id].worker.kept_until_s = now_s + KEEP_S
        for task in victims:
            task.not_before_s = now_s + REST_S
        stopped += victims
    return stopped


def _is_due(
    jobs: job_table.JobTable, group: model.GroupKey, now_ms: int
) -> bool:
    latest_ms = urgency.order(jobs.jobs[group.job], group, now_ms)[-1]
    return latest_ms - now_ms <= LEAD_MS


def _lost_core_s(
    victims: list[model.Task], jobs: job_table.JobTable, now_s: float
) -> float:
    """Returns the work that is lost, in core-seconds.

    Among old runs, the fewest processors: all have long been of use.
    """
    return sum(
        jobs.step(task.key).cpu_millicores
        / 1000
        * min(MAX_AGE_S, now_s - task.phase_since_s)
        for task in victims
    )


class _Room:
    """What a worker has free once all stops so far have ended."""

    def __init__(
        self, worker: worker_table.Worker, jobs: job_table.JobTable
    ) -> None:
        self.worker = worker
        self._jobs = jobs
        self._free = worker.free()
        # Running long-running tasks, the one that has lost least work last.
        self._running: list[model.Task] = []
        for key in worker.runs:
            task = jobs.task(key)
            if task is None or not jobs.step(key).long_running:
                continue
            if jobs.step(key).gang:
                # The whole gang would have to stop.
                continue
            if task.phase is model.Phase.STOPPING:
                self._free = self._free.plus(self._amount(task))
            elif task.phase is model.Phase.RUNNING:
                self._running.append(task)
        self._running.sort(key=lambda task: task.phase_since_s)

    def victims(
        self, step: workflow_pb2.Step, priority: int
    ) -> list[model.Task] | None:
        """Returns the tasks to stop for one task; None if that is no use."""
        need = job_table.reserved_amount(step)
        free = self._free
        chosen: list[model.Task] = []
        for task in reversed(self._running):
            if need.fits(free):
                break
            if self._jobs.jobs[task.key.job].job.policy.priority >= priority:
                chosen.append(task)
                free = free.plus(self._amount(task))
        return chosen if need.fits(free) else None

    def give(self, step: workflow_pb2.Step, victims: list[model.Task]) -> None:
        """Notes that a task gets the room of these victims."""
        for task in victims:
            self._running.remove(task)
            self._free = self._free.plus(self._amount(task))
        self._free = self._free.minus(job_table.reserved_amount(step))

    def _amount(self, task: model.Task) -> resources.Amount:
        return job_table.reserved_amount(self._jobs.step(task.key))
