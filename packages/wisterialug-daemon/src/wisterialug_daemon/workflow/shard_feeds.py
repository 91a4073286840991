"""Input of a shard's owner: workers, new jobs and cancellations."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from wisterialug_core.workflow import model
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import (
    clock,
    errors,
    records,
    shard_store,
    succession,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_daemon.workflow import (
        layout_keeper,
        owner,
        row_store,
        sources,
    )

# A watch may get no response; cancels must be seen within three seconds.
WATCH_WAIT_S = 1.0
# Heartbeats change the list constantly; they are read in batches.
REGISTRY_SPACING_S = 0.3
RETRY_S = 0.2


class ShardFeeds:
    """Follows the list of workers and the inbox of a shard.

    Attributes:
      inbox_cursor: Version up to which the inbox has been applied.
      registry_seen: The list of workers has been read once.
      list_read_s: When the list that is known was asked for.
    """

    def __init__(
        self,
        owner: owner.ShardOwner,
        store: row_store.RowStore,
        registry: sources.WorkerRegistry,
        keeper: layout_keeper.LayoutKeeper,
    ) -> None:
        self.inbox_cursor = 0
        self.registry_seen = False
        self.list_read_s = 0.0
        self._keeper = keeper
        # All listed workers, of any shard, by name.
        self._listed: dict[str, model.WorkerReport] = {}
        # Names of workers whose rack has no shard yet.
        self._unplaced: set[str] = set()
        self._owner = owner
        self._store = store
        self._registry = registry

    def data_centres(self) -> set[str]:
        """Returns the data centres of all listed workers, of any shard."""
        return {report.data_centre for report in self._listed.values()}

    def listed(self, name: str) -> model.Incarnation | None:
        """Returns the listed incarnation of a worker of any shard."""
        report = self._listed.get(name)
        return report.id if report else None

    def start(self) -> None:
        """Starts to follow both until the shard is lost."""
        self._owner.greenlets.supervise(self._watch_registry)
        self._owner.greenlets.supervise(self._watch_inbox)

    def _watch_registry(self) -> None:
        cursor = -1
        while not self._owner.lost:
            asked_s = clock.now_s()
            outcome = (
                self._registry.read()
                if cursor < 0
                else self._registry.watch(cursor, WATCH_WAIT_S)
            )
            if outcome.is_err():
                if isinstance(
                    outcome.err_value,
                    errors.HistoryLostError | errors.AnswerTooLargeError,
                ):
                    logs.event(
                        "workers-read-again",
                        shard=self._owner.rows.shard,
                        cursor=cursor,
                        error=str(outcome.err_value),
                    )
                    cursor = -1
                eventlet.sleep(RETRY_S)
                continue
            cursor = outcome.ok_value.cursor
            self._apply_workers(outcome.ok_value)
            self.list_read_s = asked_s
            self._keeper.rewrite()
            if self._unplaced and self._owner.rows.shard == records.FIRST_SHARD:
                self._place_racks()
            eventlet.sleep(REGISTRY_SPACING_S)

    def _place_racks(self) -> None:
        if self._keeper.extend(self._listed.values()):
            self.apply_layout()

    def apply_layout(self) -> None:
        """Adds workers whose rack is now assigned to this shard."""
        self._apply_reports([self._listed[w] for w in self._unplaced])

    def _apply_workers(self, changes: sources.WorkerChanges) -> None:
        if changes.complete:
            self._listed.clear()
            self._unplaced.clear()
        self._apply_reports(changes.reports)
        removed = set()
        for name in changes.removed:
            entry = self._listed.pop(name, None)
            if entry is not None:
                removed.add(entry.id)
        if changes.complete:
            present = {report.id for report in changes.reports}
            removed |= set(self._owner.shard_workers.workers) - present
        for worker_id in sorted(removed):
            self._unplaced.discard(model.registered_name(worker_id))
            if worker_id in self._owner.shard_workers.workers:
                logs.event("worker-state", worker=worker_id, state="absent")
                self._owner.shard_workers.mark_absent(worker_id)
        succession.resolve_unlisted(self._owner, self._listed)
        if not self.registry_seen:
            self.registry_seen = True
            # What others know of the shard is as old as its earlier owner. A
            # renewal before the list is read would hold all leases back.
            self._owner.renew_soon()
            for worker in list(self._owner.shard_workers.workers.values()):
                self._owner.session(worker)

    def _apply_reports(self, reports: Iterable[model.WorkerReport]) -> None:
        for report in reports:
            shard = self._keeper.layout.shard_of(report)
            self._listed[report.name] = report
            if shard is None:
                self._unplaced.add(report.name)
                continue
            self._unplaced.discard(report.name)
            if records.shard_name(shard) != self._owner.rows.shard:
                continue
            known = self._owner.shard_workers.workers.get(report.id)
            if known is None or known.report.state is not report.state:
                logs.event(
                    "worker-state",
                    worker=report.id,
                    state=report.state.value,
                    address=report.address,
                    rack=report.rack,
                )
                self._owner.wake()
            current = self._owner.shard_workers.current(report.name)
            if current is None or current.report.id == report.id:
                worker = self._owner.shard_workers.update(report)
                self._owner.session(worker)
            elif not succession.is_stale(current, report):
                succession.replace(self._owner, current, report)

    def _watch_inbox(self) -> None:
        while not self._owner.lost:
            outcome = self._store.watch(
                records.inbox_table(self._owner.rows.shard),
                self.inbox_cursor,
                WATCH_WAIT_S,
            )
            if outcome.is_err():
                if isinstance(outcome.err_value, errors.HistoryLostError):
                    self._reload_inbox()
                eventlet.sleep(RETRY_S)
                continue
            # Rows that could not be applied are asked for again.
            self._apply_inbox(outcome.ok_value.rows)
            self.inbox_cursor = outcome.ok_value.version

    def _reload_inbox(self) -> None:
        """Reads the whole inbox; jobs that are known already stay."""
        loaded = self._owner.rows.load_inbox()
        if loaded.is_err():
            logs.event(
                "inbox-not-read",
                shard=self._owner.rows.shard,
                error=str(loaded.err_value),
            )
            return
        self._apply_inbox(loaded.ok_value.rows)
        self.inbox_cursor = loaded.ok_value.version

    def _apply_inbox(self, rows: Iterable[row_store.Row]) -> None:
        inbox = shard_store.decode_readable(rows, self._owner.rows.shard)
        if inbox:
            self._owner.contents.apply(inbox)
            self._owner.wake()
