"""Follows and extends the layout of workers and shards."""

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
    from wisterialug_daemon.workflow import members

COMMIT_TIMEOUT_S = 1.0
# Racks are assigned once no worker and no VM was added for this long, so that
# the first few of a new fleet are not taken for all of it; both register within
# a second of their start.
SETTLE_S = 1.0
# Jobs do not wait longer than this for a list that keeps growing.
MAX_SETTLE_S = 3.0


class LayoutKeeper:
    """Tracks the newest layout; the first shard's owner extends it.

    Attributes:
      layout: The newest layout seen.
      damaged: The row in the store can't be read.
    """

    def __init__(
        self,
        store: row_store.RowStore,
        vms: members.Members,
        remote_slowdown: float = 1.0,
    ) -> None:
        self._remote_slowdown = (
            remote_slowdown
            if remote_slowdown > 1
            else layouts.DEFAULT_REMOTE_SLOWDOWN
        )
        self.layout = layouts.Layout()
        self.damaged = False
        self._store = store
        self._vms = vms
        self._version = 0
        # Workers and VMs listed, and when their number last grew.
        self._listed = 0
        self._grown_s = 0.0
        self._unplaced_since_s = 0.0

    def apply(self, row: row_store.Row) -> bool:
        """Applies the layout's row if it is newer; returns whether it did."""
        if row.version <= self._version:
            return False
        try:
            decoded = workflow_pb2.Layout.FromString(row.value)
        except message.DecodeError as exc:
            logs.warning(
                "layout-unreadable", version=row.version, error=str(exc)
            )
            self._version = row.version
            self.damaged = True
            return False
        self._set_layout(decoded, row.version)
        return True

    def extend(self, reports: Iterable[model.WorkerReport]) -> bool:
        """Assigns new racks to shards; returns whether the layout has changed.

        If another VM changed it, the commit fails; call again after `apply`.
        """
        listed = list(reports)
        vms = list(self._vms.by_name.values())
        if not self._has_settled(len(listed) + len(vms)):
            return False
        self._unplaced_since_s = 0.0
        extended = layouts.extend(self.layout, listed, vms)
        if extended is None:
            return False
        return self._commit(extended)

    def rewrite(self) -> bool:
        """Replaces an unreadable row by the layout that this VM knows.

        A layout that was drawn up anew could give workers to other shards
        while their owners go on, so an owner that knows none does not do so
        before those that know one had time to.
        """
        if not self.damaged or not self.layout.message.racks:
            return False
        return self._commit(self.layout.message)

    def _commit(self, changed: workflow_pb2.Layout) -> bool:
        ref = records.layout()
        outcome = self._store.commit(
            row_store.Transaction(
                conditions=((ref, self._version),),
                writes=((ref, changed.SerializeToString()),),
            ),
            COMMIT_TIMEOUT_S,
        )
        if outcome.is_err():
            logs.event("racks-not-placed", error=str(outcome.err_value))
            return False
        if outcome.ok_value <= self._version:
            return False
        self._set_layout(changed, outcome.ok_value)
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

    def _set_layout(self, decoded: workflow_pb2.Layout, version: int) -> None:
        self._version = version
        self.damaged = False
        self.layout = layouts.Layout(decoded, self._remote_slowdown)
        logs.event(
            "layout",
            version=version,
            shards=self.layout.shards,
            racks=len(decoded.racks),
        )
