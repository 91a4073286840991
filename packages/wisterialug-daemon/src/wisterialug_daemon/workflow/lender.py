"""Lends tasks that wait to shards with room, and takes back their results."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import lending, loans, model, step_placement
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock, records, row_store

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from wisterialug_core.workflow import (
        job_entry,
        job_table,
        placement_wait,
    )
    from wisterialug_daemon.workflow import layout_keeper

# Finite tasks are lent by the first check that finds them waiting: how soon room
# falls free here is not known, and a loan takes some 50 ms.
CHECK_INTERVAL_S = 0.05
# Within this time a waiting long-running task mostly gets room in its own
# shard: finite runs take about a second, and their room is kept for it.
LEND_LONG_RUNNING_AFTER_S = 1.0
# Borrowed tasks that do not start go back: their own shard may have room again.
GIVE_BACK_AFTER_S = 1.0
# Groups of waiting tasks that one check considers; bounds its duration.
MAX_GROUPS_PER_CHECK = 40
READ_TIMEOUT_S = 0.5
# Shards to which one commit writes rows of a job: one call to the store holds
# 100 rows.
MAX_SHARDS_PER_COMMIT = 16


class Lender:
    """Chooses tasks to lend and builds the rows that record the loans."""

    def __init__(
        self,
        shard: str,
        jobs: job_table.JobTable,
        store: row_store.RowStore,
        keeper: layout_keeper.LayoutKeeper,
        others: Callable[[], Mapping[str, workflow_pb2.Ownership]],
        waits: placement_wait.Waits,
    ) -> None:
        self._shard = shard
        self._keeper = keeper
        self._jobs = jobs
        self._store = store
        self._loans = loans.Loans(shard, jobs)
        # Returns the other shards that have a live owner.
        self._others = others
        self._waits = waits
        self._checked_s = 0.0
        self._waiting_since_s: dict[model.TaskKey, float] = {}
        # Target shards of uncommitted loans, by job.
        self._uncommitted: dict[str, set[str]] = {}
        # Free millicores that each shard reported last, and those lent since.
        self._lent: dict[str, tuple[int, int]] = {}
        # What other shards offer for finite tasks, with their latest renewal.
        self._offers: dict[str, tuple[int, lending.Offer]] = {}
        # Results sent last, by job; shards that were told that a job is over;
        # shards that have sent results.
        self._sent_results: dict[str, bytes] = {}
        self._cancels_sent: dict[str, set[str]] = {}
        self._results_from: dict[str, set[str]] = {}

    def check(self, now_s: float) -> None:
        """Lends tasks that wait, and returns borrowed ones that do not start."""
        if now_s - self._checked_s < CHECK_INTERVAL_S:
            return
        self._checked_s = now_s
        self._give_back(now_s)
        others = self._others()
        if others:
            self._lend_long_running(now_s, others)
            self._lend_finite(now_s, others)

    # Long-running tasks.

    def _lend_long_running(
        self, now_s: float, others: Mapping[str, workflow_pb2.Ownership]
    ) -> None:
        free_millicores = {
            name: ownership.room_millicores
            for name, ownership in others.items()
        }
        waiting = self._jobs.waiting_long_running(clock.wall_ms())
        waiting_since_s = {
            task.key: self._waiting_since_s.get(task.key, now_s)
            for task in waiting
        }
        self._waiting_since_s = waiting_since_s
        overdue: dict[tuple[str, str], list[tuple[model.Task, int]]] = {}
        for task in waiting:
            waited_s = now_s - waiting_since_s[task.key]
            if waited_s > LEND_LONG_RUNNING_AFTER_S:
                step = self._jobs.step(task.key)
                service = self._jobs.jobs[task.key.job].job.policy.service
                group = overdue.setdefault((service, step.required_label), [])
                group.append((task, step.cpu_millicores))
        for (service, label), tasks in overdue.items():
            eligible = self._eligible(service, label)
            left = {
                name: self._free_millicores(name, free_millicores[name])
                for name in eligible & free_millicores.keys()
            }
            needs = {task.key: need for task, need in tasks}
            for task, shard in lending.choose(tasks, left):
                reported = free_millicores[shard]
                lent = reported - self._free_millicores(shard, reported)
                self._lent[shard] = (reported, lent + needs[task.key])
                self._lend([task], shard)

    def _free_millicores(self, shard: str, reported: int) -> int:
        """Returns a shard's reported room less what was lent to it since."""
        before, lent = self._lent.get(shard, (reported, 0))
        return reported - (lent if before == reported else 0)

    def _eligible(self, service: str, label: str) -> set[str]:
        """Returns the shards whose workers have a label."""
        eligible = self._keeper.layout.eligible(service, {label} - {""})
        return {records.shard_name(number) for number in eligible}

    # Finite tasks.

    def _lend_finite(
        self, now_s: float, others: Mapping[str, workflow_pb2.Ownership]
    ) -> None:
        if not any(
            any(ownership.free_slots) or ownership.fill_room_millicores
            for ownership in others.values()
        ):
            return
        groups = step_placement.pending_groups(
            self._jobs, now_s, clock.wall_ms()
        )[:MAX_GROUPS_PER_CHECK]
        waiting = []
        for group, tasks in groups:
            entry = self._jobs.jobs[group.job]
            step = entry.job.steps[group.step]
            # Tasks whose data are on a rack leave only if waiting for it does
            # not pay, which is not known where nothing waits for a place.
            if entry.home and not (
                step.long_running
                or step.gang
                or (step.data_rack and not self._waits.applies_to(step))
            ):
                eligible = self._eligible(
                    entry.job.policy.service, step.required_label
                )
                waiting += [
                    (task, step, eligible)
                    for task in tasks
                    if task.key not in self._waits.stay
                ]
        if not waiting:
            return
        offers = {
            name: self._offer(name, ownership)
            for name, ownership in others.items()
        }
        chosen: dict[tuple[str, model.GroupKey], list[model.Task]] = {}
        for task, shard in lending.choose_finite(waiting, offers):
            key = shard, model.GroupKey(*task.key[:3])
            chosen.setdefault(key, []).append(task)
        for (shard, _), tasks in chosen.items():
            self._lend(tasks, shard)

    def _offer(
        self, shard: str, ownership: workflow_pb2.Ownership
    ) -> lending.Offer:
        renewal, offer = self._offers.get(shard, (-1, None))
        if offer is None or renewal != ownership.renewal:
            spare = lending.SpareCapacity(
                tuple(ownership.free_slots), ownership.fill_room_millicores
            )
            offer = lending.Offer(spare)
            self._offers[shard] = (ownership.renewal, offer)
        return offer

    def _lend(self, tasks: list[model.Task], shard: str) -> None:
        """Lends tasks of one group, unless the job's commit would be too large.

        The rows of all its loans must be in one commit with its record.
        """
        key = tasks[0].key
        targets = self._uncommitted.setdefault(key.job, set())
        if shard not in targets and len(targets) >= MAX_SHARDS_PER_COMMIT:
            return
        targets.add(shard)
        for task in tasks:
            self._loans.lend(task, shard)
        logs.event(
            "tasks-lent",
            job=key.job,
            repetition=key.repetition,
            step=key.step,
            tasks=[task.key.index for task in tasks],
            shard=self._shard,
            to=shard,
        )

    # Borrowed tasks.

    def borrow(self, loan: workflow_pb2.Loan) -> None:
        """Accepts lent tasks."""
        if self._loans.borrow(loan):
            logs.event(
                "tasks-borrowed",
                job=loan.job.id,
                shard=loan.to_shard,
                of=loan.from_shard,
                tasks=len(loan.tasks),
            )

    def _give_back(self, now_s: float) -> None:
        waiting = [
            task
            for entry in self._jobs.open_jobs.values()
            if not entry.home and not entry.final
            for group, tasks in entry.groups.items()
            if not entry.job.steps[group.step].long_running
            for task in tasks
            if task.pending
        ]
        for task in waiting:
            if not task.borrowed_s:
                task.borrowed_s = now_s
            elif now_s - task.borrowed_s > GIVE_BACK_AFTER_S:
                task.borrowed_s = 0.0
                self._loans.give_back(task, clock.wall_ms())
                logs.event(
                    "task-given-back",
                    task=task.name,
                    shard=self._shard,
                    loans=task.loans,
                )

    def apply_result(
        self, result: workflow_pb2.LoanResult
    ) -> job_entry.JobEntry | None:
        """Applies results of lent tasks; returns the job if any was new."""
        self._results_from.setdefault(result.job, set()).add(result.from_shard)
        new = self._loans.apply_result(result, clock.wall_ms())
        if not new:
            return None
        logs.event(
            "loan-result",
            job=result.job,
            shard=self._shard,
            of=result.from_shard,
            tasks=new,
        )
        return self._jobs.jobs[result.job]

    def is_borrowed(self, entry: job_entry.JobEntry) -> bool:
        """Returns whether a loan row of a borrowed job may still exist.

        While one does, the record must stay: without it, the next owner would
        run the tasks of the loan again.
        """
        # A loan may arrive during a read.
        for lender in sorted(entry.lenders):
            ref = records.loan(entry.job.id, lender, self._shard)
            read = row_store.scan_row(self._store, ref, READ_TIMEOUT_S)
            if read.is_err() or read.ok_value.rows:
                return True
        return False

    # Rows.

    def take_rows(self, job: str) -> list[tuple[row_store.RowRef, bytes]]:
        """Returns the rows to commit with a changed job's record."""
        rows = []
        for shard in sorted(self._uncommitted.pop(job, ())):
            loan = self._loans.loan(job, shard)
            ref = records.loan(job, self._shard, shard)
            rows.append((ref, loan.SerializeToString()))
        uncancelled = self._uncancelled(job)
        rows += [(records.cancel(job, shard), b"1") for shard in uncancelled]
        if uncancelled:
            self._cancels_sent.setdefault(job, set()).update(uncancelled)
        result = self._loans.result(job)
        if result is not None:
            value = result.SerializeToString()
            if value != self._sent_results.get(job):
                ref = records.result(job, self._shard, result.to_shard)
                rows.append((ref, value))
                self._sent_results[job] = value
        return rows

    def rows_are_left(self, job: str) -> bool:
        """Returns whether rows of a job are left for the next commit."""
        return bool(self._uncancelled(job))

    def _uncancelled(self, job: str) -> list[str]:
        """Returns shards to tell that a job they have borrowed is over."""
        entry = self._jobs.jobs[job]
        if not entry.final or entry.state == workflow_pb2.JOB_COMPLETED:
            return []
        lent_to = self._loans.lent_to(job)
        untold = lent_to - self._cancels_sent.get(job, set())
        return sorted(untold)[:MAX_SHARDS_PER_COMMIT]

    def refs(self, job: str) -> list[row_store.RowRef]:
        """Returns the rows of a job's loans, to be removed with the job."""
        entry = self._jobs.jobs[job]
        lent_to = self._loans.lent_to(job)
        # Those that have given all tasks back, or lent them back, are among them.
        results_from = self._results_from.get(job, set())
        borrowers = lent_to | results_from
        if entry.home:
            borrowers |= entry.lenders
        refs = [
            records.loan(job, self._shard, shard) for shard in sorted(borrowers)
        ]
        if entry.state != workflow_pb2.JOB_COMPLETED:
            refs += [records.cancel(job, shard) for shard in sorted(lent_to)]
        refs += [
            records.result(job, shard, self._shard)
            for shard in sorted(results_from)
        ]
        return refs

    def forget(self, job: str) -> None:
        """Drops what is kept of a job whose rows are removed."""
        self._results_from.pop(job, None)
        self._sent_results.pop(job, None)
        self._cancels_sent.pop(job, None)
