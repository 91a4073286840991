"""Claims shards that have no live owner and runs them."""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING

import eventlet
import eventlet.event

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    awaited_workers,
    evacuations,
    ownership,
    version_times,
)
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
    shard_view,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialug_core.workflow import layouts
    from wisterialug_daemon.workflow import (
        members,
        settings,
        sources,
        worker_calls,
    )

# An owner that misses three renewals is presumed dead.
OWNER_TIMEOUT_S = 1.7
# Random claim delay, as VMs that see different owners may rank alike.
MAX_JITTER_S = 0.04
# Of a VM with one processor that knows no other yet; stronger ones claim earlier.
UNRANKED_DELAY_S = 0.25
UNRANKED_JITTER_S = 0.15
CHECK_INTERVAL_S = 0.05
# Batches the renewals of all shards; jobs are sent to shards by these loads.
WATCH_SPACING_S = 0.35
WATCH_WAIT_S = 1.0
RETRY_S = 0.3
COMMIT_TIMEOUT_S = 1.0
# A released shard is claimed again after this time: other VMs may be down.
BALANCE_BACKOFF_S = 1.5
# Between two checks whether this VM owns too much; doubled by each release.
FIRST_BALANCE_INTERVAL_S = 2.0
# Shards change owners no more often for balance; each change costs some 0.3 s.
MIN_HELD_S = 3.0


class Election:
    """Watches the owners of all shards; runs those that it claims.

    Attributes:
      seen_version: Latest version of the store that is known.
      version_times: When its versions were the newest.
    """

    def __init__(
        self,
        cfg: settings.WorkflowSettings,
        store: row_store.RowStore,
        calls: worker_calls.WorkerCalls,
        registry: sources.WorkerRegistry,
        vms: members.Members,
        evacuated: Callable[[], evacuations.Evacuations] = (
            lambda: evacuations.NONE
        ),
    ) -> None:
        self._cfg = cfg
        self._store = store
        self._calls = calls
        self._registry = registry
        self._vms = vms
        slowdown = cfg.remote_slowdown
        self._keeper = layout_keeper.LayoutKeeper(store, vms, slowdown)
        # Returns the data centres in which no runs may start now.
        self._evacuated = evacuated
        self.seen_version = 0
        self.version_times = version_times.VersionTimes()
        self._shards: dict[str, shard_view.ShardView] = {}
        self._add_shards()
        self._owned: dict[str, owner.ShardOwner] = {}
        self._greenlets = pool.Greenlets()
        # When the store became reachable, 0 if not; silence counts from then.
        self._reachable_since_s = 0.0
        self._closing = False
        # Sent while a claim is scheduled.
        self._claim_near = eventlet.event.Event()

    def start(self) -> None:
        """Starts to watch and claim shards."""
        self._greenlets.supervise(self._watch)
        self._greenlets.supervise(self._check)
        self._greenlets.supervise(self._balance)

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

    @property
    def knows_layout(self) -> bool:
        """Returns whether the layout could be read."""
        return not self._keeper.damaged

    def ownership(self, shard: str) -> workflow_pb2.Ownership:
        """Returns the shard's latest known ownership."""
        return self._view(shard).ownership

    def ownership_age_s(self, shard: str) -> float:
        """Returns the time since the ownership was last seen to change."""
        return clock.now_s() - self._view(shard).changed_s

    def _view(self, shard: str) -> shard_view.ShardView:
        if shard not in self._shards:
            # The layout has just grown.
            self._add_shards()
        return self._shards[shard]

    def _watch(self) -> None:
        cursor = -1
        while not self._closing:
            asked_s = clock.now_s()
            watched = cursor >= 0
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
            self.seen_version = max(self.seen_version, cursor)
            if not self._reachable_since_s:
                self._reachable_since_s = clock.now_s()
            for row in rows:
                self._apply_row(row)
            # A read may be behind, where the store has lost its history.
            if watched:
                self.version_times.note(cursor, asked_s)
            self._pause_watch()

    def _pause_watch(self) -> None:
        """Lets renewals pile up, unless this VM is about to claim a shard."""
        with eventlet.Timeout(WATCH_SPACING_S, False):
            self._claim_near.wait()
        self._claim_near = eventlet.event.Event()

    def _wake_watch(self) -> None:
        if not self._claim_near.ready():
            self._claim_near.send()

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
                records.shard_name(number),
                shard_view.ShardView(workflow_pb2.Ownership()),
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
        if shard is not None:
            shard.apply(row)

    def _check(self) -> None:
        while not self._closing:
            eventlet.sleep(CHECK_INTERVAL_S)
            if not self._reachable_since_s:
                continue
            self._add_shards()
            for name, shard in list(self._shards.items()):
                if name not in self._owned and self._is_free(shard):
                    self._maybe_claim(name, shard)

    def _is_free(self, shard: shard_view.ShardView) -> bool:
        now_s = clock.now_s()
        if now_s < shard.backoff_until_s:
            return False
        if not shard.ownership.owner or self._is_earlier_process(shard):
            return True
        silent_since_s = max(
            shard.changed_s, shard.unanswered_s, self._reachable_since_s
        )
        return now_s - silent_since_s > OWNER_TIMEOUT_S

    def _is_earlier_process(self, shard: shard_view.ShardView) -> bool:
        """Returns whether the owner is an earlier process of this VM."""
        owner_id = shard.ownership.owner
        same_vm = owner_id.rpartition("/")[0] == self._cfg.node
        return same_vm and owner_id != self._cfg.owner_id

    def _maybe_claim(self, name: str, shard: shard_view.ShardView) -> None:
        now_s = clock.now_s()
        if not shard.claim_s:
            if self._is_earlier_process(shard):
                self._claim(name, shard)
                return
            shard.claim_s = now_s + self._claim_delay_s(name)
            self._wake_watch()
        if now_s < shard.claim_s:
            # Another candidate may have claimed it meanwhile.
            self._wake_watch()
            return
        shard.claim_s = 0.0
        self._claim(name, shard)

    def _claim_delay_s(self, name: str) -> float:
        if len(self._vms.by_name) == 1:
            delay_s = UNRANKED_DELAY_S / self._cfg.processors
            return delay_s + random.uniform(0, UNRANKED_JITTER_S)
        delay_s = ownership.claim_delay_s(
            self._cfg.node, name, self._vms.by_name, self._count_owned()
        )
        return delay_s + random.uniform(0, MAX_JITTER_S)

    def _count_owned(self) -> dict[str, int]:
        """Counts the shards with a live owner, by VM."""
        now_s = clock.now_s()
        return ownership.count_owned(
            shard.ownership.owner
            for shard in self._shards.values()
            if now_s - shard.changed_s < OWNER_TIMEOUT_S
        )

    def _balance(self) -> None:
        """Releases shards that other VMs can carry better."""
        pause_s = FIRST_BALANCE_INTERVAL_S
        while not self._closing:
            eventlet.sleep(pause_s)
            now_s = clock.now_s()
            if any(
                now_s - shard_owner.acquired_s < MIN_HELD_S
                for shard_owner in self._owned.values()
            ):
                continue
            shards = {
                name: len(shard_owner.shard_workers.workers)
                for name, shard_owner in self._owned.items()
            }
            name = ownership.shard_to_release(
                self._cfg.node,
                shards,
                self._vms.by_name,
                self._count_owned(),
            )
            if name is not None:
                pause_s *= 2
                self._owned[name].give_up(
                    "this VM owns more than it can carry", BALANCE_BACKOFF_S
                )

    def _claim(self, name: str, shard: shard_view.ShardView) -> None:
        before = shard.ownership.owner
        sent_s = clock.now_s()
        earlier = awaited_workers.EarlierLeases(
            shard.changed_s or sent_s, shard.ownership
        )
        claim = ownership.claim(shard.ownership, self._cfg.owner_id)
        earlier.add_to(claim, sent_s)
        silent_s = sent_s - shard.changed_s if shard.changed_s else -1
        outcome = self._store.commit(
            row_store.Transaction(
                conditions=((records.owner(name), shard.version),),
                writes=((records.owner(name), claim.SerializeToString()),),
            ),
            COMMIT_TIMEOUT_S,
        )
        if outcome.is_err():
            # If it took effect, it is not renewed and expires like any other.
            logs.event(
                "shard-not-taken", shard=name, error=str(outcome.err_value)
            )
            shard.backoff_until_s = sent_s + RETRY_S
            if not isinstance(outcome.err_value, row_store.ConflictError):
                shard.unanswered_s = clock.now_s()
            return
        logs.event(
            "shard-taken",
            shard=name,
            epoch=claim.epoch,
            before=before,
            silent_s=round(silent_s, 3),
        )
        if silent_s >= 0:
            metrics.TAKEOVER_SECONDS.observe(silent_s)
        shard.ownership = claim
        shard.version = outcome.ok_value
        shard.changed_s = clock.now_s()
        rows = shard_store.ShardStore(
            self._store, name, claim, outcome.ok_value, sent_s, earlier
        )
        shard_owner = owner.ShardOwner(
            self._cfg,
            rows,
            self._store,
            self._calls,
            self._registry,
            self._keeper,
            functools.partial(self._other_shards, name),
            self._evacuated,
        )
        self._owned[name] = shard_owner
        for other in self._shards.values():
            # Claim delays grow with the owned shards; schedule claims anew.
            other.claim_s = 0.0
        self._greenlets.spawn(self._run, name, shard_owner)

    def _other_shards(self, name: str) -> dict[str, workflow_pb2.Ownership]:
        """Returns the other shards that have a live owner."""
        now_s = clock.now_s()
        return {
            other: shard.ownership
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
            shard.backoff_until_s = clock.now_s() + shard_owner.claim_backoff_s
