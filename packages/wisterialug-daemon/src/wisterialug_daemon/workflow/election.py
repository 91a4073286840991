"""Claims shards that have no live owner and runs them."""

from __future__ import annotations

import dataclasses
import functools
import random
from typing import TYPE_CHECKING

import eventlet
from google.protobuf import message

from wisterialug_core.schema import workflow_pb2
from wisterialug_daemon import logs, metrics
from wisterialug_daemon.workflow import (
    clock,
    errors,
    layout_keeper,
    owner,
    pool,
    records,
    row_store,
    shard_store,
)

if TYPE_CHECKING:
    from wisterialug_core.workflow import layouts
    from wisterialug_daemon.workflow import settings, sources, worker_calls

# An owner that misses three renewals is presumed dead.
OWNER_TIMEOUT_S = 1.7
# Random claim delay, so that candidates do not all claim at once.
MAX_JITTER_S = 0.15
# Further claim delay per owned shard, divided by the VM's processors.
CLAIM_DELAY_S = 0.25
MAX_CLAIM_DELAY_S = 1.0
CHECK_INTERVAL_S = 0.15
# Each VM reads the renewals of all shards; the pause batches them.
WATCH_SPACING_S = 0.35
WATCH_WAIT_S = 1.0
RETRY_S = 0.3
COMMIT_TIMEOUT_S = 1.0
# A process that lost or released a shard does not claim it for this time.
CLAIM_BACKOFF_S = 4.0


@dataclasses.dataclass
class _Shard:
    """A shard's last known ownership.

    Attributes:
      changed_s: When its row was last seen to change.
      claim_s: When this process will claim it; 0 if not scheduled.
    """

    ownership: workflow_pb2.Ownership
    version: int = 0
    changed_s: float = 0.0
    claim_s: float = 0.0
    backoff_until_s: float = 0.0


class Election:
    """Watches the owners of all shards; runs those that it claims."""

    def __init__(
        self,
        cfg: settings.WorkflowSettings,
        store: row_store.RowStore,
        calls: worker_calls.WorkerCalls,
        registry: sources.WorkerRegistry,
    ) -> None:
        self._cfg = cfg
        self._store = store
        self._calls = calls
        self._registry = registry
        self._keeper = layout_keeper.LayoutKeeper(store)
        self._shards: dict[str, _Shard] = {}
        self._add_shards()
        self._owned: dict[str, owner.ShardOwner] = {}
        self._greenlets = pool.Greenlets()
        # When the store became reachable, 0 if not; silence counts from then.
        self._reachable_since_s = 0.0
        self._closing = False

    def start(self) -> None:
        """Starts to watch and claim shards."""
        self._greenlets.supervise(self._watch)
        self._greenlets.supervise(self._check)

    def give_up_all(self) -> None:
        """Starts to release all shards and claims no more."""
        self._closing = True
        for shard_owner in self._owned.values():
            shard_owner.give_up("the process is stopping")

    def owns_any(self) -> bool:
        """Returns whether any shard is still owned here."""
        return bool(self._owned)

    def owned(self) -> list[str]:
        """Returns the shards that are owned here."""
        return list(self._owned)

    def close(self) -> None:
        """Stops all activity at once, without releasing shards."""
        self._closing = True
        for shard_owner in self._owned.values():
            shard_owner.lose("the process is exiting")
        self._greenlets.close()

    @property
    def layout(self) -> layouts.Layout:
        """Returns the newest known layout of workers and shards."""
        return self._keeper.layout

    def ownership(self, shard: str) -> workflow_pb2.Ownership:
        """Returns the shard's latest known ownership."""
        return self._shards[shard].ownership

    def ownership_age_s(self, shard: str) -> float:
        """Returns the time since the ownership was last seen to change."""
        return clock.now_s() - self._shards[shard].changed_s

    def _watch(self) -> None:
        cursor = -1
        while not self._closing:
            if cursor < 0:
                outcome = self._read_all()
            else:
                outcome = self._store.watch(
                    records.OWNERS_TABLE, cursor, WATCH_WAIT_S
                ).map(lambda changes: (changes.rows, changes.version))
            if outcome.is_err():
                if self._reachable_since_s:
                    logs.event("owners-not-seen", error=str(outcome.err_value))
                self._reachable_since_s = 0.0
                if isinstance(outcome.err_value, errors.HistoryLostError):
                    cursor = -1
                eventlet.sleep(RETRY_S)
                continue
            rows, cursor = outcome.ok_value
            if not self._reachable_since_s:
                self._reachable_since_s = clock.now_s()
            for row in rows:
                self._apply_row(row)
            eventlet.sleep(WATCH_SPACING_S)

    def _read_all(self):  # noqa: ANN202 - a result of rows and a version
        """Reads the layout and all owners, with the version of the layout."""
        ref = records.layout()
        outcome = self._store.scan(
            ref.table, ref.part, timeout_s=COMMIT_TIMEOUT_S
        )
        if outcome.is_err():
            return outcome
        version = outcome.ok_value.version
        rows = list(outcome.ok_value.rows)
        for row in rows:
            self._apply_row(row)
        for shard in list(self._shards):
            outcome = self._store.scan(
                records.OWNERS_TABLE, shard, timeout_s=COMMIT_TIMEOUT_S
            )
            if outcome.is_err():
                return outcome
            rows += outcome.ok_value.rows
        return outcome.map(lambda _: (rows, version))

    def _add_shards(self) -> None:
        for number in range(self.layout.shards):
            self._shards.setdefault(
                records.shard_name(number), _Shard(workflow_pb2.Ownership())
            )

    def _apply_layout(self, row: row_store.Row) -> None:
        if self._keeper.apply(row):
            self._add_shards()
            for shard_owner in list(self._owned.values()):
                shard_owner.apply_layout()

    def _apply_row(self, row: row_store.Row) -> None:
        if row.ref == records.layout():
            self._apply_layout(row)
            return
        shard = self._shards.get(row.ref.part)
        if shard is None or row.version <= shard.version:
            return
        try:
            ownership = workflow_pb2.Ownership.FromString(row.value)
        except message.DecodeError as exc:
            logs.warning(
                "owner-row-unreadable", shard=row.ref.part, error=str(exc)
            )
            return
        if ownership.owner != shard.ownership.owner:
            logs.event(
                "shard-owner-seen",
                shard=row.ref.part,
                owner=ownership.owner,
                epoch=ownership.epoch,
            )
        shard.ownership = ownership
        shard.version = row.version
        shard.changed_s = clock.now_s()
        shard.claim_s = 0.0

    def _check(self) -> None:
        while not self._closing:
            eventlet.sleep(CHECK_INTERVAL_S)
            if not self._reachable_since_s:
                continue
            self._add_shards()
            for name, shard in list(self._shards.items()):
                if name not in self._owned and self._is_free(shard):
                    self._maybe_claim(name, shard)

    def _is_free(self, shard: _Shard) -> bool:
        now_s = clock.now_s()
        if now_s < shard.backoff_until_s:
            return False
        if not shard.ownership.owner or self._is_earlier_process(shard):
            return True
        silent_since_s = max(shard.changed_s, self._reachable_since_s)
        return now_s - silent_since_s > OWNER_TIMEOUT_S

    def _is_earlier_process(self, shard: _Shard) -> bool:
        """Returns whether the owner is an earlier process of this VM."""
        owner_id = shard.ownership.owner
        same_vm = owner_id.rpartition("/")[0] == self._cfg.node
        return same_vm and owner_id != self._cfg.owner_id

    def _maybe_claim(self, name: str, shard: _Shard) -> None:
        now_s = clock.now_s()
        if not shard.claim_s:
            if self._is_earlier_process(shard):
                self._claim(name, shard)
                return
            # VMs with more processors per owned shard claim earlier: they have
            # the most capacity for an owner.
            owned = len(self._owned) + 1
            delay_s = CLAIM_DELAY_S * owned / self._cfg.processors
            shard.claim_s = (
                now_s
                + min(MAX_CLAIM_DELAY_S, delay_s)
                + random.uniform(0, MAX_JITTER_S)
            )
        if now_s < shard.claim_s:
            return
        shard.claim_s = 0.0
        self._claim(name, shard)

    def _claim(self, name: str, shard: _Shard) -> None:
        ownership = workflow_pb2.Ownership(
            owner=self._cfg.owner_id,
            epoch=shard.ownership.epoch + 1,
            renewal=1,
            waiting=shard.ownership.waiting,
        )
        before = shard.ownership.owner
        sent_s = clock.now_s()
        silent_s = sent_s - shard.changed_s if shard.changed_s else -1
        outcome = self._store.commit(
            row_store.Transaction(
                conditions=((records.owner(name), shard.version),),
                writes=((records.owner(name), ownership.SerializeToString()),),
            ),
            COMMIT_TIMEOUT_S,
        )
        if outcome.is_err():
            # The watch shows whether the claim took effect; if it did, it is
            # not renewed and expires like any other.
            logs.event(
                "shard-not-taken", shard=name, error=str(outcome.err_value)
            )
            shard.backoff_until_s = sent_s + RETRY_S
            if not isinstance(outcome.err_value, errors.ConflictError):
                # The store may fail for the owner too; count its silence anew.
                shard.changed_s = clock.now_s()
            return
        logs.event(
            "shard-taken",
            shard=name,
            epoch=ownership.epoch,
            before=before,
            silent_s=round(silent_s, 3),
        )
        if silent_s >= 0:
            metrics.TAKEOVER_SECONDS.observe(silent_s)
        shard.ownership = ownership
        shard.version = outcome.ok_value
        shard.changed_s = clock.now_s()
        rows = shard_store.ShardStore(
            self._store, name, ownership, outcome.ok_value, sent_s
        )
        shard_owner = owner.ShardOwner(
            self._cfg,
            rows,
            self._store,
            self._calls,
            self._registry,
            self._keeper,
            functools.partial(self._free_millicores_elsewhere, name),
        )
        self._owned[name] = shard_owner
        for other in self._shards.values():
            # Claim delays grow with the owned shards; schedule claims anew.
            other.claim_s = 0.0
        self._greenlets.spawn(self._run, name, shard_owner)

    def _free_millicores_elsewhere(self, name: str) -> dict[str, int]:
        """Returns the free millicores of other shards with a live owner."""
        now_s = clock.now_s()
        return {
            other: shard.ownership.room_millicores
            for other, shard in self._shards.items()
            if other != name
            and shard.ownership.owner
            and now_s - shard.changed_s < OWNER_TIMEOUT_S
        }

    def _run(self, name: str, shard_owner: owner.ShardOwner) -> None:
        try:
            shard_owner.run()
        finally:
            shard_owner.lose("ended")
            self._owned.pop(name, None)
            shard = self._shards[name]
            shard.backoff_until_s = clock.now_s() + CLAIM_BACKOFF_S
