"""Evacuations as an operator writes them to the in-memory store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.workflow import evacuations
from wisterialug_daemon.workflow import row_store, sources

if TYPE_CHECKING:
    from collections.abc import Iterable

    import result

    from wisterialug_daemon.workflow import errors

TABLE = "evacuations"
TIMEOUT_S = 1.0


class EvacuationRows(sources.ConfigSource):
    """Reads one row for each data centre that is out of service."""

    def __init__(self, rows: row_store.RowStore) -> None:
        self._rows = rows

    def read(self) -> result.Result[sources.ConfigChange, errors.StoreError]:
        """Reads all evacuations."""
        return self._rows.scan(TABLE, "", timeout_s=TIMEOUT_S).map(
            lambda snapshot: _change(
                evacuations.Changes(
                    _names(row.ref for row in snapshot.rows),
                    frozenset(),
                    True,
                    snapshot.version,
                )
            )
        )

    def watch(
        self, cursor: int, wait_s: float
    ) -> result.Result[sources.ConfigChange, errors.StoreError]:
        """Waits for changes."""
        return self._rows.watch(TABLE, cursor, wait_s).map(
            lambda changes: _change(
                evacuations.Changes(
                    _names(row.ref for row in changes.rows),
                    _names(changes.removed),
                    False,
                    changes.version,
                )
            )
        )


def evacuate(rows: row_store.RowStore, *data_centres: str) -> None:
    """Takes data centres out of service."""
    writes = tuple((_ref(name), b"") for name in data_centres)
    rows.commit(row_store.Transaction(writes=writes), TIMEOUT_S)


def take_back(rows: row_store.RowStore, *data_centres: str) -> None:
    """Takes data centres back into service."""
    removes = tuple(map(_ref, data_centres))
    rows.commit(row_store.Transaction(removes=removes), TIMEOUT_S)


def _ref(data_centre: str) -> row_store.RowRef:
    return row_store.RowRef(TABLE, "", data_centre)


def _names(refs: Iterable[row_store.RowRef]) -> frozenset[str]:
    return frozenset(ref.key for ref in refs)


def _change(changes: evacuations.Changes) -> sources.ConfigChange:
    return sources.ConfigChange(None, changes.version, changes)
