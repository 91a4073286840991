"""Removes the rows of refused jobs once no attempt for them can arrive."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import eventlet

from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock, row_store

if TYPE_CHECKING:
    from collections.abc import Iterable

# Calls to the store are carried out seconds late at most; callers repeat
# requests for as long as they can ask for a job's state.
KEPT_S = 120.0
# Rows removed per round, each by a call: a row that has changed stays.
MAX_REMOVED = 20
CALL_TIMEOUT_S = 1.0


class RefusalRows:
    """Rows of refused jobs that this VM has written, the oldest first."""

    def __init__(self, store: row_store.RowStore) -> None:
        self._store = store
        self._rows: collections.deque[tuple[float, row_store.RowRef, int]] = (
            collections.deque()
        )
        self._removing = False

    def note(self, ref: row_store.RowRef, version: int) -> None:
        """Notes a row; starts to remove those that have expired."""
        self._rows.append((clock.now_s() + KEPT_S, ref, version))
        if not self._removing:
            self._removing = True
            eventlet.spawn_n(self._remove, list(self._take_expired()))

    def _take_expired(self) -> Iterable[tuple[row_store.RowRef, int]]:
        for _ in range(MAX_REMOVED):
            if not self._rows or self._rows[0][0] > clock.now_s():
                return
            yield self._rows.popleft()[1:]

    def _remove(self, rows: list[tuple[row_store.RowRef, int]]) -> None:
        try:
            for ref, version in rows:
                removed = self._store.commit(
                    row_store.Transaction(
                        conditions=((ref, version),), removes=(ref,)
                    ),
                    CALL_TIMEOUT_S,
                )
                if removed.is_err():
                    logs.event(
                        "refusal-kept", key=ref.key, why=str(removed.err_value)
                    )
        finally:
            self._removing = False
