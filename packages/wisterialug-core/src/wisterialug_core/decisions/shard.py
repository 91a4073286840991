"""Scheduling of one shard's workers by its owner.

Resources are reserved from before a start is durable until the worker reports
the end or the attempt's lease has certainly expired.  Changes accumulate until
the caller takes them as one commit; starts are sent, and ends acknowledged,
only after the commit that records them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.decisions import (
    colocation,
    planner,
    resources,
    task_registry,
    worker_pool,
    worker_record,
    worker_sync,
)
from wisterialug_core.schema import work_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisterialug_core import ids
    from wisterialug_core.decisions import placement as placement_lib
    from wisterialug_core.decisions import task_order


class ShardScheduler:
    """The scheduler of one shard, without I/O."""

    def __init__(
        self,
        shard: ids.ShardId,
        epoch: int,
        owner: ids.VmId,
        lease_s: float,
        placement: placement_lib.Placement,
        limits_of: Callable[[task_order.Group], task_order.Limits],
        colocation_: colocation.Colocation | None = None,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        colocation_ = colocation_ or colocation.Colocation()
        self._tasks = task_registry.TaskRegistry()
        self._pool = worker_pool.WorkerPool(colocation_.target_ratio)
        self._planner = planner.Planner(
            self._tasks, self._pool, placement, limits_of, colocation_
        )
        self._sync = worker_sync.WorkerSync(
            epoch, owner, lease_s, self._tasks, self._pool, colocation_
        )

    @property
    def fenced(self) -> bool:
        """Whether a later owner has replaced this one."""
        return self._sync.fenced

    @property
    def counters(self) -> task_registry.Counters:
        """Totals since this owner took over the shard."""
        return self._tasks.counters

    # Loading and workers.

    def has_chunk(self, key: task_registry.ChunkKey) -> bool:
        """Returns whether a chunk is loaded."""
        return key in self._tasks.chunks

    def load(self, job: work_pb2.Job, chunk: work_pb2.Chunk) -> None:
        """Loads a chunk of this shard from the table service."""
        if self.has_chunk((chunk.job, chunk.number)):
            return
        for name in self._tasks.add(job, chunk):
            self._restore_attempt(job, name)
        if job.cancelled:
            self.cancel(job.id)

    def _restore_attempt(self, job: work_pb2.Job, name: str) -> None:
        task = self._tasks.tasks[name]
        attempt = worker_record.HeldAttempt(
            worker_record.AttemptKey(name, task.attempt),
            resources.from_message(job.each),
            worker_record.AttemptStage.COMMITTED,
            sent=True,
            stopping=job.cancelled,
            progress_ms=task.progress_ms,
        )
        self._pool.hold(task.worker, attempt)

    def set_workers(
        self, vms: Iterable[work_pb2.Vm], drained: set[str], now: float
    ) -> None:
        """Updates the shard's workers from the VM list."""
        self._pool.update(vms, drained, now)

    def fence(self) -> None:
        """Records that another VM owns the shard."""
        self._sync.fenced = True

    # Planning and sync.

    def plan(self, now: float, now_unix_ms: int) -> int:
        """Places waiting tasks; returns how many were placed."""
        self._sync.expire_leases(now)
        return self._planner.plan(now, now_unix_ms)

    def sync_request(self, worker: str) -> work_pb2.WorkerSyncRequest:
        """Returns the next sync request for a worker."""
        return self._sync.sync_request(worker)

    def on_sync(
        self,
        worker: str,
        req: work_pb2.WorkerSyncRequest,
        resp: work_pb2.WorkerSyncResponse,
        now: float,
    ) -> None:
        """Applies a worker's response to a sync request."""
        self._sync.on_sync(worker, req, resp, now)

    def cancel(self, job_id: str) -> None:
        """Applies an accepted cancellation of a job."""
        job = self._tasks.jobs.get(job_id)
        if job is None:
            return
        job.cancelled = True
        self._undo_planned(job_id)
        for name in self._tasks.pending.pop(job_id, {}):
            self._tasks.finish(name, work_pb2.TASK_STATE_CANCELLED, "cancelled")
        for record in self._pool.records.values():
            for attempt in record.held.values():
                if task_registry.task_job(attempt.key.task) == job_id:
                    attempt.stopping = True

    # Commits.

    def next_commit(self) -> task_registry.Commit | None:
        """Returns all uncommitted changes, or None if there are none."""
        return self._tasks.take_commit()

    def commit_done(self, commit: task_registry.Commit) -> None:
        """Lets starts and acknowledgements of a durable commit be sent."""
        for worker, key in commit.starts:
            attempt = self._pool.attempt(worker, key)
            if attempt and attempt.stage is worker_record.AttemptStage.PLANNED:
                attempt.stage = worker_record.AttemptStage.COMMITTED
                self._tasks.counters.starts += 1
                if (
                    attempt.stopping
                    or self._pool.records[worker].leaving
                    or self._has_restarted(worker, key)
                ):
                    self._undo_start(worker, key)
        for worker, key in commit.ends:
            self._tasks.uncommitted_ends.discard(key)
            record = self._pool.records.get(worker)
            if record is not None:
                record.to_acknowledge.add(key)
        for key in commit.finished:
            self._tasks.unload(key)

    def commit_refused(self, commit: task_registry.Commit) -> None:
        """Reverts the starts of a commit that certainly has no effect."""
        for worker, key in commit.starts:
            self._undo_start(worker, key)
        self._tasks.ends.extend(commit.ends)
        for chunk in commit.chunks:
            self._tasks.dirty.add((chunk.job, chunk.number))

    def _undo_planned(self, job_id: str) -> None:
        """Reverts starts of a job that are in no commit yet."""
        planned = [
            s
            for s in self._tasks.starts
            if task_registry.task_job(s[1].task) == job_id
        ]
        self._tasks.starts = [s for s in self._tasks.starts if s not in planned]
        for worker, key in planned:
            self._undo_start(worker, key)

    def _has_restarted(
        self, worker: str, key: worker_record.AttemptKey
    ) -> bool:
        """Returns whether a worker has restarted since a start was planned.

        Only the recorded incarnation may be sent the start: a report of another
        one that lacks the attempt ends it.
        """
        planned = self._tasks.tasks[key.task].worker_incarnation
        return planned != self._pool.records[worker].incarnation

    def _undo_start(self, worker: str, key: worker_record.AttemptKey) -> None:
        record = self._pool.records.get(worker)
        if record is None or key not in record.held:
            return
        del record.held[key]
        self._tasks.requeue(key.task)

    # Summaries.

    def worker_ids(self) -> list[str]:
        """Returns the ids of all workers known."""
        return list(self._pool.records)

    def workers(self) -> list[worker_record.WorkerRecord]:
        """Returns the records of all workers."""
        return list(self._pool.records.values())

    def running_count(self) -> int:
        """Returns the number of attempts that hold resources."""
        return sum(len(record.held) for record in self._pool.records.values())

    def knows_job(self, job_id: str) -> bool:
        """Returns whether chunks of a job are loaded."""
        return job_id in self._tasks.jobs

    def pending_count(self) -> int:
        """Returns the number of waiting tasks."""
        return self._tasks.pending_count()

    def explain(self, job_id: str, now: float) -> str:
        """Returns the reason why tasks of a job wait, as text."""
        return self._planner.explain(job_id, now)
