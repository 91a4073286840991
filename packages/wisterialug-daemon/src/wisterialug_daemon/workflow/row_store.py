"""Interface of a row store with transactions and a change feed."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING, NamedTuple

from wisterialug_daemon.workflow import errors

if TYPE_CHECKING:
    import result


class RowRef(NamedTuple):
    """Identifies a row; a transaction within one part costs less."""

    table: str
    part: str
    key: str


class Row(NamedTuple):
    """A row as read; version 0 if it does not exist."""

    ref: RowRef
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Changes of rows, made only if all conditions hold.

    Attributes:
      conditions: Versions that rows must have; 0 for a row that must not
        exist.
    """

    conditions: tuple[tuple[RowRef, int], ...] = ()
    writes: tuple[tuple[RowRef, bytes], ...] = ()
    removes: tuple[RowRef, ...] = ()


class Transfer(NamedTuple):
    """How an answer of the store has arrived.

    Attributes:
      address: Who has sent it: the store, or a VM that relays its answers.
      waited_s: From the call to the beginning of the answer.
      body_s: From there to its last byte.
    """

    address: str
    waited_s: float
    body_s: float
    size_bytes: int


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """Rows of a part at one version, by key; `more` if some are left out."""

    rows: tuple[Row, ...]
    more: bool
    version: int
    transfer: Transfer | None = None


@dataclasses.dataclass(frozen=True)
class Changes:
    """Rows of a table that changed after a version, in order, as they are now.

    A row is in one of both lists only: it may be removed and written again.
    """

    rows: tuple[Row, ...]
    removed: tuple[RowRef, ...]
    version: int
    transfer: Transfer | None = None


@dataclasses.dataclass(frozen=True)
class ConflictError(errors.StoreError):
    """Reports a transaction whose conditions did not hold."""

    rows: tuple[Row, ...]

    def __str__(self) -> str:
        return f"transaction conflict: {len(self.rows)} rows changed"


class RowReader(abc.ABC):
    """What can be read of a store."""

    @abc.abstractmethod
    def scan(
        self,
        table: str,
        part: str,
        first_key: str = "",
        end_key: str = "",
        *,
        timeout_s: float,
    ) -> result.Result[Snapshot, errors.StoreError]:
        """Reads rows of a part from a key up to another, exclusive."""

    @abc.abstractmethod
    def watch(
        self,
        table: str,
        after: int,
        wait_s: float,
        max_bytes: int | None = None,
    ) -> result.Result[Changes, errors.StoreError]:
        """Waits for changes of a table after a version.

        Args:
          table: The table.
          after: Version of the latest change that is known.
          wait_s: How long to wait for a change.
          max_bytes: A larger answer is not read, and AnswerTooLargeError is
            returned: the store sends each change of a row. None for any size.
        """


class RowStore(RowReader):
    """A store that loses no acknowledged change."""

    def outage_s(self) -> float:
        """Returns for how long no call has succeeded; 0 if the last one did."""
        return 0.0

    @abc.abstractmethod
    def commit(
        self, transaction: Transaction, timeout_s: float
    ) -> result.Result[int, errors.StoreError]:
        """Changes all rows or none; returns the version of the change."""


def scan_row(
    store: RowStore, ref: RowRef, timeout_s: float
) -> result.Result[Snapshot, errors.StoreError]:
    """Reads one row; the snapshot is empty if there is none."""
    return store.scan(
        ref.table, ref.part, ref.key, ref.key + "\0", timeout_s=timeout_s
    )


def scan_all(
    store: RowStore, table: str, part: str, timeout_s: float
) -> result.Result[Snapshot, errors.StoreError]:
    """Reads all rows of a part, page by page.

    Returns:
      The rows with the version of the first page, so that a watch from there
      misses nothing; later pages may be newer.
    """
    first = store.scan(table, part, timeout_s=timeout_s)
    if first.is_err():
        return first
    rows = list(first.ok_value.rows)
    page = first
    while page.ok_value.more:
        # The smallest key after the last one.
        after = rows[-1].ref.key + "\0"
        page = store.scan(table, part, after, timeout_s=timeout_s)
        if page.is_err():
            return page
        rows += page.ok_value.rows
    return first.map(
        lambda snapshot: dataclasses.replace(
            snapshot, rows=tuple(rows), more=False
        )
    )
