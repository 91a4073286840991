"""The platform's table service: interface, HTTP adapter and shared client."""

from __future__ import annotations

import abc
import base64
import dataclasses
import json
import secrets
import time
from typing import TYPE_CHECKING, NamedTuple

import eventlet
import result
import urllib3

from wisterialug_core.decisions import admission
from wisterialug_daemon import errors, metrics, tracing

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

TOKEN_BYTES = 12
SCAN_PAGE_ROWS = 1000
BREAKER_FAILURE_LIMIT = 5
BREAKER_MIN_OPEN_S = 0.25
BREAKER_MAX_OPEN_S = 2.0
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# Longest wait of urgent calls in order of arrival; callers have some seconds.
MAX_ORDERED_WAIT_S = 0.5
# Part of the budget that only urgent calls may use.
URGENT_RESERVE_RATIO = 0.25
_HTTP_OK = 200
_HTTP_CONFLICT = 409


class Row(NamedTuple):
    """A row as read; version 0 and no value where it does not exist."""

    key: str
    version: int
    token: bytes
    value: bytes | None


class Condition(NamedTuple):
    """A version that a row must have; 0 means that it must not exist."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Rows to write if all conditions hold.

    Each row is stored with the transaction's token. The first write's key must
    have a condition, so that a repeat takes effect at most once.
    """

    conditions: tuple[Condition, ...]
    puts: tuple[tuple[str, bytes], ...]
    deletes: tuple[str, ...] = ()
    token: bytes = dataclasses.field(
        default_factory=lambda: secrets.token_bytes(TOKEN_BYTES)
    )


class TableService(abc.ABC):
    """Interface of a transactional table service."""

    @abc.abstractmethod
    def read(
        self, keys: Sequence[str]
    ) -> result.Result[list[Row], errors.TableError]:
        """Reads rows in one consistent snapshot."""

    @abc.abstractmethod
    def scan(
        self, prefix: str, after: str, limit: int
    ) -> result.Result[list[Row], errors.TableError]:
        """Reads rows under a prefix, by key, after a key."""

    @abc.abstractmethod
    def commit(
        self, transaction: Transaction
    ) -> result.Result[int, errors.TableError]:
        """Writes all rows or none; returns the new version of the rows."""


class HttpTableService(TableService):
    """A table service that speaks JSON over HTTP."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(
            num_pools=1, maxsize=8, block=False, retries=False
        )

    def close(self) -> None:
        """Closes all connections."""
        self._pool.clear()

    def read(
        self, keys: Sequence[str]
    ) -> result.Result[list[Row], errors.TableError]:
        """Reads rows in one consistent snapshot."""
        return self._call("/v1/read", {"keys": list(keys)}).map(_rows)

    def scan(
        self, prefix: str, after: str, limit: int
    ) -> result.Result[list[Row], errors.TableError]:
        """Reads rows under a prefix, by key, after a key."""
        body = {"prefix": prefix, "after": after, "limit": limit}
        return self._call("/v1/scan", body).map(_rows)

    def commit(
        self, transaction: Transaction
    ) -> result.Result[int, errors.TableError]:
        """Writes all rows or none; returns the new version of the rows."""
        body = {
            "conditions": [c._asdict() for c in transaction.conditions],
            "puts": [
                {"key": key, "value": _encode(transaction.token + value)}
                for key, value in transaction.puts
            ],
            "deletes": list(transaction.deletes),
        }
        resp = self._call("/v1/commit", body)
        return resp.map(lambda fields: fields["version"])

    def _call(
        self, path: str, body: dict[str, object]
    ) -> result.Result[dict, errors.TableError]:
        with tracing.span("table " + path):
            try:
                with eventlet.Timeout(self._timeout_s):
                    resp = self._pool.request(
                        "POST",
                        self._url + path,
                        body=json.dumps(body).encode(),
                        headers={
                            "Content-Type": "application/json",
                            **tracing.outgoing_headers(),
                        },
                        timeout=self._timeout_s,
                    )
                if resp.status == _HTTP_CONFLICT:
                    return result.Err(errors.TableConflictError("conflict"))
                if resp.status == _HTTP_OK:
                    return result.Ok(json.loads(resp.data))
            except urllib3.exceptions.NewConnectionError as exc:
                return result.Err(errors.TableUnreachableError(str(exc)))
            except (
                urllib3.exceptions.HTTPError,
                OSError,
                ValueError,
                eventlet.Timeout,
            ) as exc:
                return result.Err(errors.TableUnansweredError(str(exc)))
            return result.Err(
                errors.TableUnansweredError(f"HTTP status {resp.status}")
            )


class TableClient:
    """Client of the table service, shared by all parts of a VM.

    Limits the rate of calls and reserves a part of it for urgent ones; opens a
    circuit breaker after repeated failures; determines whether a commit
    without a response took effect.
    """

    def __init__(
        self,
        service: TableService,
        ops_per_s: float,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = eventlet.sleep,
    ) -> None:
        self._service = service
        self._clock = clock
        self._sleep = sleep
        self._bucket = admission.TokenBucket(ops_per_s)
        self._failures = 0
        self._open_until_s = 0.0
        self._open_s = BREAKER_MIN_OPEN_S
        self._backlog = 0

    @property
    def healthy(self) -> bool:
        """Whether the last call succeeded or conflicted."""
        return self._failures == 0

    def read(
        self, keys: Sequence[str], *, urgent: bool = False
    ) -> result.Result[list[Row], errors.TableError]:
        """Reads rows in one consistent snapshot."""
        return self._call("read", urgent, lambda: self._service.read(keys))

    def read_one(
        self, key: str, *, urgent: bool = False
    ) -> result.Result[Row, errors.TableError]:
        """Reads one row."""
        return self.read([key], urgent=urgent).map(lambda rows: rows[0])

    def scan(
        self, prefix: str, *, urgent: bool = False
    ) -> result.Result[list[Row], errors.TableError]:
        """Reads all rows under a prefix, page by page."""
        rows: list[Row] = []
        after = ""
        while True:
            page = self._call(
                "read",
                urgent,
                lambda after=after: self._service.scan(
                    prefix, after, SCAN_PAGE_ROWS
                ),
            )
            if page.is_err():
                return page
            rows.extend(page.ok_value)
            if len(page.ok_value) < SCAN_PAGE_ROWS:
                return result.Ok(rows)
            after = rows[-1].key

    def first_rows(
        self, prefix: str, count: int
    ) -> result.Result[list[Row], errors.TableError]:
        """Reads the first rows under a prefix, by key."""
        return self._call(
            "read", False, lambda: self._service.scan(prefix, "", count)
        )

    def commit(
        self,
        transaction: Transaction,
        retry_timeout_s: float,
        *,
        urgent: bool = False,
        repeated: bool = False,
    ) -> result.Result[int, errors.TableError]:
        """Commits, and determines the outcome if no response came.

        Args:
          transaction: What to write.
          retry_timeout_s: Seconds to retry after a failure.
          urgent: Whether the call may use the reserve of the budget.
          repeated: Whether an earlier call may have written the transaction,
            so that a conflict does not show that it had no effect.

        Returns:
          The new version, TableConflictError or TableUnreachableError if
          nothing was written, or TableUnansweredError if the outcome is
          still unknown.
        """
        deadline = self._clock() + retry_timeout_s
        backoff_s = FIRST_BACKOFF_S
        unknown = repeated
        while True:
            outcome = self._call(
                "write", urgent, lambda: self._service.commit(transaction)
            )
            if outcome.is_ok():
                return outcome
            exc = outcome.err_value
            if isinstance(exc, errors.TableConflictError) and unknown:
                outcome = self._read_back(transaction)
                if outcome.is_ok() or isinstance(
                    outcome.err_value, errors.TableConflictError
                ):
                    return outcome
            elif isinstance(exc, errors.TableConflictError):
                return outcome
            unknown = unknown or isinstance(exc, errors.TableUnansweredError)
            if self._clock() >= deadline:
                if unknown:
                    return result.Err(errors.TableUnansweredError(str(exc)))
                return outcome
            self._sleep(backoff_s * (0.5 + secrets.randbelow(512) / 512))
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    def _read_back(
        self, transaction: Transaction
    ) -> result.Result[int, errors.TableError]:
        """Checks by the row's token whether an unanswered commit took effect."""
        row = self.read_one(transaction.puts[0][0], urgent=True)
        if row.is_err():
            return result.Err(errors.TableUnansweredError("read back failed"))
        if row.ok_value.token == transaction.token:
            return result.Ok(row.ok_value.version)
        return result.Err(errors.TableConflictError("another write was first"))

    def _call(
        self, kind: str, urgent: bool, call: Callable[[], result.Result]
    ) -> result.Result:
        now = self._clock()
        if now < self._open_until_s and not urgent:
            metrics.TABLE_CALLS.labels(kind, "breaker").inc()
            return result.Err(
                errors.TableUnreachableError("table circuit breaker is open")
            )
        self._wait_for_budget(urgent)
        started = self._clock()
        outcome = call()
        metrics.TABLE_SECONDS.labels(kind).observe(self._clock() - started)
        self._record_outcome(kind, outcome)
        return outcome

    def _wait_for_budget(self, urgent: bool) -> None:
        """Waits for a token; urgent calls get theirs in order of arrival.

        While too many calls wait, the order is left to chance: in turn, each
        would be answered too late for its caller.
        """
        interval_s = 1.0 / self._bucket.rate_per_s
        while urgent:
            now = self._clock()
            if self._bucket.wait_s(now) <= MAX_ORDERED_WAIT_S:
                # Calls that wait and try again might be overtaken for seconds.
                wait_s = self._bucket.reserve(now)
                if wait_s > 0:
                    self._sleep(wait_s)
                return
            self._sleep(interval_s)
        kept = URGENT_RESERVE_RATIO * self._bucket.rate_per_s
        while True:
            if self._bucket.refill(self._clock()) > kept:
                if self._bucket.take(self._clock()):
                    return
            self._sleep(interval_s)

    def _record_outcome(self, kind: str, outcome: result.Result) -> None:
        failed = outcome.is_err() and not isinstance(
            outcome.err_value, errors.TableConflictError
        )
        label = "ok" if outcome.is_ok() else "failed" if failed else "conflict"
        metrics.TABLE_CALLS.labels(kind, label).inc()
        if not failed:
            self._failures = 0
            self._open_s = BREAKER_MIN_OPEN_S
            return
        self._failures += 1
        if self._failures >= BREAKER_FAILURE_LIMIT:
            self._open_until_s = self._clock() + self._open_s
            self._open_s = min(BREAKER_MAX_OPEN_S, 2 * self._open_s)


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _rows(fields: dict) -> list[Row]:
    rows = []
    for row in fields["rows"]:
        if row["value"] is None:
            rows.append(Row(row["key"], row["version"], b"", None))
            continue
        stored = base64.b64decode(row["value"])
        rows.append(
            Row(
                row["key"],
                row["version"],
                stored[:TOKEN_BYTES],
                stored[TOKEN_BYTES:],
            )
        )
    return rows
