"""Contents of a shard: what an owner loads, and what others write for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result

from wisterialug_core.workflow import model
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock, owner_logs, records, shard_store

if TYPE_CHECKING:
    from wisterialug_core.schema import workflow_pb2
    from wisterialug_daemon.workflow import (
        errors,
        lender,
        owner,
        shard_feeds,
        shard_recorder,
    )


class ShardContents:
    """Loads a shard's jobs, and applies the rows of its inbox to them."""

    def __init__(
        self,
        shard_owner: owner.ShardOwner,
        feeds: shard_feeds.ShardFeeds,
        task_lender: lender.Lender,
        recorder: shard_recorder.ShardRecorder,
    ) -> None:
        self._owner = shard_owner
        self._jobs = shard_owner.shard_jobs
        self._feeds = feeds
        self._lender = task_lender
        self._recorder = recorder

    def load(self) -> result.Result[None, errors.StoreError]:
        """Loads all jobs of the shard, with the runs that may be active."""
        begun_s = clock.now_s()
        loaded = self._owner.rows.load()
        if loaded.is_err():
            return loaded
        content = loaded.ok_value
        self._feeds.inbox_cursor = content.cursor
        self._owner.interference.factors.restore(content.effects)
        self._owner.durations.restore(content.effects)
        adopted = 0
        for job in content.inbox.jobs:
            self._jobs.add(job)
        for loan in content.inbox.loans:
            if not self._is_orphan(loan):
                self._jobs.add_borrowed(loan.job)
        for job, entry in list(self._jobs.jobs.items()):
            for page, progress in content.progress.get(job, {}).items():
                self._recorder.job_rows.note_stored(job, page)
                for task in self._jobs.restore(entry, progress, page):
                    self._adopt(task)
                    adopted += 1
        # Of borrowed jobs whose loan was removed before the record was.
        self._recorder.orphans += [
            records.progress(self._owner.rows.shard, job, page)
            for job in content.progress.keys() - self._jobs.jobs.keys()
            for page in content.progress[job]
        ]
        self.apply(content.inbox)
        for entry in list(self._jobs.jobs.values()):
            self._jobs.close_if_ended(entry, clock.wall_ms())
            if not entry.home or self._lender.rows.rows_are_left(entry.job.id):
                # Its results, or its end, may not have been sent to others.
                self._jobs.dirty.add(entry.job.id)
        logs.event(
            "shard-loaded",
            shard=self._owner.rows.shard,
            epoch=self._owner.epoch,
            jobs=len(self._jobs.jobs),
            open_jobs=len(self._jobs.open_jobs),
            runs=adopted,
            took_s=round(clock.now_s() - begun_s, 3),
        )
        return result.Ok(None)

    def apply(self, inbox: shard_store.Inbox) -> None:
        """Applies what others have written for this shard."""
        now_ms = clock.wall_ms()
        for job in inbox.jobs:
            self._jobs.add(job)
        for loan in inbox.loans:
            if not self._is_orphan(loan):
                self._lender.borrow(loan)
                continue
            ref = records.loan(
                loan.job.id, loan.from_shard, loan.to_shard, loan.page
            )
            self._recorder.orphans.append(ref)
        for loan_result in inbox.results:
            if loan_result.job not in self._jobs.jobs:
                # The job's rows were removed before this one was written.
                ref = records.result(
                    loan_result.job,
                    loan_result.from_shard,
                    loan_result.to_shard,
                    loan_result.page,
                )
                self._recorder.orphans.append(ref)
                continue
            entry = self._lender.apply_result(loan_result)
            if entry is not None and entry.final:
                owner_logs.log_job_end(entry)
        for job in inbox.cancelled:
            if self._jobs.cancel(job, now_ms):
                logs.event(
                    "job-cancelled", job=job, shard=self._owner.rows.shard
                )

    def _is_orphan(self, loan: workflow_pb2.Loan) -> bool:
        """Returns whether a loan brings back tasks of a job that was removed.

        Its job's own row is in the same inbox until the job is removed.
        """
        at_home = loan.job.shard == self._owner.rows.shard
        return at_home and loan.job.id not in self._jobs.jobs

    def _adopt(self, task: model.Task) -> None:
        self._owner.shard_workers.add_recorded(model.Incarnation(task.worker))
        self._owner.shard_workers.reserve(task, self._jobs.step(task.key))
