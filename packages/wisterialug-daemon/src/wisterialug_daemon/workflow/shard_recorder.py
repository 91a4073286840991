"""Commits an owner's changes to its shard's rows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import lending, work_ahead
from wisterialug_daemon import metrics
from wisterialug_daemon.workflow import clock, errors, records, shard_store

if TYPE_CHECKING:
    import result

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
      orphans: Rows of jobs that this shard no longer knows, to be removed.
    """

    def __init__(
        self, shard_owner: owner.ShardOwner, loans: lender.Lender
    ) -> None:
        self._owner = shard_owner
        self._rows = shard_owner.rows
        self._jobs = shard_owner.shard_jobs
        self._lender = loans
        self.orphans: list[row_store.RowRef] = []
        self._pruned_s = clock.now_s()
        self._effects_saved_s = clock.now_s()

    def take_jobs(self) -> dict[str, list[tuple[row_store.RowRef, bytes]]]:
        """Returns changed jobs with their rows, as many as one commit holds."""
        taken: dict[str, list[tuple[row_store.RowRef, bytes]]] = {}
        count = size_bytes = 0
        for job in list(self._jobs.dirty):
            taken[job] = [
                (
                    records.progress(self._rows.shard, job),
                    self._jobs.progress(job).SerializeToString(),
                ),
                *self._lender.take_rows(job),
            ]
            count += len(taken[job])
            size_bytes += sum(len(value) for _, value in taken[job])
            if not self._lender.rows_are_left(job):
                self._jobs.dirty.discard(job)
            if (
                count >= shard_store.FULL_COMMIT_ROWS
                or size_bytes >= shard_store.FULL_COMMIT_BYTES
            ):
                break
        return taken

    def commit(
        self,
        taken: dict[str, list[tuple[row_store.RowRef, bytes]]],
        *,
        renewal_due: bool,
    ) -> result.Result[int, errors.StoreError]:
        """Commits the rows of jobs; returns the version of the change."""
        writes = [row for rows in taken.values() for row in rows]
        now_s = clock.now_s()
        if now_s - self._effects_saved_s >= EFFECTS_SAVE_INTERVAL_S:
            self._effects_saved_s = now_s
            learned = self._owner.interference.factors.to_message()
            self._owner.durations.add_to(learned)
            writes.append(
                (records.effects(self._rows.shard), learned.SerializeToString())
            )
        renewal = self._renewal() if renewal_due else None
        removes = self._prunable(shard_store.MAX_ROWS - len(writes))
        return self._rows.change(
            writes, removes, renewal, lambda: not self._owner.lost
        )

    def release(self) -> None:
        """Commits pending changes and frees the ownership row."""
        while self._jobs.dirty and not self._owner.lost:
            taken = self.take_jobs()
            if self.commit(taken, renewal_due=False).is_err():
                return
        renewal = self._renewal()
        renewal.owner = ""
        self._rows.change([], [], renewal, lambda: not self._owner.lost)

    def _renewal(self) -> workflow_pb2.Ownership:
        shard = self._rows.shard
        now_s = clock.now_s()
        now_ms = clock.wall_ms()
        workers = self._owner.shard_workers
        backlog_core_ms = self._jobs.backlog_core_ms()
        metrics.SHARD_EPOCH.labels(shard).set(self._owner.epoch)
        metrics.SHARD_JOBS.labels(shard).set(len(self._jobs.open_jobs))
        metrics.SHARD_BACKLOG.labels(shard).set(backlog_core_ms / 1000)
        spare = lending.spare_capacity(
            self._jobs, workers, now_s, now_ms, self._owner.waits.chosen
        )
        return workflow_pb2.Ownership(
            owner=self._owner.cfg.owner_id,
            epoch=self._rows.next_epoch,
            renewal=self._rows.ownership.renewal + 1,
            waiting=self._jobs.waiting_by_route(),
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
            refs = self._rows_of(entry)
            if len(removes) + len(refs) > limit:
                break
            removes += refs
            self._lender.forget(job)
            self._jobs.drop(job)
            if len(removes) >= MAX_PRUNED_ROWS:
                break
        return removes

    def _rows_of(self, entry: job_entry.JobEntry) -> list[row_store.RowRef]:
        """Returns all rows of a job that this shard has to remove."""
        job, shard = entry.job.id, self._rows.shard
        refs = [
            records.progress(shard, job),
            *self._lender.refs(job),
        ]
        if entry.home:
            refs += [records.accepted(job), records.job(job, shard)]
            # A borrower's is removed with the loan, by the lender.
            if entry.cancelled:
                refs.append(records.cancel(job, shard))
        return refs
