"""Reads what other shards have learned of interference and run times."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import eventlet
from google.protobuf import message

from wisterialug_core.schema import workflow_pb2
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import records, row_store

if TYPE_CHECKING:
    from wisterialug_daemon.workflow import layout_keeper, owner

# As often as owners save what they learn.
READ_INTERVAL_S = 3.0
# Shards read per round, in turn: the cost does not grow with their number.
SHARDS_PER_ROUND = 4
READ_TIMEOUT_S = 1.0


class SharedEffects:
    """Adds the estimates of other shards to those of one owner."""

    def __init__(
        self,
        shard_owner: owner.ShardOwner,
        store: row_store.RowStore,
        keeper: layout_keeper.LayoutKeeper,
    ) -> None:
        self._owner = shard_owner
        self._store = store
        self._keeper = keeper
        self._next = 0
        # Versions of the rows read last, by shard.
        self._versions: dict[str, int] = {}

    def run(self) -> None:
        """Reads until the shard is lost."""
        while not self._owner.lost:
            eventlet.sleep(READ_INTERVAL_S)
            for shard in self._next_shards():
                self._read(shard)

    def _next_shards(self) -> list[str]:
        names = [
            records.shard_name(number)
            for number in range(self._keeper.layout.shards)
        ]
        names.remove(self._owner.rows.shard)
        if not names:
            return []
        start = self._next % len(names)
        self._next = start + SHARDS_PER_ROUND
        count = min(SHARDS_PER_ROUND, len(names))
        return list(
            itertools.islice(itertools.cycle(names), start, start + count)
        )

    def _read(self, shard: str) -> None:
        ref = records.effects(shard)
        read = row_store.scan_row(self._store, ref, READ_TIMEOUT_S)
        if read.is_err():
            # The next round reads it again; old estimates stay in use.
            return
        for row in read.ok_value.rows:
            if row.version <= self._versions.get(shard, 0):
                continue
            self._versions[shard] = row.version
            try:
                effects = workflow_pb2.Effects.FromString(row.value)
            except message.DecodeError as exc:
                logs.warning("effects-unreadable", shard=shard, error=str(exc))
                continue
            self._owner.interference.factors.set_other(shard, effects)
            self._owner.durations.set_other(shard, effects)
