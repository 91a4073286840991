"""Registers this VM and follows the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
from google.protobuf import message

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import relay_choice
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import errors, pool, records, row_store

if TYPE_CHECKING:
    from collections.abc import Iterable

CALL_TIMEOUT_S = 1.0
# VMs join seldom; a long wait keeps the calls of many VMs few.
WATCH_WAIT_S = 8.0
# All VMs start at once; the pause batches their rows.
WATCH_SPACING_S = 1.0
RETRY_S = 0.5


class Members:
    """The VMs of the system, by name, as they have registered themselves.

    Rows of VMs that are gone stay: a listed VM may be down.

    Attributes:
      by_name: All registered VMs, this one included.
    """

    def __init__(
        self, node: str, own: workflow_pb2.Member, store: row_store.RowStore
    ) -> None:
        self.by_name: dict[str, workflow_pb2.Member] = {node: own}
        self._node = node
        self._own = own
        self._store = store
        self._greenlets = pool.Greenlets()

    def peers(self) -> list[relay_choice.Peer]:
        """Returns the other VMs."""
        return [
            relay_choice.Peer(
                f"{member.ip}:{member.port}",
                member.link_kbps,
                nearby=member.data_centre == self._own.data_centre,
            )
            for name, member in self.by_name.items()
            if name != self._node
        ]

    def count_nearby(self) -> int:
        """Returns how many VMs its data centre has, this one included."""
        return sum(
            member.data_centre == self._own.data_centre
            for member in self.by_name.values()
        )

    def start(self) -> None:
        """Registers this VM and follows the others."""
        self._greenlets.supervise(self._run)

    def close(self) -> None:
        """Stops following the others."""
        self._greenlets.close()

    def _run(self) -> None:
        ref = records.member(self._node)
        value = self._own.SerializeToString()
        while self._store.commit(
            row_store.Transaction(writes=((ref, value),)), CALL_TIMEOUT_S
        ).is_err():
            eventlet.sleep(RETRY_S)
        cursor = -1
        while True:
            cursor = self._read(cursor)
            eventlet.sleep(RETRY_S if cursor < 0 else WATCH_SPACING_S)

    def _read(self, cursor: int) -> int:
        """Reads all members, or the changes; returns the next cursor."""
        if cursor < 0:
            listed = row_store.scan_all(
                self._store, records.MEMBERS_TABLE, "", CALL_TIMEOUT_S
            )
            if listed.is_err():
                return cursor
            self._apply(listed.ok_value.rows)
            return listed.ok_value.version
        changes = self._store.watch(records.MEMBERS_TABLE, cursor, WATCH_WAIT_S)
        if changes.is_err():
            lost = isinstance(changes.err_value, errors.HistoryLostError)
            return -1 if lost else cursor
        self._apply(changes.ok_value.rows)
        return changes.ok_value.version

    def _apply(self, rows: Iterable[row_store.Row]) -> None:
        before = len(self.by_name)
        for row in rows:
            if row.ref.key == self._node:
                continue
            try:
                member = workflow_pb2.Member.FromString(row.value)
            except message.DecodeError as exc:
                logs.warning(
                    "member-unreadable", key=row.ref.key, error=str(exc)
                )
                continue
            self.by_name[row.ref.key] = member
        if len(self.by_name) != before:
            logs.event("members-changed", members=len(self.by_name))
