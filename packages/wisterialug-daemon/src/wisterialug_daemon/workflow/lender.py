"""Lends tasks that wait to shards with room, and takes back their results."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    lending,
    loans,
    model,
    record_pages,
    waiting_groups,
)
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock, loan_rows, records, row_store

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
# The renewal after a loan may have been made before it arrived; the one after
# that is made an interval later, which is longer than a loan takes.
COVERING_RENEWALS = 2


class _Lent(NamedTuple):
    """What was lent to a shard since a report of its room.

    Attributes:
      reported: Free millicores of that report.
      renewal: The shard's renewal that was known at the latest loan.
    """

    reported: int
    renewal: int
    millicores: int


class Lender:
    """Chooses tasks to lend, and returns borrowed ones.

    Attributes:
      rows: The rows that record it.
    """

    def __init__(
        self,
        shard: str,
        jobs: job_table.JobTable,
        store: row_store.RowStore,
        keeper: layout_keeper.LayoutKeeper,
        others: Callable[[], Mapping[str, workflow_pb2.Ownership]],
        waits: placement_wait.Waits,
        row_bytes: int,
    ) -> None:
        self._shard = shard
        self._row_bytes = row_bytes
        self._keeper = keeper
        self._jobs = jobs
        self._store = store
        self._loans = loans.Loans(shard, jobs)
        self.rows = loan_rows.LoanRows(shard, jobs, self._loans)
        # Returns the other shards that have a live owner.
        self._others = others
        self._waits = waits
        self._checked_s = 0.0
        self._waiting_since_s: dict[model.TaskKey, float] = {}
        self._lent: dict[str, _Lent] = {}
        # What other shards offer for finite tasks, with their latest renewal.
        self._offers: dict[str, tuple[int, lending.Offer]] = {}

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
                name: self._free_millicores(name, others[name])
                for name in eligible & others.keys()
            }
            needs = {task.key: need for task, need in tasks}
            for task, shard in lending.choose(tasks, left):
                report = others[shard]
                reported = report.room_millicores
                lent = reported - self._free_millicores(shard, report)
                self._lent[shard] = _Lent(
                    reported, report.renewal, lent + needs[task.key]
                )
                self._lend([task], shard)

    def _free_millicores(
        self, shard: str, report: workflow_pb2.Ownership
    ) -> int:
        """Returns a shard's reported room less what was lent to it since."""
        reported = report.room_millicores
        lent = self._lent.get(shard)
        if lent is None or lent.reported != reported:
            return reported
        renewals = report.renewal - lent.renewal
        is_covered = not 0 <= renewals < COVERING_RENEWALS
        return reported - (0 if is_covered else lent.millicores)

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
        groups = waiting_groups.pending_groups(
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
        """Lends tasks of one group, as far as their rows can be written.

        The loans of a page must be in one commit with its record.
        """
        job = tasks[0].key.job
        entry = self._jobs.jobs[job]
        job_bytes = entry.job.ByteSize()
        lent_bytes = self._loans.lent_bytes(job, shard)
        lent = []
        for task in tasks:
            page = entry.pages.of(task.key)
            lent_bytes[page] += record_pages.most_bytes(task)
            fits = job_bytes + lent_bytes[page] <= self._row_bytes
            if fits and self.rows.begin_loan(job, page, shard):
                self._loans.lend(task, shard)
                lent.append(task)
        if not lent:
            return
        key = lent[0].key
        logs.event(
            "tasks-lent",
            job=job,
            repetition=key.repetition,
            step=key.step,
            tasks=[task.key.index for task in lent],
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
        self.rows.note_result_from(result)
        new = self._loans.apply_result(result, clock.wall_ms())
        if not new:
            return None
        entry = self._jobs.jobs[result.job]
        logs.event(
            "loan-result",
            job=result.job,
            shard=self._shard,
            of=result.from_shard,
            tasks=new,
            state=workflow_pb2.JobState.Name(entry.state),
        )
        return entry

    def is_borrowed(self, entry: job_entry.JobEntry) -> bool:
        """Returns whether a loan row of a borrowed job may still exist.

        While one does, the record must stay: without it, the next owner would
        run the tasks of the loan again.
        """
        # A loan may arrive during a read.
        for lender in sorted(entry.lenders):
            ref = records.loan(entry.job.id, lender, self._shard)
            read = row_store.scan_row(self._store, ref, READ_TIMEOUT_S)
            if (
                read.is_ok()
                and not read.ok_value.rows
                and entry.pages.count > 1
            ):
                read = self._store.scan(
                    ref.table,
                    ref.part,
                    *records.later_pages(ref),
                    timeout_s=READ_TIMEOUT_S,
                )
            if read.is_err() or read.ok_value.rows:
                return True
        return False
