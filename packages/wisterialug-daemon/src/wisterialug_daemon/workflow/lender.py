"""Lends long-running tasks that wait too long to shards with room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.workflow import lending
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock, records

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from wisterialug_core.workflow import job_table, model
    from wisterialug_daemon.workflow import layout_keeper, row_store

CHECK_INTERVAL_S = 0.25
# Within this time a waiting task mostly gets room in its own shard: finite runs
# take about a second, and the room that they free is kept for it.
LEND_AFTER_S = 1.0


class Lender:
    """Chooses tasks to lend and builds the rows that record the loans."""

    def __init__(
        self,
        shard: str,
        jobs: job_table.JobTable,
        keeper: layout_keeper.LayoutKeeper,
        free_millicores: Callable[[], Mapping[str, int]],
    ) -> None:
        self._shard = shard
        self._keeper = keeper
        self._jobs = jobs
        self._free_millicores = free_millicores
        self._checked_s = 0.0
        self._waiting_since_s: dict[model.TaskKey, float] = {}
        # Target shards of uncommitted loans, by job.
        self._uncommitted: dict[str, set[str]] = {}
        # Free millicores that each shard reported last, and those lent since.
        self._lent: dict[str, tuple[int, int]] = {}

    def check(self, now_s: float) -> None:
        """Lends tasks that have waited too long, if another shard has room."""
        if now_s - self._checked_s < CHECK_INTERVAL_S:
            return
        self._checked_s = now_s
        free_millicores = self._free_millicores()
        if not free_millicores:
            return
        waiting = self._jobs.waiting_long_running(clock.wall_ms())
        waiting_since_s = {
            task.key: self._waiting_since_s.get(task.key, now_s)
            for task in waiting
        }
        self._waiting_since_s = waiting_since_s
        overdue: dict[tuple[str, str], list[tuple[model.Task, int]]] = {}
        for task in waiting:
            if now_s - waiting_since_s[task.key] > LEND_AFTER_S:
                step = self._jobs.step(task.key)
                service = self._jobs.jobs[task.key.job].job.policy.service
                group = overdue.setdefault((service, step.required_label), [])
                group.append((task, step.cpu_millicores))
        for (service, label), tasks in overdue.items():
            eligible = self._keeper.layout.eligible(service, {label} - {""})
            names = {records.shard_name(number) for number in eligible}
            self._lend(
                tasks,
                {
                    name: free_millicores[name]
                    for name in names & free_millicores.keys()
                },
            )

    def _lend(
        self,
        overdue: list[tuple[model.Task, int]],
        free_millicores: Mapping[str, int],
    ) -> None:
        left = {}
        for shard, free in free_millicores.items():
            reported, lent = self._lent.get(shard, (free, 0))
            left[shard] = free - (lent if reported == free else 0)
        needs = {task.key: need for task, need in overdue}
        for task, shard in lending.choose(overdue, left):
            reported, lent = self._lent.get(shard, (free_millicores[shard], 0))
            lent = lent if reported == free_millicores[shard] else 0
            self._lent[shard] = (free_millicores[shard], lent + needs[task.key])
            self._jobs.lend(task, shard)
            self._uncommitted.setdefault(task.key.job, set()).add(shard)
            logs.event(
                "task-lent",
                task=task.name,
                shard=self._shard,
                to=shard,
                room_millicores=free_millicores[shard],
                loans=task.loans,
            )

    def take_rows(
        self, jobs: list[str]
    ) -> list[tuple[row_store.RowRef, bytes]]:
        """Returns the rows of new loans, to be committed with their jobs."""
        if not self._uncommitted:
            return []
        rows = []
        for job in jobs:
            for shard in sorted(self._uncommitted.pop(job, ())):
                loan = self._jobs.loan(job, self._shard, shard)
                ref = records.loan(job, self._shard, shard)
                rows.append((ref, loan.SerializeToString()))
        return rows

    def rows_of(self, job: str) -> list[row_store.RowRef]:
        """Returns the rows of all loans of a job."""
        return [
            records.loan(job, self._shard, shard)
            for shard in sorted(self._jobs.lent_to(job))
        ]
