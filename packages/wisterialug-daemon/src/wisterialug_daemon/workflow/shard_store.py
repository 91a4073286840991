"""Reads and changes a shard's rows for its owner.

Each change requires that the owner's epoch is current, and writes a unique
mark that shows whether it took effect if the response is lost.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import eventlet
import result
from google.protobuf import message

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import awaited_workers
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import (
    clock,
    commit_attempts,
    errors,
    records,
    row_store,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

SCAN_TIMEOUT_S = 2.0
PARALLEL_SCANS = 8
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.2
# The platform accepts 100 entries per call; the owner adds its own rows.
MAX_ROWS = 90


class OwnershipLostError(errors.StoreError):
    """Reports that another process owns the shard now."""


@dataclasses.dataclass
class Inbox:
    """Inbox rows that concern a shard.

    Attributes:
      jobs: Its new jobs.
      loans: Tasks that other shards lend to it.
      results: What other shards report of tasks lent to them.
      cancelled: Ids of cancelled jobs, its own and borrowed ones.
    """

    jobs: list[workflow_pb2.Job]
    loans: list[workflow_pb2.Loan]
    results: list[workflow_pb2.LoanResult]
    cancelled: list[str]

    def __bool__(self) -> bool:
        """Returns whether there is any row."""
        return bool(self.jobs or self.loans or self.results or self.cancelled)


@dataclasses.dataclass
class ShardContent:
    """All rows of a shard at its takeover.

    Attributes:
      progress: Records of jobs, by job and page.
      cursor: Version from which the inbox is watched.
    """

    inbox: Inbox
    progress: dict[str, dict[int, workflow_pb2.Progress]]
    cursor: int
    effects: workflow_pb2.Effects


class ShardStore:
    """Reads and changes one shard's rows under one epoch.

    Attributes:
      epoch: Fencing token of this owner, as recorded.
      next_epoch: The one that the next renewal records.
      renewed_s: When the last renewal was sent, at the latest; leases are
        granted by it.
      earlier: When leases of earlier owners have expired.
      withheld: Workers to which no lease may be granted.
    """

    def __init__(
        self,
        store: row_store.RowStore,
        shard: str,
        ownership: workflow_pb2.Ownership,
        version: int,
        sent_s: float,
        earlier: awaited_workers.EarlierLeases,
    ) -> None:
        self._store = store
        self.shard = shard
        self.ownership = ownership
        self.epoch = ownership.epoch
        self.next_epoch = ownership.epoch
        self.renewed_s = sent_s
        self.earlier = earlier
        self.withheld = awaited_workers.Withheld(ownership)
        self._owner_version = version
        self._mark_version = 0
        self._changes = 0

    @property
    def version(self) -> int:
        """Returns the version of the latest change."""
        return self._mark_version

    def load(self) -> result.Result[ShardContent, errors.StoreError]:
        """Reads all rows of the shard."""
        marks = self._store.scan(
            records.MARKS_TABLE, self.shard, timeout_s=SCAN_TIMEOUT_S
        )
        if marks.is_err():
            return marks
        effects = workflow_pb2.Effects()
        for row in marks.ok_value.rows:
            if row.ref == records.mark(self.shard):
                self._mark_version = row.version
            elif row.ref == records.effects(self.shard):
                effects.ParseFromString(row.value)
        inbox = self.load_inbox()
        if inbox.is_err():
            return inbox
        progress = row_store.scan_all(
            self._store, records.PROGRESS_TABLE, self.shard, SCAN_TIMEOUT_S
        )
        if progress.is_err():
            return progress
        pages: dict[str, dict[int, workflow_pb2.Progress]] = {}
        for row in progress.ok_value.rows:
            job, page = records.progress_page(row.ref)
            content = workflow_pb2.Progress.FromString(row.value)
            pages.setdefault(job, {})[page] = content
        return result.Ok(
            ShardContent(
                decode_inbox(inbox.ok_value.rows, self.shard),
                pages,
                inbox.ok_value.version,
                effects,
            )
        )

    def load_inbox(
        self,
    ) -> result.Result[row_store.Snapshot, errors.StoreError]:
        """Reads all parts of the inbox, with the lowest of their versions."""
        rows: list[row_store.Row] = []
        version = -1
        pool = eventlet.GreenPool(PARALLEL_SCANS)
        for part in pool.imap(
            lambda name: row_store.scan_all(
                self._store,
                records.inbox_table(self.shard),
                name,
                SCAN_TIMEOUT_S,
            ),
            records.inbox_parts(),
        ):
            if part.is_err():
                return part
            rows += part.ok_value.rows
            read = part.ok_value.version
            version = read if version < 0 else min(version, read)
        return result.Ok(row_store.Snapshot(tuple(rows), False, version))

    def change(
        self,
        writes: Iterable[tuple[row_store.RowRef, bytes]],
        removes: Iterable[row_store.RowRef],
        renewal: workflow_pb2.Ownership | None,
        should_continue: Callable[[], bool],
    ) -> result.Result[int, errors.StoreError]:
        """Changes rows; retries while the store is unavailable.

        A change that the store rejects was not made.

        Args:
          writes: Rows to write.
          removes: Rows to remove.
          renewal: Ownership to write as well, if a renewal is due.
          should_continue: Returns whether to make another attempt.
        """
        self._changes += 1
        mark = f"{self.epoch}:{self._changes}".encode()
        mark_ref = records.mark(self.shard)
        owner_ref = records.owner(self.shard)
        rows = [*writes, (mark_ref, mark)]
        if renewal is not None:
            rows.append((owner_ref, renewal.SerializeToString()))
        transaction = row_store.Transaction(
            conditions=(
                (owner_ref, self._owner_version),
                (mark_ref, self._mark_version),
            ),
            writes=tuple(rows),
            removes=tuple(removes),
        )
        attempts = commit_attempts.CommitAttempts(self._store, transaction)
        pause_s = FIRST_RETRY_S
        first_sent_s = clock.now_s()
        failing_since_s = 0.0
        while should_continue():
            answer = attempts.next_answer()
            if answer is None:
                continue
            outcome, sent_s = answer
            version = self._committed_version(
                outcome, mark, renews=renewal is not None
            )
            if version is not None:
                if version < 0:
                    return result.Err(OwnershipLostError())
                # Where a conflict shows the mark, an earlier attempt was made.
                made_s = sent_s if outcome.is_ok() else first_sent_s
                self._confirm_change(version, renewal, made_s, failing_since_s)
                return result.Ok(version)
            if isinstance(outcome.err_value, errors.StoreRejectedError):
                return outcome
            if not failing_since_s:
                failing_since_s = first_sent_s
                logs.warning(
                    "shard-change-retried",
                    shard=self.shard,
                    epoch=self.epoch,
                    rows=len(rows),
                    error=str(outcome.err_value),
                )
            eventlet.sleep(pause_s)
            pause_s = min(MAX_RETRY_S, pause_s * 2)
        return result.Err(errors.StoreUnknownError("retries stopped"))

    def _committed_version(
        self,
        outcome: result.Result[int, errors.StoreError],
        mark: bytes,
        *,
        renews: bool,
    ) -> int | None:
        """Returns the change's version, None if unknown, -1 if not the owner.

        Args:
          outcome: Outcome of the latest attempt.
          mark: Mark that the change writes.
          renews: Whether the change writes the owner's row.
        """
        if outcome.is_ok():
            return outcome.ok_value
        if not isinstance(outcome.err_value, row_store.ConflictError):
            return None
        rows = {row.ref: row for row in outcome.err_value.rows}
        marked = rows.get(records.mark(self.shard))
        owned = rows.get(records.owner(self.shard))
        if marked is None or marked.value != mark:
            return -1
        # An earlier attempt took effect, but its response was lost. Another
        # process may have claimed the shard since.
        expected = marked.version if renews else self._owner_version
        if owned is not None and owned.version != expected:
            return -1
        return marked.version

    def _confirm_change(
        self,
        version: int,
        renewal: workflow_pb2.Ownership | None,
        made_s: float,
        failing_since_s: float,
    ) -> None:
        self._mark_version = version
        if renewal is not None:
            self._owner_version = version
            self.ownership = renewal
            self.withheld.note_recorded(renewal)
            self.epoch = renewal.epoch
            self.renewed_s = made_s
        if failing_since_s:
            logs.event(
                "shard-change-done",
                shard=self.shard,
                epoch=self.epoch,
                after_s=round(clock.now_s() - failing_since_s, 3),
            )


def decode_inbox(rows: Iterable[row_store.Row], shard: str) -> Inbox:
    """Decodes the inbox rows that concern a shard."""
    inbox = Inbox([], [], [], [])
    for row in rows:
        _add_row(inbox, row, shard)
    return inbox


def decode_readable(rows: Iterable[row_store.Row], shard: str) -> Inbox:
    """Decodes the inbox rows that concern a shard, as far as they can be read.

    Not for a takeover, which removes the records of jobs without a row.
    """
    inbox = Inbox([], [], [], [])
    for row in rows:
        try:
            _add_row(inbox, row, shard)
        except message.DecodeError as exc:
            logs.warning(
                "inbox-row-unreadable",
                shard=shard,
                key=row.ref.key,
                error=str(exc),
            )
    return inbox


def _add_row(inbox: Inbox, row: row_store.Row, shard: str) -> None:
    key = row.ref.key
    if key.startswith(records.JOB_PREFIX):
        job = workflow_pb2.Job.FromString(row.value)
        if job.shard == shard:
            inbox.jobs.append(job)
    elif key.startswith(records.LOAN_PREFIX):
        loan = workflow_pb2.Loan.FromString(row.value)
        if loan.to_shard == shard:
            inbox.loans.append(loan)
    elif key.startswith(records.RESULT_PREFIX):
        result_row = workflow_pb2.LoanResult.FromString(row.value)
        if result_row.to_shard == shard:
            inbox.results.append(result_row)
    elif key.startswith(records.CANCEL_PREFIX):
        job_id, _, target = key.removeprefix(records.CANCEL_PREFIX).partition(
            ":"
        )
        if target == shard:
            inbox.cancelled.append(job_id)
