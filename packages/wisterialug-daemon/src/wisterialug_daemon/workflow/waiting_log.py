"""Logs what long-running tasks wait for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.workflow import long_running_waits
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock

if TYPE_CHECKING:
    from wisterialug_core.workflow import job_table, worker_table

LOG_INTERVAL_S = 0.5


class WaitingLog:
    """Logs the long-running task that has waited for the longest."""

    def __init__(
        self,
        shard: str,
        jobs: job_table.JobTable,
        workers: worker_table.WorkerTable,
    ) -> None:
        self._shard = shard
        self._jobs = jobs
        self._workers = workers
        self._logged_s = 0.0

    def begin(
        self, now_s: float
    ) -> tuple[long_running_waits.Waits, long_running_waits.Room] | None:
        """Returns the waits before a round, with the room; None if not due."""
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return None
        self._logged_s = now_s
        waits = long_running_waits.waits(self._jobs, now_s, clock.wall_ms())
        if waits is None:
            return None
        return waits, self._room(waits, now_s)

    def end(
        self,
        begun: tuple[long_running_waits.Waits, long_running_waits.Room] | None,
        now_s: float,
    ) -> None:
        """Logs a round that was begun, with the room that it has left."""
        if begun is None:
            return
        waits, before = begun
        task = waits.longest
        after = self._room(waits, now_s)
        logs.event(
            "long-running-waits",
            shard=self._shard,
            waiting=waits.waiting,
            resting=waits.resting,
            task=task.name,
            waited_s=round(waits.waited_s, 3),
            need_millicores=self._jobs.step(task.key).cpu_millicores,
            loans=task.loans,
            placed=task.active,
            open=[before.open, after.open],
            kept=[before.kept, after.kept],
            limited=[before.limited, after.limited],
            unusable=before.unusable,
            free_millicores=[before.free_millicores, after.free_millicores],
        )

    def _room(
        self, waits: long_running_waits.Waits, now_s: float
    ) -> long_running_waits.Room:
        return long_running_waits.room(
            self._jobs, self._workers, waits.longest, now_s
        )
