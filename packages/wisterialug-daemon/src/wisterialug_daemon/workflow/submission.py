"""Accepts or refuses one new job, with a certain outcome where possible.

A job's id has one row, in which it is accepted or refused. A change of it names
the version that the row had: an attempt that is carried out late, after the
caller was told that the job was refused, finds another version and does nothing.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import eventlet
import result
from google.protobuf import message

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import job_admission, return_times
from wisterialug_daemon import errors as daemon_errors
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import (
    clock,
    errors,
    records,
    row_store,
    store_writer,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialug_daemon.workflow import (
        admission_control,
        election,
        refusal_rows,
    )


READ_TIMEOUT_S = 1.0
ALREADY_RECORDED = "already recorded"


@dataclasses.dataclass(frozen=True)
class NotAcceptedError(daemon_errors.DaemonError):
    """Reports a job that was refused; no attempt for it can run any more."""

    reason: str
    retry_after_s: int

    def __str__(self) -> str:
        return self.reason


@dataclasses.dataclass(frozen=True)
class StoreAwayError(daemon_errors.DaemonError):
    """Reports a job for which the store has executed no call."""

    reason: str

    def __str__(self) -> str:
        return self.reason


@dataclasses.dataclass(frozen=True)
class OutcomeUnknownError(daemon_errors.DaemonError):
    """Reports a job that may have been accepted."""

    reason: str

    def __str__(self) -> str:
        return self.reason


@dataclasses.dataclass(frozen=True)
class TooLargeError(daemon_errors.DaemonError):
    """Reports a job that does not fit into a row of the store."""

    size_bytes: int
    max_bytes: int

    def __str__(self) -> str:
        return (
            f"the job takes {self.size_bytes} bytes;"
            f" at most {self.max_bytes} are possible"
        )


SubmissionError = (
    NotAcceptedError | StoreAwayError | OutcomeUnknownError | TooLargeError
)


class Submission:
    """One caller's attempt to submit a job."""

    def __init__(
        self,
        store: row_store.RowStore,
        owners: election.Election,
        admission: admission_control.AdmissionControl,
        refusals: refusal_rows.RefusalRows,
        job: workflow_pb2.Job,
        choose_shard: Callable[[workflow_pb2.Job], str],
        row_bytes: int,
    ) -> None:
        self._store = store
        self._admission = admission
        self._refusals = refusals
        self._job = job
        self._choose_shard = choose_shard
        self._row_bytes = row_bytes
        self._ref = records.accepted(job.id)
        # The row of the id, as far as it is known.
        self._row_version = 0
        self._refusal: workflow_pb2.Admission | None = None
        # Refusals up to this version were sent before the caller came.
        self._earlier_version = owners.seen_version
        self.decision: job_admission.Decision | None = None

    def run(
        self, until_s: float, latest_s: float
    ) -> result.Result[str, SubmissionError]:
        """Accepts or refuses the job; returns details for the caller.

        Args:
          until_s: The caller has time to try another VM until then.
          latest_s: Until when an outcome that is unknown is looked for, as
            long as the store is known to answer this VM.
        """
        unanswered = False
        limit_s = until_s
        while True:
            self.decision = self._admission.decide(
                self._job, returned=self._has_returned()
            )
            accepted = self.decision.verdict is job_admission.Verdict.ACCEPT
            writes = self._acceptance() if accepted else self._refuse()
            largest = max(len(value) for _, value in writes)
            if largest > self._row_bytes:
                return result.Err(TooLargeError(largest, self._row_bytes))
            written = store_writer.write_once(
                self._store,
                row_store.Transaction(
                    ((self._ref, self._row_version),), writes
                ),
                limit_s,
            )
            if written.is_ok():
                if not accepted:
                    self._refusals.note(self._ref, written.ok_value)
                    return result.Err(self._refused())
                self._admission.note_accepted(self._job)
                return result.Ok("")
            exc = written.err_value
            if isinstance(exc, row_store.ConflictError):
                rows = exc.rows
                if not rows:
                    # The row is gone: a refusal was forgotten.
                    self._row_version = 0
                    self._refusal = None
            else:
                if isinstance(exc, errors.StoreUnknownError):
                    unanswered = True
                if not unanswered:
                    return result.Err(StoreAwayError(str(exc)))
                eventlet.sleep(store_writer.FIRST_RETRY_S)
                # A store that answers this VM is as slow for others.
                hears_store = self._admission.hears_store()
                limit_s = latest_s if hears_store else until_s
                if clock.now_s() >= limit_s:
                    return result.Err(
                        OutcomeUnknownError("no response from the store")
                    )
                # A read is answered before the writes that wait.
                rows = self._read_row(limit_s)
            if rows:
                settled = self._apply_rows(rows, dict(writes)[self._ref])
                if settled is not None:
                    return settled

    def _read_row(self, until_s: float) -> tuple[row_store.Row, ...]:
        """Reads the id's row; empty if there is none, or no answer."""
        left_s = max(0.0, until_s - clock.now_s())
        read = row_store.scan_row(
            self._store, self._ref, min(READ_TIMEOUT_S, left_s)
        )
        return read.ok_value.rows if read.is_ok() else ()

    def _apply_rows(
        self, rows: tuple[row_store.Row, ...], sent: bytes
    ) -> result.Result[str, SubmissionError] | None:
        """Learns the id's row; returns the outcome if that settles it.

        Args:
          rows: The rows as the store has answered.
          sent: The row as this attempt tried to write it.
        """
        row = next((r for r in rows if r.ref == self._ref), None)
        if row is None or not row.version:
            # A refusal was forgotten since it was read.
            self._row_version = 0
            self._refusal = None
            return None
        try:
            admission = workflow_pb2.Admission.FromString(row.value)
        except message.DecodeError as error:
            logs.warning("job-unreadable", job=self._job.id, error=str(error))
            return result.Err(OutcomeUnknownError("the record is unreadable"))
        if admission.shard:
            return result.Ok(ALREADY_RECORDED)
        self._refusal = admission
        # A refusal that is repeated has the same bytes as the earlier one.
        written_now = row.value == sent and row.version != self._row_version
        if written_now or row.version > self._earlier_version:
            # Written by this attempt, or for a later one of the same caller.
            return result.Err(self._refused())
        self._row_version = row.version
        return None

    def _has_returned(self) -> bool:
        return (
            self._refusal is not None
            and clock.wall_ms() >= self._refusal.return_ms
        )

    def _acceptance(self) -> tuple[tuple[row_store.RowRef, bytes], ...]:
        job = self._job
        if self._refusal is not None:
            # Its caller has waited since then: it goes before newer ones.
            job.accepted_ms = min(job.accepted_ms, self._refusal.first_ms)
        job.shard = self._choose_shard(job)
        admission = workflow_pb2.Admission(id=job.id, shard=job.shard)
        return (
            (self._ref, admission.SerializeToString()),
            (records.job(job.id, job.shard), job.SerializeToString()),
        )

    def _refuse(self) -> tuple[tuple[row_store.RowRef, bytes], ...]:
        earlier, now_ms = self._refusal, clock.wall_ms()
        first_ms = earlier.first_ms if earlier else self._job.accepted_ms
        if earlier is not None and now_ms < earlier.return_ms:
            # Its caller is early: what it was told still holds.
            return_ms = earlier.return_ms
        else:
            return_ms = now_ms + 1000 * self._retry_after_s(now_ms - first_ms)
        self._refusal = workflow_pb2.Admission(
            id=self._job.id, first_ms=first_ms, return_ms=return_ms
        )
        return ((self._ref, self._refusal.SerializeToString()),)

    def _retry_after_s(self, waited_ms: int) -> int:
        decision = self.decision
        if decision.verdict is job_admission.Verdict.NEVER_FITS:
            return 0
        return return_times.after_load(
            self._job.id,
            decision.wait_s,
            decision.spare_s,
            job_admission.useful_s(self._job) - waited_ms / 1000,
        )

    def _refused(self) -> NotAcceptedError:
        """Returns the refusal that the id's row holds."""
        left_ms = self._refusal.return_ms - clock.wall_ms()
        verdict = self.decision.verdict
        if verdict is job_admission.Verdict.NEVER_FITS:
            step = self.decision.step
            reason = f"steps.{step}: no worker is large enough for its tasks"
            return NotAcceptedError(reason, 0)
        return NotAcceptedError(
            "the work ahead takes longer than the job is of use",
            max(return_times.MIN_RETURN_S, round(left_ms / 1000)),
        )
