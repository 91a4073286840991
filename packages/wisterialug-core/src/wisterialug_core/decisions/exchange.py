"""The exchange of messages between a shard's owner and its workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.decisions import resources, task_registry, worker_record
from wisterialug_core.schema import work_pb2

if TYPE_CHECKING:
    from wisterialug_core import ids
    from wisterialug_core.decisions import colocation, worker_pool

# A task that failed on this many workers is given up.
MAX_FAILED_WORKERS = 3
LEASE_MARGIN_RATIO = 0.1


class Exchange:
    """Makes messages to workers and takes their answers.

    Attributes:
      fenced: Whether a worker has seen a later owner.
    """

    def __init__(
        self,
        epoch: int,
        owner: ids.VmId,
        lease_s: float,
        book: task_registry.TaskRegistry,
        pool: worker_pool.WorkerPool,
        colocation_: colocation.Colocation,
    ) -> None:
        self.fenced = False
        self._epoch = epoch
        self._owner = owner
        self._lease_s = lease_s
        self._book = book
        self._pool = pool
        self._colocation = colocation_

    def sync_request(self, worker: str) -> work_pb2.WorkerSyncRequest:
        """Returns the next message to a worker."""
        book = self._pool.records[worker]
        req = work_pb2.WorkerSyncRequest(
            epoch=self._epoch,
            owner=self._owner,
            lease_ms=int(self._lease_s * 1000),
            renew_from_ms=book.clock_ms,
            incarnation=book.incarnation,
            speed_percent=book.reaction.percent,
        )
        for key, attempt in book.held.items():
            if (
                attempt.stage is worker_record.AttemptStage.COMMITTED
                and not attempt.stopping
            ):
                if book.answered_at is None:
                    continue
                attempt.sent = True
                self._add_start(req, key)
            elif attempt.stopping and attempt.stage in (
                worker_record.AttemptStage.COMMITTED,
                worker_record.AttemptStage.RUNNING,
            ):
                req.stop.add(task=key.task, attempt=key.attempt)
        for key in book.acknowledge:
            req.acknowledge.add(task=key.task, attempt=key.attempt)
        return req

    def _add_start(
        self, req: work_pb2.WorkerSyncRequest, key: worker_record.AttemptKey
    ) -> None:
        job = self._book.jobs[task_registry.task_job(key.task)]
        task = self._book.tasks[key.task]
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
        """Takes a worker's answer to a message."""
        book = self._pool.records.get(worker)
        if book is None:
            return
        if resp.refused:
            self.fenced = True
            return
        if resp.incarnation == book.incarnation and (
            resp.clock_ms < book.clock_ms
        ):
            return
        restarted = book.incarnation not in ("", resp.incarnation)
        book.incarnation = resp.incarnation
        book.clock_ms = resp.clock_ms
        book.answered_at = now
        self._colocation.take_samples(book, resp, self._evictable_kinds(book))
        for ref in req.acknowledge:
            book.acknowledge.discard(
                worker_record.AttemptKey(ref.task, ref.attempt)
            )
        listed = self._take_running(book, resp)
        listed |= self._take_ended(book, resp, now)
        for key, attempt in list(book.held.items()):
            if key not in listed:
                self._not_listed(book, attempt, restarted)

    def _take_running(
        self,
        book: worker_record.WorkerRecord,
        resp: work_pb2.WorkerSyncResponse,
    ) -> set[worker_record.AttemptKey]:
        listed = set()
        for running in resp.running:
            key = worker_record.AttemptKey(running.task, running.attempt)
            listed.add(key)
            attempt = book.held.get(key)
            used = resources.from_message(running.used)
            if attempt is None:
                # An attempt that no record knows holds its room until it
                # has stopped.
                attempt = worker_record.HeldAttempt(
                    key,
                    used,
                    worker_record.AttemptStage.RUNNING,
                    sent=True,
                    stopping=True,
                )
                book.held[key] = attempt
            attempt.stage = worker_record.AttemptStage.RUNNING
            attempt.need = attempt.need.at_least(used)
            attempt.progress_ms = running.progress_ms
            book.health.on_progress(running.progress_ms)
            task = self._book.tasks.get(running.task)
            if task is not None and task.attempt == running.attempt:
                task.progress_ms = running.progress_ms
                if task.state == work_pb2.TASK_STATE_STARTING:
                    task.state = work_pb2.TASK_STATE_RUNNING
        return listed

    def _take_ended(
        self,
        book: worker_record.WorkerRecord,
        resp: work_pb2.WorkerSyncResponse,
        now: float,
    ) -> set[worker_record.AttemptKey]:
        listed = set()
        for ended in resp.ended:
            key = worker_record.AttemptKey(ended.task, ended.attempt)
            listed.add(key)
            if key in book.acknowledge or key in self._book.uncommitted_ends:
                continue
            attempt = book.held.pop(key, None)
            task = self._book.tasks.get(ended.task)
            if task is None or not self._counts(task, ended, attempt):
                # Its record is final or belongs to a later attempt.
                book.acknowledge.add(key)
                continue
            self._take_end(book, task, key, ended, now)
        return listed

    def _counts(
        self,
        task: work_pb2.Task,
        ended: work_pb2.EndedAttempt,
        attempt: worker_record.HeldAttempt | None,
    ) -> bool:
        """Tells whether an end still decides about its task."""
        if task.attempt != ended.attempt:
            return False
        late_success = (
            task.state == work_pb2.TASK_STATE_UNKNOWN
            and ended.end == work_pb2.ATTEMPT_END_DONE
        )
        return attempt is not None or late_success

    def _take_end(
        self,
        book: worker_record.WorkerRecord,
        task: work_pb2.Task,
        key: worker_record.AttemptKey,
        ended: work_pb2.EndedAttempt,
        now: float,
    ) -> None:
        self._book.ends.append((book.id, key))
        self._book.uncommitted_ends.add(key)
        if ended.end == work_pb2.ATTEMPT_END_DONE:
            book.health.on_success()
            self._book.counters.done += 1
            self._book.finish(key.task, work_pb2.TASK_STATE_DONE, "")
            return
        job = self._book.jobs[task_registry.task_job(key.task)]
        task.progress_ms = max(task.progress_ms, ended.progress_ms)
        if job.cancelled:
            self._book.finish(
                key.task, work_pb2.TASK_STATE_CANCELLED, "cancelled"
            )
        elif ended.end == work_pb2.ATTEMPT_END_FAILED:
            self._take_failure(book, task, key.task, ended.reason, now)
        elif ended.end == work_pb2.ATTEMPT_END_LAPSED:
            self._book.mark_lost(key.task, f"lease lapsed on worker {book.id}")
        else:
            self._book.counters.evicted += 1
            task.evictions += 1
            self._book.requeue(key.task)

    def _take_failure(
        self,
        book: worker_record.WorkerRecord,
        task: work_pb2.Task,
        name: str,
        reason: str,
        now: float,
    ) -> None:
        self._book.counters.failed += 1
        task.failures += 1
        task.progress_ms = 0
        if book.id not in task.failed_on:
            task.failed_on.append(book.id)
        book.health.on_failure(len(task.failed_on), now)
        job = self._book.jobs[task_registry.task_job(name)]
        everywhere = len(task.failed_on) >= min(
            MAX_FAILED_WORKERS, len(self._pool.records)
        )
        if not job.repeatable or everywhere:
            text = f"failed on {', '.join(task.failed_on)}; last: {reason}"
            self._book.finish(name, work_pb2.TASK_STATE_FAILED, text)
        else:
            self._book.requeue(name)

    def _not_listed(
        self,
        book: worker_record.WorkerRecord,
        attempt: worker_record.HeldAttempt,
        restarted: bool,
    ) -> None:
        """Handles a held attempt that the worker says it does not have."""
        if attempt.stage is worker_record.AttemptStage.PLANNED:
            return
        task = self._book.tasks.get(attempt.key.task)
        same_worker_life = (
            task is not None and task.worker_incarnation == book.incarnation
        )
        never_ran = (
            attempt.stage is worker_record.AttemptStage.COMMITTED
            and same_worker_life
            and not restarted
        )
        if never_ran and (attempt.sent or not attempt.stopping):
            # Sent again, or stopped by name, with the next message.
            return
        del book.held[attempt.key]
        if task is None or task.attempt != attempt.key.attempt:
            return
        if never_ran or not attempt.sent:
            self._book.requeue(attempt.key.task)
        else:
            self._book.mark_lost(
                attempt.key.task, f"worker {book.id} restarted"
            )

    def expire_leases(self, now: float) -> None:
        """Gives up attempts on workers that can't be running them.

        A worker counts its lease from a clock reading that this owner has
        echoed, so it ends at the latest one lease after the last answer.
        After a change of owner an unanswered worker may still have a lease
        from the owner before, until the VM list no longer has it.
        """
        wait_s = self._lease_s * (1 + LEASE_MARGIN_RATIO)
        for book in self._pool.records.values():
            if book.answered_at is not None:
                if now - book.answered_at >= wait_s:
                    book.answered_at = None
                    self._drop_attempts(book, sent_too=True)
                continue
            gone = book.unlisted_at is not None and (
                now - book.unlisted_at >= wait_s
            )
            self._drop_attempts(book, sent_too=gone)

    def _drop_attempts(
        self, book: worker_record.WorkerRecord, sent_too: bool
    ) -> None:
        """Gives up durable attempts that a silent worker holds."""
        for attempt in list(book.held.values()):
            if attempt.stage is worker_record.AttemptStage.PLANNED:
                continue
            if attempt.sent and not sent_too:
                continue
            del book.held[attempt.key]
            name = attempt.key.task
            task = self._book.tasks.get(name)
            if task is None or task.attempt != attempt.key.attempt:
                continue
            if attempt.sent:
                self._book.mark_lost(name, f"worker {book.id} does not answer")
            else:
                self._book.requeue(name)

    def _evictable_kinds(
        self, book: worker_record.WorkerRecord
    ) -> list[tuple[worker_record.HeldAttempt, str]]:
        """Returns the attempts that may be stopped for a service's sake."""
        return [
            (attempt, self._book.kind_of(attempt))
            for attempt in book.held.values()
            if attempt.stage is worker_record.AttemptStage.RUNNING
            and not attempt.stopping
            and self._book.may_evict(attempt.key.task)
        ]
