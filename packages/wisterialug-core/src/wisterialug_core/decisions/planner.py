"""Placement of waiting tasks on a shard's workers, and preemption."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from wisterialug_core.decisions import placement as placement_lib
from wisterialug_core.decisions import (
    resources,
    task_order,
    task_registry,
    worker_record,
)
from wisterialug_core.schema import work_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialug_core.decisions import colocation, worker_pool


class Planner:
    """Chooses where tasks start and which attempts they preempt."""

    def __init__(
        self,
        tasks: task_registry.TaskRegistry,
        pool: worker_pool.WorkerPool,
        placement: placement_lib.Placement,
        limits_of: Callable[[task_order.Group], task_order.Limits],
        colocation_: colocation.Colocation,
    ) -> None:
        self._tasks = tasks
        self._pool = pool
        self._placement = placement
        self._limits_of = limits_of
        self._colocation = colocation_
        self._wait_reasons: dict[str, str] = {}

    def plan(self, now: float, now_unix_ms: int) -> int:
        """Places waiting tasks; returns how many were placed."""
        order = task_order.JobOrder(
            self._pool.usage(self._tasks),
            self._pool.total_capacity(),
            self._limits_of,
            now_unix_ms,
        )
        free = {
            record.id: record.free()
            for record in self._pool.records.values()
            if record.accepts_starts(now)
        }
        self._wait_reasons.clear()
        heap = [
            (order.key(self._tasks.jobs[job]), job)
            for job, waiting in self._tasks.pending.items()
            if waiting
        ]
        heapq.heapify(heap)
        # Needs that fit on no worker; larger ones do not fit either.
        too_large: list[resources.Amount] = []
        placed = 0
        while heap:
            queued_key, job_id = heapq.heappop(heap)
            job = self._tasks.jobs[job_id]
            key = order.key(job)
            if key > queued_key:
                # A task of its group was placed after its key was computed.
                heapq.heappush(heap, (key, job_id))
                continue
            need = resources.from_message(job.each)
            if any(other.fits(need) for other in too_large):
                count = 0
            else:
                count = self._place_one(job, order, free, now)
                if not count and not any(map(need.fits, free.values())):
                    too_large.append(need)
            placed += count
            if count and self._tasks.pending[job_id]:
                heapq.heappush(heap, (order.key(job), job_id))
            elif not count and job.urgent:
                self._preempt_for(job, now)
        return placed

    def _place_one(
        self,
        job: work_pb2.Job,
        order: task_order.JobOrder,
        free: dict[str, resources.Amount],
        now: float,
    ) -> int:
        """Places one task of a job; returns 0 if none can be placed."""
        need = resources.from_message(job.each)
        if not order.within_quota(job):
            quota = self._limits_of(task_order.group_of(job)).quota
            self._wait_reasons[job.id] = (
                f"quota of team {job.team} in this shard is used up: {quota}"
            )
            return 0
        for name in self._tasks.pending[job.id]:
            task = self._tasks.tasks[name]
            candidates = [
                placement_lib.Candidate(
                    worker,
                    available,
                    self._pool.records[worker].capacity,
                    self._colocation.predict_slowdown(
                        self._pool.records[worker], self._tasks.kind_of, job
                    ),
                )
                for worker, available in free.items()
                if need.fits(available)
                and worker not in task.failed_on
                and self._pool.records[worker].accepts_starts(now)
            ]
            if not candidates:
                continue
            chosen = self._placement.choose(need, candidates, exempt=job.urgent)
            if chosen is None:
                self._wait_reasons[job.id] = (
                    "each worker with room has a service that this kind of"
                    f" work, {job.kind!r}, is predicted to slow too much"
                )
                return 0
            self._start(job, name, chosen.worker)
            free[chosen.worker] = free[chosen.worker].minus(need)
            order.record_placed(job)
            return 1
        return 0

    def _start(self, job: work_pb2.Job, name: str, worker: str) -> None:
        record = self._pool.records[worker]
        task = self._tasks.tasks[name]
        del self._tasks.pending[job.id][name]
        task.attempt += 1
        task.state = work_pb2.TASK_STATE_STARTING
        task.worker = worker
        task.worker_incarnation = record.incarnation
        task.reason = ""
        key = worker_record.AttemptKey(name, task.attempt)
        record.held[key] = worker_record.HeldAttempt(
            key,
            resources.from_message(job.each),
            worker_record.AttemptStage.PLANNED,
        )
        self._tasks.starts.append((worker, key))
        self._tasks.dirty.add(self._tasks.chunk_of[name])

    def _preempt_for(self, job: work_pb2.Job, now: float) -> None:
        """Stops the batch attempts that lose the least progress.

        Makes room on as many workers as the job has waiting tasks, counting
        attempts that are already stopping, and never stops urgent work.
        """
        need = resources.from_message(job.each)
        wanted = len(self._tasks.pending[job.id])
        options = []
        for record in self._pool.records.values():
            if not record.accepts_starts(now) or not need.fits(record.capacity):
                continue
            victims = self._victims(record, need)
            if victims is None:
                continue
            loss_ms = sum(v.progress_ms for v in victims if not v.stopping)
            options.append((loss_ms, record.id, victims))
        options.sort(key=lambda option: option[:2])
        for _, _, victims in options[:wanted]:
            for victim in victims:
                if not victim.stopping:
                    victim.stopping = True
                    self._tasks.counters.preempted_ms += victim.progress_ms

    def _victims(
        self, record: worker_record.WorkerRecord, need: resources.Amount
    ) -> list[worker_record.HeldAttempt] | None:
        """Returns the attempts to stop so that a task fits, or None."""
        free = record.free()
        chosen = []
        batch = [
            attempt
            for attempt in record.held.values()
            if attempt.stage is worker_record.AttemptStage.RUNNING
            and self._tasks.may_evict(attempt.key.task)
        ]
        batch.sort(key=lambda a: (not a.stopping, a.progress_ms))
        for attempt in batch:
            if need.fits(free):
                break
            chosen.append(attempt)
            free = free.plus(attempt.need)
        return chosen if need.fits(free) else None

    def explain(self, job_id: str, now: float) -> str:
        """Returns the reason why tasks of a job wait, as text."""
        waiting = len(self._tasks.pending.get(job_id, {}))
        if not waiting:
            return "no task of this job waits in this shard"
        reason = self._wait_reasons.get(job_id) or self._explain_no_worker(
            self._tasks.jobs[job_id], now
        )
        return f"{waiting} tasks wait: {reason}"

    def _explain_no_worker(self, job: work_pb2.Job, now: float) -> str:
        need = resources.from_message(job.each)
        parts = []
        for record in sorted(self._pool.records.values(), key=lambda r: r.id):
            available = record.free()
            if not record.listed:
                parts.append(f"{record.id}: not in the VM list")
            elif record.leaving:
                parts.append(f"{record.id}: leaving")
            elif record.answered_at is None:
                parts.append(f"{record.id}: does not answer")
            elif not need.fits(available):
                name = need.shortage(available)
                parts.append(
                    f"{record.id}: {name} {getattr(available, name)} free,"
                    f" {getattr(need, name)} needed"
                )
            elif not record.health.allows_start(len(record.held), now):
                parts.append(f"{record.id}: {record.health.state_text(now)}")
            else:
                parts.append(f"{record.id}: this task failed there")
        return "; ".join(parts) or "the shard has no workers"
