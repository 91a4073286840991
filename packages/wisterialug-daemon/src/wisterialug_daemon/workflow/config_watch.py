"""Follows the queue config; a process never reverts to an older one."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import eventlet

from wisterialug_core.workflow import read_timing
from wisterialug_daemon import logs, metrics
from wisterialug_daemon.workflow import (
    clock,
    errors,
    evacuation_view,
    pool,
)

if TYPE_CHECKING:
    from wisterialug_core.workflow import routes
    from wisterialug_daemon.workflow import sources

DEFAULT_TIMING = read_timing.ReadTiming()


class ConfigWatch:
    """Follows the operators' config and their evacuations.

    Attributes:
      table: The newest config seen; None before the first.
      evacuations: The data centres out of service.
    """

    def __init__(
        self,
        source: sources.ConfigSource,
        evacuated_within_ms: int | None,
        timing: read_timing.ReadTiming = DEFAULT_TIMING,
    ) -> None:
        """Creates a watch.

        Args:
          source: The config.
          evacuated_within_ms: Time within which an evacuation must be in
            force; None where data centres are not evacuated.
          timing: Times of the attempts.
        """
        self.table: routes.RouteTable | None = None
        self.evacuations = evacuation_view.EvacuationView(evacuated_within_ms)
        max_age_s = self.evacuations.max_age_s or math.inf
        self._wait_s = min(timing.wait_s, max_age_s / 4)
        self._timing = timing
        self._source = source
        self._greenlets = pool.Greenlets()
        self._connected = True
        # When the config in force was the newest, as far as is known.
        self._confirmed_s = 0.0
        # Newest version of the store that an answer has named.
        self._newest_version = 0
        # The history was lost, and nothing has been read since.
        self._history_lost = False

    def start(self) -> None:
        """Starts to follow the config."""
        self._greenlets.supervise(self._run)

    def close(self) -> None:
        """Stops following the config."""
        self._greenlets.close()

    def is_confirmed(self) -> bool:
        """Returns whether no config in force elsewhere can be unknown here."""
        age_s = clock.now_s() - self._confirmed_s
        return self.table is not None and age_s <= self._timing.within_s

    def _run(self) -> None:
        cursor = -1
        while True:
            asked_s = clock.now_s()
            # After an outage, owners wait to hear whether anything has changed.
            wait_s = self._wait_s if self._connected else 0.0
            outcome = (
                self._source.read()
                if cursor < 0
                else self._source.watch(cursor, wait_s)
            )
            if outcome.is_err():
                cursor = self._recover(outcome.err_value, cursor, asked_s)
                continue
            self._set_connected(True, "")
            if cursor >= 0:
                self._history_lost = False
            way = "read" if cursor < 0 else "watch"
            cursor = outcome.ok_value.cursor
            self._apply(outcome.ok_value, way)
            # A read may be answered by an older state of the store.
            if cursor >= self._newest_version:
                self._newest_version = cursor
                # When the answer was made is not known: it may have waited on
                # the way, or for a VM that stood still.
                self._confirmed_s = asked_s
            if outcome.ok_value.evacuations is not None:
                self.evacuations.apply(outcome.ok_value.evacuations, asked_s)

    def _recover(
        self, error: errors.StoreError, cursor: int, asked_s: float
    ) -> int:
        """Logs a failed attempt and pauses; returns the next cursor."""
        if isinstance(error, errors.AnswerTooLargeError):
            logs.event("config-changed-often", cursor=cursor)
            return -1
        logs.event(
            "config-attempt-failed",
            way="read" if cursor < 0 else "watch",
            cursor=cursor,
            took_s=round(clock.now_s() - asked_s, 3),
            error=str(error),
        )
        self._set_connected(False, str(error))
        lost = isinstance(error, errors.HistoryLostError)
        # What is read after a loss may be behind, and be lost as well.
        if not lost or self._history_lost:
            eventlet.sleep(self._timing.retry_s)
        self._history_lost = lost
        return -1 if lost else cursor

    def _apply(self, change: sources.ConfigChange, way: str) -> None:
        table = change.table
        if table is None:
            return
        if self.table is not None and table.version <= self.table.version:
            return
        before = self.table.version if self.table else 0
        self.table = table
        metrics.CONFIG_VERSION.set(table.version)
        metrics.CONFIG_SECONDS.labels("decode").observe(change.decode_s)
        fields = {"decode_s": round(change.decode_s, 3)}
        if change.transfer is not None:
            transfer = change.transfer
            metrics.CONFIG_SECONDS.labels("wait").observe(transfer.waited_s)
            metrics.CONFIG_SECONDS.labels("body").observe(transfer.body_s)
            fields |= {
                "from": transfer.address,
                "waited_s": round(transfer.waited_s, 3),
                "body_s": round(transfer.body_s, 3),
                "size_bytes": transfer.size_bytes,
            }
        logs.event(
            "config-applied",
            version=table.version,
            before=before,
            routes=len(table.routes),
            way=way,
            cursor=change.cursor,
            **fields,
        )

    def _set_connected(self, connected: bool, error: str) -> None:
        if connected != self._connected:
            self._connected = connected
            name = "config-regained" if connected else "config-not-followed"
            logs.event(
                name,
                version=self.table.version if self.table else 0,
                error=error,
            )
