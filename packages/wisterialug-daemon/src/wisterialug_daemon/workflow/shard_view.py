"""What a VM has last seen of a shard's ownership."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from google.protobuf import message

from wisterialug_core.schema import workflow_pb2
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock

if TYPE_CHECKING:
    from wisterialug_daemon.workflow import row_store


@dataclasses.dataclass
class ShardView:
    """A shard's last known ownership.

    Attributes:
      changed_s: When its row was last seen to change.
      unanswered_s: When this process last tried to claim it and learned nothing
        of its row: the store may fail for the owner too.
      claim_s: When this process will claim it; 0 if not scheduled.
    """

    ownership: workflow_pb2.Ownership
    version: int = 0
    changed_s: float = 0.0
    unanswered_s: float = 0.0
    claim_s: float = 0.0
    backoff_until_s: float = 0.0

    def apply(self, row: row_store.Row) -> None:
        """Applies the shard's row if it is newer and can be read."""
        if row.version <= self.version:
            return
        try:
            ownership = workflow_pb2.Ownership.FromString(row.value)
        except message.DecodeError as exc:
            logs.warning(
                "owner-row-unreadable", shard=row.ref.part, error=str(exc)
            )
            return
        if ownership.owner != self.ownership.owner:
            logs.event(
                "shard-owner-seen",
                shard=row.ref.part,
                owner=ownership.owner,
                epoch=ownership.epoch,
            )
        self.ownership = ownership
        self.version = row.version
        self.changed_s = clock.now_s()
        self.claim_s = 0.0
