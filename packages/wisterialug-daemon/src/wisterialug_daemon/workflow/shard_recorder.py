"""Commits an owner's changes to its shard's rows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    awaited_workers,
    learned_record,
    lending,
    work_ahead,
)
from wisterialug_daemon import logs, metrics
from wisterialug_daemon.workflow import (
    clock,
    errors,
    job_rows,
    records,
    shard_store,
    unrecorded_jobs,
)

if TYPE_CHECKING:
    from wisterialug_core.workflow import job_entry
    from wisterialug_daemon.workflow import lender, owner, row_store

PRUNE_INTERVAL_S = 1.0
MAX_PRUNED_ROWS = 20
# Borrowed jobs whose loan rows are looked up per round, and the pause before the
# next look: their own shard keeps the rows until the job's retention ends.
MAX_LOAN_CHECKS = 3
LOAN_CHECK_INTERVAL_MS = 30_000
# Bounds how much learned interference is lost at a takeover.
EFFECTS_SAVE_INTERVAL_S = 3.0


class ShardRecorder:
    """Builds and commits the rows of changed jobs and of the ownership.

    Attributes:
      job_rows: Rows of its jobs.
      orphans: Rows of jobs that this shard no longer knows, to be removed.
    """

    def __init__(
        self, shard_owner: owner.ShardOwner, loans: lender.Lender
    ) -> None:
        self._owner = shard_owner
        self._rows = shard_owner.rows
        self._jobs = shard_owner.shard_jobs
        self._lender = loans
        self.job_rows = job_rows.JobRows(
            shard_owner.rows.shard,
            shard_owner.shard_jobs,
            loans.rows,
            shard_owner.cfg.page_bytes,
        )
        self._unrecorded = unrecorded_jobs.UnrecordedJobs(self._jobs)
        self.orphans: list[row_store.RowRef] = []
        self._pruned_s = clock.now_s()
        # Rows of ended jobs that are removed already, by job.
        self._pruned: dict[str, set[row_store.RowRef]] = {}
        self._effects_saved_s = clock.now_s()

    def take(self) -> job_rows.Batch:
        """Returns the rows of changed jobs, as many as one commit holds."""
        batch = job_rows.Batch()
        now_s = clock.now_s()
        for job in list(self._jobs.dirty):
            if not self._unrecorded.may_try(job, now_s):
                continue
            if self.job_rows.add(batch, job):
                self._jobs.dirty.discard(job)
            if batch.full:
                break
        return batch

    def commit(
        self, batch: job_rows.Batch, *, renewal_due: bool
    ) -> result.Result[job_rows.Batch, errors.StoreError]:
        """Commits the rows of jobs; returns what is recorded now.

        A change that the store rejects is made in parts: only the jobs that are
        at fault are left out.
        """
        changes = batch.all_changes
        now_s = clock.now_s()
        if now_s - self._effects_saved_s >= EFFECTS_SAVE_INTERVAL_S:
            self._effects_saved_s = now_s
            changes.append(self._effects())
        renewal = self._renewal() if renewal_due else None
        pruned = self._prunable(shard_store.MAX_ROWS - len(changes))
        changes += [(ref, None) for ref in pruned]
        outcome = self._change(changes, renewal)
        if _is_rejected(outcome):
            self.orphans += pruned
            return self._commit_apart(batch, renewal)
        return outcome.map(lambda _: self._recorded(batch))

    def _commit_apart(
        self, batch: job_rows.Batch, renewal: workflow_pb2.Ownership | None
    ) -> result.Result[job_rows.Batch, errors.StoreError]:
        """Commits the renewal and each job of a batch by itself."""
        if renewal is not None:
            outcome = self._renew(renewal)
            if outcome.is_err():
                return outcome
        recorded = []
        for job, changes in batch.changes.items():
            outcome = self._change(changes, None)
            if outcome.is_ok():
                recorded.append(job)
            elif _is_rejected(outcome):
                self._set_aside(job, changes, str(outcome.err_value))
            else:
                return outcome
        return result.Ok(self._recorded(batch.restricted_to(recorded)))

    def _recorded(self, batch: job_rows.Batch) -> job_rows.Batch:
        for job in batch.changes:
            self._unrecorded.accept(job)
        return batch

    def _set_aside(
        self, job: str, changes: list[job_rows.RowChange], error: str
    ) -> None:
        """Leaves a job out whose rows the store does not take."""
        pause_s = self._unrecorded.reject(job, clock.now_s())
        self._jobs.dirty.add(job)
        self.job_rows.note_rejected(job)
        metrics.REJECTED_RECORDS.inc()
        logs.warning(
            "job-not-recorded",
            job=job,
            rows=len(changes),
            largest_bytes=max(len(value or b"") for _, value in changes),
            retry_s=pause_s,
            error=error,
        )

    def _change(
        self,
        changes: list[job_rows.RowChange],
        renewal: workflow_pb2.Ownership | None,
    ) -> result.Result[int, errors.StoreError]:
        return self._rows.change(
            [(ref, value) for ref, value in changes if value is not None],
            [ref for ref, value in changes if value is None],
            renewal,
            lambda: not self._owner.lost,
        )

    def release(self) -> None:
        """Commits pending changes and frees the ownership row."""
        while not self._owner.lost:
            batch = self.take()
            if not batch.changes:
                break
            if self.commit(batch, renewal_due=False).is_err():
                return
        renewal = self._renewal()
        renewal.owner = ""
        self._renew(renewal)

    def _renew(
        self, renewal: workflow_pb2.Ownership
    ) -> result.Result[int, errors.StoreError]:
        """Commits a renewal, without counts if the store rejects it."""
        outcome = self._change([], renewal)
        if not _is_rejected(outcome):
            return outcome
        logs.warning(
            "renewal-not-recorded",
            shard=self._rows.shard,
            bytes=renewal.ByteSize(),
            routes=len(renewal.waiting),
            error=str(outcome.err_value),
        )
        return self._change([], _essence(renewal))

    def _effects(self) -> job_rows.RowChange:
        learned = self._owner.interference.factors.to_message()
        self._owner.durations.add_to(learned)
        left_out = learned_record.fit(learned, self._owner.cfg.page_bytes)
        if left_out:
            logs.event(
                "estimates-not-recorded",
                shard=self._rows.shard,
                estimates=left_out,
            )
        ref = records.effects(self._rows.shard)
        return ref, learned.SerializeToString()

    def _renewal(self) -> workflow_pb2.Ownership:
        shard = self._rows.shard
        now_s = clock.now_s()
        now_ms = clock.wall_ms()
        workers = self._owner.shard_workers
        backlog_core_ms = work_ahead.backlog_core_ms(self._jobs)
        metrics.SHARD_EPOCH.labels(shard).set(self._owner.epoch)
        metrics.SHARD_JOBS.labels(shard).set(len(self._jobs.open_jobs))
        metrics.SHARD_BACKLOG.labels(shard).set(backlog_core_ms / 1000)
        spare = lending.spare_capacity(
            self._jobs, workers, now_s, now_ms, self._owner.waits.chosen
        )
        renewal = workflow_pb2.Ownership(
            owner=self._owner.cfg.owner_id,
            epoch=self._rows.next_epoch,
            renewal=self._rows.ownership.renewal + 1,
            waiting=self._jobs.waiting_by_route(),
            accepted_version=self._owner.inbox_version,
            counted_version=max(self._owner.inbox_version, self._rows.version),
            backlog_core_ms=backlog_core_ms,
            capacity_millicores=workers.capacity_millicores(now_s),
            room_millicores=workers.room_millicores(now_s)
            - self._jobs.waiting_long_running_millicores(now_ms),
            free_slots=spare.free_slots,
            fill_room_millicores=spare.fill_room_millicores,
            services=work_ahead.service_loads(
                self._jobs, workers, self._owner.durations, now_ms
            ),
        )
        awaited_workers.add_to(
            renewal, workers.workers.values(), self._rows.earlier, now_s
        )
        self._rows.withheld.note_sent(renewal)
        return renewal

    def _prunable(self, limit: int) -> list[row_store.RowRef]:
        """Returns rows of ended jobs whose retention period has passed."""
        now_s = clock.now_s()
        if now_s - self._pruned_s < PRUNE_INTERVAL_S:
            return []
        self._pruned_s = now_s
        kept_ms = self._owner.cfg.state_kept_s * 1000
        before_ms = clock.wall_ms() - kept_ms
        count = min(limit, MAX_PRUNED_ROWS)
        removes, self.orphans = self.orphans[:count], self.orphans[count:]
        checks = 0
        for job, entry in list(self._jobs.jobs.items()):
            if (
                job in self._jobs.open_jobs
                or job in self._jobs.dirty
                or not 0 < entry.ended_ms <= before_ms
            ):
                continue
            if not entry.home:
                checks += 1
                if checks > MAX_LOAN_CHECKS:
                    continue
                if self._lender.is_borrowed(entry):
                    entry.ended_ms += LOAN_CHECK_INTERVAL_MS
                    continue
            removes += self._prune(entry, limit - len(removes))
            if len(removes) >= count:
                break
        return removes

    def _prune(
        self, entry: job_entry.JobEntry, limit: int
    ) -> list[row_store.RowRef]:
        """Returns rows of an ended job to remove; drops it with its last ones.

        The row of its state goes with the last: the job would be taken for a
        new one without it.
        """
        job = entry.job.id
        before = self._pruned.setdefault(job, set())
        last = self._last_rows_of(entry)
        others = [
            ref
            for ref in (*self.job_rows.refs(job), *self._lender.rows.refs(job))
            if ref not in before
        ]
        if len(others) + len(last) > limit:
            removed = others[: max(0, limit)]
            before.update(removed)
            return removed
        self._pruned.pop(job)
        self._lender.rows.forget(job)
        self.job_rows.forget(job)
        self._jobs.drop(job)
        return [*others, *last]

    def _last_rows_of(
        self, entry: job_entry.JobEntry
    ) -> list[row_store.RowRef]:
        """Returns the rows that tell that an ended job is known."""
        job, shard = entry.job.id, self._rows.shard
        refs = [records.progress(shard, job)]
        if entry.home:
            refs += [records.accepted(job), records.job(job, shard)]
            # A borrower's is removed with the loan, by the lender.
            if entry.cancelled:
                refs.append(records.cancel(job, shard))
        return refs


def _is_rejected(outcome: result.Result[object, errors.StoreError]) -> bool:
    return outcome.is_err() and isinstance(
        outcome.err_value, errors.StoreRejectedError
    )


def _essence(renewal: workflow_pb2.Ownership) -> workflow_pb2.Ownership:
    """Returns a renewal without what grows with the work, so without counts."""
    return workflow_pb2.Ownership(
        owner=renewal.owner,
        epoch=renewal.epoch,
        renewal=renewal.renewal,
        restarted=renewal.restarted,
    )
