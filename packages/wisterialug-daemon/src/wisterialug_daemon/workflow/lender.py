"""Lends lasting tasks that wait for too long to shards with room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.workflow import lending
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock, records

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from wisterialug_core.workflow import job_table, model
    from wisterialug_daemon.workflow import layout_keeper, row_store

# How often waiting tasks are looked for.
CHECK_S = 0.25
# Time in which a task that waits mostly finds room in its own shard: what ends
# lasts for about a second, and the room is kept for it.
LEND_AFTER_S = 1.0


class Lender:
    """Chooses what to lend and names the rows that tell of it."""

    def __init__(
        self,
        shard: str,
        jobs: job_table.JobTable,
        keeper: layout_keeper.LayoutKeeper,
        rooms: Callable[[], Mapping[str, int]],
    ) -> None:
        self._shard = shard
        self._keeper = keeper
        self._jobs = jobs
        self._rooms = rooms
        self._checked_s = 0.0
        # Since when tasks wait.
        self._since_s: dict[model.TaskKey, float] = {}
        # Loans that are not recorded yet: jobs and the shards they lend to.
        self._due: dict[str, set[str]] = {}
        # What was lent to shards since they last told of their room.
        self._lent: dict[str, tuple[int, int]] = {}

    def check(self, now_s: float) -> None:
        """Lends what has waited for too long, if another shard has room."""
        if now_s - self._checked_s < CHECK_S:
            return
        self._checked_s = now_s
        rooms = self._rooms()
        if not rooms:
            return
        waiting = self._jobs.waiting_long_running(clock.wall_ms())
        since_s = {
            task.key: self._since_s.get(task.key, now_s) for task in waiting
        }
        self._since_s = since_s
        late: dict[tuple[str, str], list[tuple[model.Task, int]]] = {}
        for task in waiting:
            if now_s - since_s[task.key] > LEND_AFTER_S:
                step = self._jobs.step(task.key)
                service = self._jobs.jobs[task.key.job].job.policy.service
                alike = late.setdefault((service, step.required_label), [])
                alike.append((task, step.cpu_millicores))
        for (service, label), tasks in late.items():
            eligible = self._keeper.layout.eligible(service, {label} - {""})
            names = {records.shard_name(number) for number in eligible}
            self._lend(
                tasks, {name: rooms[name] for name in names & rooms.keys()}
            )

    def _lend(
        self, late: list[tuple[model.Task, int]], rooms: Mapping[str, int]
    ) -> None:
        left = {}
        for shard, room in rooms.items():
            told, lent = self._lent.get(shard, (room, 0))
            left[shard] = room - (lent if told == room else 0)
        needs = {task.key: need for task, need in late}
        for task, shard in lending.choose(late, left):
            told, lent = self._lent.get(shard, (rooms[shard], 0))
            lent = lent if told == rooms[shard] else 0
            self._lent[shard] = (rooms[shard], lent + needs[task.key])
            self._jobs.lend(task, shard)
            self._due.setdefault(task.key.job, set()).add(shard)
            logs.event(
                "task-lent",
                task=task.name,
                shard=self._shard,
                to=shard,
                room_millicores=rooms[shard],
                loans=task.loans,
            )

    def take_rows(
        self, jobs: list[str]
    ) -> list[tuple[row_store.RowRef, bytes]]:
        """Returns the rows of new loans of jobs, to be recorded with them."""
        if not self._due:
            return []
        rows = []
        for job in jobs:
            for shard in sorted(self._due.pop(job, ())):
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
