"""An in-memory row store that injects outages, delays and lost replies."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
import eventlet.event
import result

from wisterialug_daemon.workflow import clock, errors, row_store

if TYPE_CHECKING:
    import random

LATENCY_S = 0.004
# Entries of one transaction, as on the platform.
MAX_ENTRIES = 100
# Sizes of a row and of a transaction, in base64, likewise.
MAX_ROW_BYTES = 65_536
MAX_CALL_BYTES = 1_000_000


class MemoryStore(row_store.RowStore):
    """Rows shared by all clients in this process.

    Attributes:
      down: All calls are refused.
      rejected: Why transactions were rejected.
      limits_sizes: The sizes of rows and transactions are limited.
      lost_reply_rate: Fraction of commits that are applied without a reply.
      late_commit_rate: Fraction of commits that are applied after a delay, if
        their conditions hold then, without a reply.
    """

    def __init__(self, rng: random.Random) -> None:
        self.down = False
        self.rejected: list[str] = []
        self.limits_sizes = True
        self.lost_reply_rate = 0.0
        self.late_commit_rate = 0.0
        self.commit_delay_s = 1.0
        self._rng = rng
        self._version = 0
        self._rows: dict[row_store.RowRef, tuple[int, bytes]] = {}
        self._log: list[tuple[int, row_store.RowRef, bytes | None]] = []
        self._compacted_version = 0
        self._changed = eventlet.event.Event()
        self._watch_count = 0
        self._last_stalled_watch = 0

    def value(self, ref: row_store.RowRef) -> bytes | None:
        """Returns the current value of a row."""
        row = self._rows.get(ref)
        return row[1] if row else None

    def version(self) -> int:
        """Returns the version of the latest change."""
        return self._version

    def refs(self) -> list[row_store.RowRef]:
        """Returns the references of all rows."""
        return list(self._rows)

    def history(
        self, table: str, after: int
    ) -> list[tuple[int, row_store.RowRef, bytes | None]]:
        """Returns each change of a table after a version, in order."""
        return [
            change
            for change in self._log
            if change[0] > after and change[1].table == table
        ]

    def compact_history(self) -> None:
        """Drops the log of changes that watches resume from."""
        self._log.clear()
        self._compacted_version = self._version

    def stall_watches(self) -> None:
        """Makes all pending watches time out without an answer."""
        self._last_stalled_watch = self._watch_count

    def commit(
        self, transaction: row_store.Transaction, timeout_s: float
    ) -> result.Result[int, errors.StoreError]:
        """Changes all rows or none; returns the version of the change."""
        eventlet.sleep(LATENCY_S)
        if self.down:
            return result.Err(errors.StoreRefusedError("store down"))
        error = self.invalid(transaction)
        if error:
            self.rejected.append(error)
            return result.Err(errors.StoreRejectedError(error))
        if self._rng.random() < self.late_commit_rate:
            eventlet.spawn_after(self.commit_delay_s, self._apply, transaction)
            eventlet.sleep(min(timeout_s, 0.2))
            return result.Err(errors.StoreUnknownError("commit delayed"))
        outcome = self._apply(transaction)
        if self._rng.random() < self.lost_reply_rate:
            eventlet.sleep(min(timeout_s, 0.2))
            return result.Err(errors.StoreUnknownError("reply lost"))
        return outcome

    def invalid(self, transaction: row_store.Transaction) -> str:
        """Returns why a transaction is not valid; empty if it is."""
        entries = (
            len(transaction.conditions)
            + len(transaction.writes)
            + len(transaction.removes)
        )
        if entries > MAX_ENTRIES:
            return f"{entries} entries"
        if not self.limits_sizes:
            return ""
        sizes = [len(value) for _, value in transaction.writes]
        if max(sizes, default=0) > MAX_ROW_BYTES:
            return f"a row of {max(sizes)} bytes"
        if sum(sizes) * 4 // 3 > MAX_CALL_BYTES:
            return f"rows of {sum(sizes)} bytes"
        return ""

    def scan(
        self,
        table: str,
        part: str,
        first_key: str = "",
        end_key: str = "",
        *,
        timeout_s: float,
    ) -> result.Result[row_store.Snapshot, errors.StoreError]:
        """Reads rows of a part from a key up to another, exclusive."""
        del timeout_s
        eventlet.sleep(LATENCY_S)
        if self.down:
            return result.Err(errors.StoreRefusedError("store down"))
        rows = [
            row_store.Row(ref, version, value)
            for ref, (version, value) in sorted(self._rows.items())
            if ref.table == table
            and ref.part == part
            and ref.key >= first_key
            and (not end_key or ref.key < end_key)
        ]
        return result.Ok(row_store.Snapshot(tuple(rows), False, self._version))

    def watch(
        self,
        table: str,
        after: int,
        wait_s: float,
        max_bytes: int | None = None,
    ) -> result.Result[row_store.Changes, errors.StoreError]:
        """Waits for changes of a table after a version."""
        # Answers hold the latest change of each row only.
        del max_bytes
        until_s = clock.now_s() + wait_s
        self._watch_count += 1
        number = self._watch_count
        while True:
            if number <= self._last_stalled_watch:
                eventlet.sleep(max(0.0, until_s - clock.now_s()))
                return result.Err(errors.StoreUnknownError("watch stalled"))
            if self.down:
                return result.Err(errors.StoreRefusedError("store down"))
            if after < self._compacted_version:
                return result.Err(errors.HistoryLostError())
            changes = self._changes(table, after)
            left_s = until_s - clock.now_s()
            if changes.rows or changes.removed or left_s <= 0:
                return result.Ok(changes)
            with eventlet.Timeout(left_s, False):
                self._changed.wait()

    def _changes(self, table: str, after: int) -> row_store.Changes:
        newest: dict[row_store.RowRef, tuple[int, bytes | None]] = {}
        for version, ref, value in self.history(table, after):
            newest[ref] = (version, value)
        rows = tuple(
            row_store.Row(ref, version, value)
            for ref, (version, value) in newest.items()
            if value is not None
        )
        removed = tuple(
            ref for ref, (_, value) in newest.items() if value is None
        )
        return row_store.Changes(rows, removed, self._version)

    def _apply(
        self, transaction: row_store.Transaction
    ) -> result.Result[int, errors.StoreError]:
        current = [
            row_store.Row(ref, *self._rows.get(ref, (0, b"")))
            for ref, _ in transaction.conditions
        ]
        expected = [version for _, version in transaction.conditions]
        if [row.version for row in current] != expected:
            return result.Err(row_store.ConflictError(tuple(current)))
        self._version += 1
        for ref, value in transaction.writes:
            self._rows[ref] = (self._version, value)
            self._log.append((self._version, ref, value))
        for ref in transaction.removes:
            if self._rows.pop(ref, None):
                self._log.append((self._version, ref, None))
        changed, self._changed = self._changed, eventlet.event.Event()
        changed.send()
        return result.Ok(self._version)
