"""Runs requests that must not be repeated at most once per key."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import eventlet

from wisterialug_core.decisions import idempotency
from wisterialug_core.schema import work_pb2
from wisterialug_daemon import errors, logs, messages
from wisterialug_daemon.adapters import table as table_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    Run = Callable[[messages.CallerRequest], messages.CallerResponse]

RECORD_RETRY_TIMEOUT_S = 30.0
SWEEP_PAGE_ROWS = 100
# Fraction of a request's remaining time for writing its record.
RECORD_TIME_RATIO = 0.5


class IdempotencyStore:
    """Keeps a record of each idempotency key in the table service."""

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
        key_time = idempotency.key_time_ms(req.key, now_ms, self._retention_ms)
        if key_time.is_err():
            return messages.problem(
                messages.Outcome.NOT_RUN,
                400,
                "bad-idempotency-key",
                str(key_time.err_value),
            )
        row_key = idempotency.row_key(
            key_time.ok_value, req.customer, req.service, req.key
        )
        digest = idempotency.fingerprint(
            [req.method.encode(), req.path.encode(), req.body]
        )
        left_s = req.deadline - time.monotonic()
        record = work_pb2.OnceRecord(
            state=work_pb2.ONCE_STATE_STARTED,
            fingerprint=digest,
            started_unix_ms=now_ms,
            timeout_ms=int(left_s * 1000),
            vm=self._own_vm,
        )
        transaction = table_lib.Transaction(
            (table_lib.Condition(row_key, 0),),
            ((row_key, record.SerializeToString()),),
        )
        written = self._table.commit(
            transaction, left_s * RECORD_TIME_RATIO, urgent=True
        )
        if written.is_err():
            if isinstance(written.err_value, errors.TableConflictError):
                return self._response_from_record(row_key, digest)
            if isinstance(written.err_value, errors.TableUnansweredError):
                eventlet.spawn(self._delete_unconfirmed, row_key, transaction)
            return messages.problem(
                messages.Outcome.NOT_RUN,
                503,
                "table-unavailable",
                "the idempotency record could not be written",
                retry_after_s=1,
            )
        response = run(req)
        self._record_outcome(row_key, written.ok_value, record, response)
        return response

    def _response_from_record(
        self, row_key: str, digest: str
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
        verdict = idempotency.judge(record, digest, _unix_ms())
        if verdict is idempotency.Verdict.REPLAY:
            headers = [(h.name, h.value) for h in record.headers]
            headers.append(("Wisterialug-Replayed", "true"))
            return messages.CallerResponse(
                messages.Outcome.DONE,
                record.status,
                tuple(headers),
                record.body,
            )
        if verdict is idempotency.Verdict.MISMATCH:
            return messages.problem(
                messages.Outcome.NOT_RUN,
                422,
                "idempotency-key-reused",
                "the key was used for another request",
            )
        if verdict is idempotency.Verdict.IN_PROGRESS:
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

    def _record_outcome(
        self,
        row_key: str,
        version: int,
        record: work_pb2.OnceRecord,
        response: messages.CallerResponse,
    ) -> None:
        """Records the outcome; deletes the record if nothing was run."""
        if response.outcome is messages.Outcome.NOT_RUN:
            # Deleted before the caller is told, so that a retry may run.
            self._delete(row_key, version)
            return
        final = work_pb2.OnceRecord()
        final.CopyFrom(record)
        if response.outcome is messages.Outcome.DONE:
            final.state = work_pb2.ONCE_STATE_DONE
            final.status = response.status
            final.body = response.body
            for name, value in response.headers:
                final.headers.add(name=name, value=value)
        else:
            final.state = work_pb2.ONCE_STATE_UNKNOWN
        transaction = table_lib.Transaction(
            (table_lib.Condition(row_key, version),),
            ((row_key, final.SerializeToString()),),
        )
        eventlet.spawn(
            self._table.commit, transaction, RECORD_RETRY_TIMEOUT_S, urgent=True
        )

    def _delete(self, row_key: str, version: int) -> None:
        """Deletes the record of a request that was not run."""
        self._table.commit(
            table_lib.Transaction(
                (table_lib.Condition(row_key, version),), (), (row_key,)
            ),
            0.0,
            urgent=True,
        )

    def _delete_unconfirmed(
        self, row_key: str, transaction: table_lib.Transaction
    ) -> None:
        """Repeats an unanswered record write, then deletes the record."""
        outcome = self._table.commit(
            transaction, RECORD_RETRY_TIMEOUT_S, repeated=True
        )
        if outcome.is_ok():
            self._delete(row_key, outcome.ok_value)
        else:
            logs.warning("idempotency-record-unsettled", row=row_key)

    def sweep(self) -> None:
        """Deletes records whose keys can no longer be used."""
        rows = self._table.first_rows("once/", SWEEP_PAGE_ROWS)
        if rows.is_err():
            return
        kept_from = idempotency.expired_before(_unix_ms(), self._retention_ms)
        old = [row for row in rows.ok_value if row.key < kept_from]
        if not old:
            return
        conditions = tuple(
            table_lib.Condition(row.key, row.version) for row in old
        )
        deletes = tuple(row.key for row in old)
        self._table.commit(table_lib.Transaction(conditions, (), deletes), 0.0)


def _unix_ms() -> int:
    return int(time.time() * 1000)
