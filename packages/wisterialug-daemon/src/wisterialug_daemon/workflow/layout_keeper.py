"""The split of workers into shards, as the store tells it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from google.protobuf import message

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import layouts
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock, records, row_store

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_core.workflow import model

COMMIT_TIMEOUT_S = 1.0
# Racks are placed once no worker was added for this long, so that the first
# few of a new fleet are not taken for all of it; workers register within a
# second of their start.
SETTLE_S = 1.0
# Jobs do not wait longer than this for a list that goes on growing.
MAX_SETTLE_S = 3.0


class LayoutKeeper:
    """Knows the newest layout; extends it for the owner of the first shard.

    Attributes:
      layout: The newest layout seen.
    """

    def __init__(self, store: row_store.RowStore) -> None:
        self.layout = layouts.Layout()
        self._store = store
        self._version = 0
        # Workers of the latest list, and since when there are as many.
        self._listed = 0
        self._grown_s = 0.0
        self._unplaced_since_s = 0.0

    def apply(self, row: row_store.Row) -> bool:
        """Takes over a row of the layout; tells whether it is newer."""
        if row.version <= self._version:
            return False
        try:
            read = workflow_pb2.Layout.FromString(row.value)
        except message.DecodeError as exc:
            logs.warning(
                "layout-unreadable", version=row.version, error=str(exc)
            )
            return False
        self._take(read, row.version)
        return True

    def extend(self, reports: Iterable[model.WorkerReport]) -> bool:
        """Places new racks; tells whether the layout has changed.

        Racks that another VM placed meanwhile are seen by its row, and what is
        left is placed the next time.
        """
        listed = list(reports)
        if not self._has_settled(len(listed)):
            return False
        self._unplaced_since_s = 0.0
        extended = layouts.extend(self.layout, listed)
        if extended is None:
            return False
        ref = records.layout()
        outcome = self._store.commit(
            row_store.Transaction(
                conditions=((ref, self._version),),
                writes=((ref, extended.SerializeToString()),),
            ),
            COMMIT_TIMEOUT_S,
        )
        if outcome.is_err():
            logs.event("racks-not-placed", error=str(outcome.err_value))
            return False
        if outcome.ok_value <= self._version:
            return False
        self._take(extended, outcome.ok_value)
        return True

    def _has_settled(self, listed: int) -> bool:
        now_s = clock.now_s()
        self._unplaced_since_s = self._unplaced_since_s or now_s
        if listed > self._listed:
            self._grown_s = now_s
        self._listed = listed
        return (
            now_s - self._grown_s > SETTLE_S
            or now_s - self._unplaced_since_s > MAX_SETTLE_S
        )

    def _take(self, read: workflow_pb2.Layout, version: int) -> None:
        self._version = version
        self.layout = layouts.Layout(read)
        logs.event(
            "layout",
            version=version,
            shards=self.layout.shards,
            racks=len(read.racks),
        )
