"""Runs requests that must not be repeated at most once per key."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import eventlet

from wisterialug_core.decisions import once
from wisterialug_core.schema import work_pb2
from wisterialug_daemon import errors, logs, messages
from wisterialug_daemon.adapters import table as table_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    Run = Callable[[messages.CallerRequest], messages.CallerResponse]

RECORD_SETTLE_S = 30.0
SWEEP_PAGE_ROWS = 100
# Share of the request's time that the record before it may take.
RESERVE_TIME_RATIO = 0.5


class IdempotencyStore:
    """Keeps a record of each key in the table service."""

    def __init__(
        self, table: table_lib.TableClient, own_vm: str, retention_ms: int
    ) -> None:
        self._table = table
        self._own_vm = own_vm
        self._retention_ms = retention_ms

    def run(
        self, req: messages.CallerRequest, run: Run
    ) -> messages.CallerResponse:
        """Runs a request unless its key was used before.

        The record is written before anything is sent, and a request whose
        record can't be written is refused as not run.
        """
        now_ms = _unix_ms()
        made = once.key_time_ms(req.key, now_ms, self._retention_ms)
        if made.is_err():
            return messages.problem(
                messages.Outcome.NOT_RUN,
                400,
                "bad-idempotency-key",
                str(made.err_value),
            )
        row_key = once.row_key(
            made.ok_value, req.customer, req.service, req.key
        )
        print_ = once.fingerprint(
            [req.method.encode(), req.path.encode(), req.body]
        )
        left_s = req.deadline - time.monotonic()
        record = work_pb2.OnceRecord(
            state=work_pb2.ONCE_STATE_STARTED,
            fingerprint=print_,
            started_unix_ms=now_ms,
            timeout_ms=int(left_s * 1000),
            vm=self._own_vm,
        )
        transaction = table_lib.Transaction(
            (table_lib.Condition(row_key, 0),),
            ((row_key, record.SerializeToString()),),
        )
        written = self._table.commit(
            transaction, left_s * RESERVE_TIME_RATIO, urgent=True
        )
        if written.is_err():
            if isinstance(written.err_value, errors.TableConflictError):
                return self._answer_from_record(row_key, print_)
            if isinstance(written.err_value, errors.TableUnansweredError):
                eventlet.spawn(self._withdraw, row_key, transaction)
            return messages.problem(
                messages.Outcome.NOT_RUN,
                503,
                "table-unavailable",
                "the idempotency record could not be written",
                retry_after_s=1,
            )
        answer = run(req)
        self._finish(row_key, written.ok_value, record, answer)
        return answer

    def _answer_from_record(
        self, row_key: str, print_: str
    ) -> messages.CallerResponse:
        row = self._table.read_one(row_key, urgent=True)
        if row.is_err() or row.ok_value.value is None:
            return messages.problem(
                messages.Outcome.UNKNOWN,
                503,
                "record-unreadable",
                "the key was used; its record can't be read now",
                retry_after_s=1,
            )
        record = work_pb2.OnceRecord.FromString(row.ok_value.value)
        verdict = once.judge(record, print_, _unix_ms())
        if verdict is once.Verdict.REPLAY:
            headers = [(h.name, h.value) for h in record.headers]
            headers.append(("Wisterialug-Replayed", "true"))
            return messages.CallerResponse(
                messages.Outcome.DONE,
                record.status,
                tuple(headers),
                record.body,
            )
        if verdict is once.Verdict.MISMATCH:
            return messages.problem(
                messages.Outcome.NOT_RUN,
                422,
                "idempotency-key-reused",
                "the key was used for another request",
            )
        if verdict is once.Verdict.IN_PROGRESS:
            return messages.problem(
                messages.Outcome.UNKNOWN,
                409,
                "in-progress",
                "a request with this key is being run",
                retry_after_s=1,
            )
        return messages.problem(
            messages.Outcome.UNKNOWN,
            409,
            "outcome-unknown",
            "a request with this key may have run; it is not run again",
        )

    def _finish(
        self,
        row_key: str,
        version: int,
        record: work_pb2.OnceRecord,
        answer: messages.CallerResponse,
    ) -> None:
        """Records the end; goes on in the background if the table is slow."""
        if answer.outcome is messages.Outcome.NOT_RUN:
            # Withdrawn before the caller hears, so that a retry may run.
            self._delete(row_key, version)
            return
        final = work_pb2.OnceRecord()
        final.CopyFrom(record)
        if answer.outcome is messages.Outcome.DONE:
            final.state = work_pb2.ONCE_STATE_DONE
            final.status = answer.status
            final.body = answer.body
            for name, value in answer.headers:
                final.headers.add(name=name, value=value)
        else:
            final.state = work_pb2.ONCE_STATE_UNKNOWN
        transaction = table_lib.Transaction(
            (table_lib.Condition(row_key, version),),
            ((row_key, final.SerializeToString()),),
        )
        eventlet.spawn(
            self._table.commit, transaction, RECORD_SETTLE_S, urgent=True
        )

    def _delete(self, row_key: str, version: int) -> None:
        """Deletes a record whose request was surely not run."""
        self._table.commit(
            table_lib.Transaction(
                (table_lib.Condition(row_key, version),), (), (row_key,)
            ),
            0.0,
            urgent=True,
        )

    def _withdraw(
        self, row_key: str, transaction: table_lib.Transaction
    ) -> None:
        """Removes a record whose write had no answer and was given up."""
        outcome = self._table.commit(transaction, RECORD_SETTLE_S)
        if outcome.is_ok():
            self._delete(row_key, outcome.ok_value)
        else:
            logs.warning("idempotency-record-unsettled", row=row_key)

    def sweep(self) -> None:
        """Deletes records whose keys can no longer be used."""
        rows = self._table.first_rows("once/", SWEEP_PAGE_ROWS)
        if rows.is_err():
            return
        limit = once.expired_before(_unix_ms(), self._retention_ms)
        old = [row for row in rows.ok_value if row.key < limit]
        if not old:
            return
        conditions = tuple(
            table_lib.Condition(row.key, row.version) for row in old
        )
        deletes = tuple(row.key for row in old)
        self._table.commit(table_lib.Transaction(conditions, (), deletes), 0.0)


def _unix_ms() -> int:
    return int(time.time() * 1000)
