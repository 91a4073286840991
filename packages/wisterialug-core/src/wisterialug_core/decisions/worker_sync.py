"""Sync protocol between a shard's owner and its workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.decisions import resources, task_registry, worker_record
from wisterialug_core.schema import work_pb2

if TYPE_CHECKING:
    from wisterialug_core import ids
    from wisterialug_core.decisions import colocation, worker_pool

# A task that failed on this many workers is not retried.
MAX_FAILED_WORKERS = 3
LEASE_MARGIN_RATIO = 0.1
# An attempt that is reported this long has not crashed its worker by starting.
OUTLIVED_S = 1.0


class WorkerSync:
    """Builds sync requests for workers and applies their responses.

    Attributes:
      fenced: Whether a later owner has replaced this one.
    """

    def __init__(
        self,
        epoch: int,
        owner: ids.VmId,
        lease_s: float,
        tasks: task_registry.TaskRegistry,
        pool: worker_pool.WorkerPool,
        colocation_: colocation.Colocation,
    ) -> None:
        self.fenced = False
        self._epoch = epoch
        self._owner = owner
        self._lease_s = lease_s
        self._tasks = tasks
        self._pool = pool
        self._colocation = colocation_

    def sync_request(self, worker: str) -> work_pb2.WorkerSyncRequest:
        """Returns the next sync request for a worker."""
        record = self._pool.records[worker]
        req = work_pb2.WorkerSyncRequest(
            epoch=self._epoch,
            owner=self._owner,
            lease_ms=int(self._lease_s * 1000),
            renew_from_ms=record.clock_ms,
            incarnation=record.incarnation,
            speed_percent=record.throttle.speed_percent,
        )
        for key, attempt in record.held.items():
            if (
                attempt.stage is worker_record.AttemptStage.COMMITTED
                and not attempt.stopping
            ):
                if record.answered_at is None:
                    continue
                attempt.sent = True
                self._add_start(req, key)
            elif attempt.stopping and attempt.stage in (
                worker_record.AttemptStage.COMMITTED,
                worker_record.AttemptStage.RUNNING,
            ):
                req.stop.add(task=key.task, attempt=key.attempt)
        for key in record.to_acknowledge:
            req.acknowledge.add(task=key.task, attempt=key.attempt)
        return req

    def _add_start(
        self, req: work_pb2.WorkerSyncRequest, key: worker_record.AttemptKey
    ) -> None:
        job = self._tasks.jobs[task_registry.task_job(key.task)]
        task = self._tasks.tasks[key.task]
        req.start.add(
            task=key.task,
            attempt=key.attempt,
            resources=job.each,
            run_ms=job.run_ms,
            progress_ms=task.progress_ms,
            kind=job.kind,
        )

    def on_sync(
        self,
        worker: str,
        req: work_pb2.WorkerSyncRequest,
        resp: work_pb2.WorkerSyncResponse,
        now: float,
    ) -> None:
        """Applies a worker's response to a sync request."""
        record = self._pool.records.get(worker)
        if record is None:
            return
        if resp.refused:
            self.fenced = True
            return
        if resp.incarnation == record.incarnation and (
            resp.clock_ms < record.clock_ms
        ):
            return
        restarted = record.incarnation not in ("", resp.incarnation)
        record.incarnation = resp.incarnation
        record.clock_ms = resp.clock_ms
        record.answered_at = now
        self._colocation.process_samples(record, resp, self._evictable(record))
        for ref in req.acknowledge:
            record.to_acknowledge.discard(
                worker_record.AttemptKey(ref.task, ref.attempt)
            )
        reported = self._apply_running(record, resp)
        reported |= self._apply_ended(record, resp, now)
        for key, attempt in list(record.held.items()):
            if key not in reported:
                self._handle_unreported(record, attempt, restarted)

    def _apply_running(
        self,
        record: worker_record.WorkerRecord,
        resp: work_pb2.WorkerSyncResponse,
    ) -> set[worker_record.AttemptKey]:
        reported = set()
        for running in resp.running:
            key = worker_record.AttemptKey(running.task, running.attempt)
            reported.add(key)
            attempt = record.held.get(key)
            used = resources.from_message(running.used)
            if attempt is None:
                # Unknown to this owner; holds resources until it has stopped.
                attempt = worker_record.HeldAttempt(
                    key,
                    used,
                    worker_record.AttemptStage.RUNNING,
                    sent=True,
                    stopping=True,
                )
                record.held[key] = attempt
            attempt.stage = worker_record.AttemptStage.RUNNING
            attempt.need = attempt.need.at_least(used)
            attempt.progress_ms = running.progress_ms
            record.health.on_progress(running.progress_ms)
            if attempt.running_since is None:
                attempt.running_since = record.answered_at
            task = self._tasks.tasks.get(running.task)
            if task is not None and task.attempt == running.attempt:
                if record.answered_at - attempt.running_since >= OUTLIVED_S:
                    task.early_crashes = 0
                task.progress_ms = running.progress_ms
                if task.state == work_pb2.TASK_STATE_STARTING:
                    task.state = work_pb2.TASK_STATE_RUNNING
        return reported

    def _apply_ended(
        self,
        record: worker_record.WorkerRecord,
        resp: work_pb2.WorkerSyncResponse,
        now: float,
    ) -> set[worker_record.AttemptKey]:
        reported = set()
        for ended in resp.ended:
            key = worker_record.AttemptKey(ended.task, ended.attempt)
            reported.add(key)
            if (
                key in record.to_acknowledge
                or key in self._tasks.uncommitted_ends
            ):
                continue
            attempt = record.held.pop(key, None)
            task = self._tasks.tasks.get(ended.task)
            if task is None or not self._affects_task(task, ended, attempt):
                # The task is final or has a later attempt.
                record.to_acknowledge.add(key)
                continue
            self._apply_end(record, task, key, ended, now)
        return reported

    def _affects_task(
        self,
        task: work_pb2.Task,
        ended: work_pb2.EndedAttempt,
        attempt: worker_record.HeldAttempt | None,
    ) -> bool:
        """Returns whether an end still affects its task."""
        if task.attempt != ended.attempt:
            return False
        late_success = (
            task.state == work_pb2.TASK_STATE_UNKNOWN
            and ended.end == work_pb2.ATTEMPT_END_DONE
        )
        return attempt is not None or late_success

    def _apply_end(
        self,
        record: worker_record.WorkerRecord,
        task: work_pb2.Task,
        key: worker_record.AttemptKey,
        ended: work_pb2.EndedAttempt,
        now: float,
    ) -> None:
        self._tasks.ends.append((record.id, key))
        self._tasks.uncommitted_ends.add(key)
        if ended.end == work_pb2.ATTEMPT_END_DONE:
            record.health.on_success()
            self._tasks.counters.done += 1
            self._tasks.finish(key.task, work_pb2.TASK_STATE_DONE, "")
            return
        job = self._tasks.jobs[task_registry.task_job(key.task)]
        task.progress_ms = max(task.progress_ms, ended.progress_ms)
        if job.cancelled:
            self._tasks.finish(
                key.task, work_pb2.TASK_STATE_CANCELLED, "cancelled"
            )
        elif ended.end == work_pb2.ATTEMPT_END_FAILED:
            self._apply_failure(record, task, key.task, ended.reason, now)
        elif ended.end == work_pb2.ATTEMPT_END_LAPSED:
            self._tasks.mark_lost(
                key.task, f"lease lapsed on worker {record.id}"
            )
        else:
            self._tasks.counters.evicted += 1
            task.evictions += 1
            self._tasks.requeue(key.task)

    def _apply_failure(
        self,
        record: worker_record.WorkerRecord,
        task: work_pb2.Task,
        task_id: str,
        reason: str,
        now: float,
    ) -> None:
        self._tasks.counters.failed += 1
        task.failures += 1
        task.progress_ms = 0
        if record.id not in task.failed_on:
            task.failed_on.append(record.id)
        record.health.on_failure(len(task.failed_on), now)
        job = self._tasks.jobs[task_registry.task_job(task_id)]
        exhausted = len(task.failed_on) >= min(
            MAX_FAILED_WORKERS, len(self._pool.records)
        )
        if not job.repeatable or exhausted:
            text = f"failed on {', '.join(task.failed_on)}; last: {reason}"
            self._tasks.finish(task_id, work_pb2.TASK_STATE_FAILED, text)
        else:
            self._tasks.requeue(task_id)

    def _handle_unreported(
        self,
        record: worker_record.WorkerRecord,
        attempt: worker_record.HeldAttempt,
        restarted: bool,
    ) -> None:
        """Handles a held attempt that is missing from a worker's report."""
        if attempt.stage is worker_record.AttemptStage.PLANNED:
            return
        task = self._tasks.tasks.get(attempt.key.task)
        same_incarnation = (
            task is not None and task.worker_incarnation == record.incarnation
        )
        never_ran = (
            attempt.stage is worker_record.AttemptStage.COMMITTED
            and same_incarnation
            and not restarted
        )
        if never_ran and (attempt.sent or not attempt.stopping):
            # The next request sends its start or its stop again.
            return
        del record.held[attempt.key]
        if task is None or task.attempt != attempt.key.attempt:
            return
        if never_ran or not attempt.sent:
            self._tasks.requeue(attempt.key.task)
        else:
            self._tasks.mark_lost(
                attempt.key.task,
                f"worker {record.id} restarted",
                restarted=True,
            )

    def expire_leases(self, now: float) -> None:
        """Gives up attempts that their workers can no longer be running.

        A worker's lease starts at a clock reading that it sent and this owner
        echoed, so it ends at most one lease after the last response.  A worker
        that has not responded to this owner yet may hold a lease from the
        previous one until one lease after it left the VM list.
        """
        wait_s = self._lease_s * (1 + LEASE_MARGIN_RATIO)
        for record in self._pool.records.values():
            if record.answered_at is not None:
                if now - record.answered_at >= wait_s:
                    record.answered_at = None
                    self._drop_attempts(record, include_sent=True)
                continue
            expired = record.unlisted_at is not None and (
                now - record.unlisted_at >= wait_s
            )
            self._drop_attempts(record, include_sent=expired)

    def _drop_attempts(
        self, record: worker_record.WorkerRecord, include_sent: bool
    ) -> None:
        """Gives up durable attempts held by an unresponsive worker."""
        for attempt in list(record.held.values()):
            if attempt.stage is worker_record.AttemptStage.PLANNED:
                continue
            if attempt.sent and not include_sent:
                continue
            del record.held[attempt.key]
            task_id = attempt.key.task
            task = self._tasks.tasks.get(task_id)
            if task is None or task.attempt != attempt.key.attempt:
                continue
            if attempt.sent:
                self._tasks.mark_lost(
                    task_id, f"worker {record.id} does not answer"
                )
            else:
                self._tasks.requeue(task_id)

    def _evictable(
        self, record: worker_record.WorkerRecord
    ) -> list[tuple[worker_record.HeldAttempt, str]]:
        """Returns the attempts that may be stopped to protect a service."""
        return [
            (attempt, self._tasks.kind_of(attempt))
            for attempt in record.held.values()
            if attempt.stage is worker_record.AttemptStage.RUNNING
            and not attempt.stopping
            and self._tasks.may_evict(attempt.key.task)
        ]
