"""Keeps a shard's runs out of data centres that are out of service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.workflow import evacuated_work, waiting_groups
from wisterialug_daemon import logs, metrics
from wisterialug_daemon.workflow import clock, records

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialug_core.workflow import evacuations, worker_table
    from wisterialug_daemon.workflow import owner

CHECK_INTERVAL_S = 1.0
# Jobs that one log line names.
MAX_LOGGED_JOBS = 5


class ShardEvacuations:
    """Applies the evacuations that this VM knows to the workers of a shard."""

    def __init__(
        self,
        shard_owner: owner.ShardOwner,
        current: Callable[[], evacuations.Evacuations],
    ) -> None:
        self._owner = shard_owner
        self._current = current
        self._unmatched: frozenset[str] = frozenset()
        self._checked_s = 0.0
        self._waiting: set[str] = set()

    def covers(self, worker: worker_table.Worker) -> bool:
        """Returns whether no run may start on a worker now."""
        return self._current().covers(worker.report.data_centre)

    def apply(self, now_s: float) -> None:
        """Updates the workers, and tells of work that waits for them."""
        current = self._current()
        self._owner.shard_workers.set_evacuated(current)
        if not current.known or now_s - self._checked_s < CHECK_INTERVAL_S:
            return
        self._checked_s = now_s
        self._check_names(current.data_centres)
        if current.data_centres or self._waiting:
            self._check_waiting(now_s)

    def _check_names(self, evacuated: frozenset[str]) -> None:
        """Warns of a data centre without workers, as by a slip in its name."""
        listed = self._owner.listed_data_centres()
        if not listed or self._owner.rows.shard != records.FIRST_SHARD:
            return
        unmatched = evacuated - listed
        for data_centre in sorted(unmatched - self._unmatched):
            logs.warning("evacuation-without-workers", data_centre=data_centre)
        self._unmatched = unmatched

    def _check_waiting(self, now_s: float) -> None:
        jobs, workers = self._owner.shard_jobs, self._owner.shard_workers
        # All are counted.
        queue = waiting_groups.pending_groups(
            jobs, now_s, clock.wall_ms(), occurrences=None
        )
        tasks = evacuated_work.held_back(queue, jobs, workers)
        waiting = {task.key.job for task in tasks}
        shard = self._owner.rows.shard
        metrics.EVACUATED_WORK.labels(shard).set(len(tasks))
        new = sorted(waiting - self._waiting)
        self._waiting = waiting
        if new:
            logs.event(
                "work-waits-for-evacuated-workers",
                shard=shard,
                tasks=len(tasks),
                jobs=len(waiting),
                new_jobs=new[:MAX_LOGGED_JOBS],
            )
