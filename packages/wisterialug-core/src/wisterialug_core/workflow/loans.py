"""Hands tasks of a job over to other shards, and takes their results back.

A shard may be full, or have lost its workers, while others have room. The
record of each task counts its loans; the shard with the latest loan runs the
task, so that rows that are read late or twice change nothing. Finite tasks are
lent by the shard of their job only, which needs their results.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import job_entry, model, record_pages

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wisterialug_core.workflow import job_table


class Loans:
    """Lent and borrowed tasks of one shard's jobs."""

    def __init__(self, shard: str, jobs: job_table.JobTable) -> None:
        self._shard = shard
        self._jobs = jobs

    # As the lender.

    def lend(self, task: model.Task, shard: str) -> None:
        """Lends a waiting task to another shard."""
        task.lent_to = shard
        task.loans += 1
        self._jobs.dirty.add(task.key.job)

    def loan(self, job: str, to_shard: str, page: int = 0) -> workflow_pb2.Loan:
        """Returns all tasks of a job's page that are lent to a shard."""
        entry = self._jobs.jobs[job]
        message = workflow_pb2.Loan(
            job=entry.job, from_shard=self._shard, to_shard=to_shard, page=page
        )
        message.tasks.extend(
            job_entry.record_of(task)
            for task in _tasks(entry)
            if task.lent_to == to_shard and entry.pages.of(task.key) == page
        )
        return message

    def lent_bytes(self, job: str, to_shard: str) -> collections.Counter[int]:
        """Returns how large the records lent to a shard may be, by page."""
        entry = self._jobs.jobs[job]
        sizes: collections.Counter[int] = collections.Counter()
        for task in _tasks(entry):
            if task.lent_to == to_shard:
                sizes[entry.pages.of(task.key)] += record_pages.most_bytes(task)
        return sizes

    def lent_pages(self, job: str) -> set[tuple[int, str]]:
        """Returns the pages of a job with lent tasks, with their shards."""
        entry = self._jobs.jobs[job]
        return {
            (entry.pages.of(task.key), task.lent_to)
            for task in _tasks(entry)
            if task.lent_to and task.lent_to != job_entry.HOME
        }

    def lent_to(self, job: str) -> set[str]:
        """Returns the shards to which tasks of a job are lent."""
        return {shard for _, shard in self.lent_pages(job)}

    def apply_result(self, result: workflow_pb2.LoanResult, now_ms: int) -> int:
        """Applies results of lent tasks; returns how many were new."""
        entry = self._jobs.jobs.get(result.job)
        if entry is None or not entry.home:
            return 0
        new = 0
        for record in result.tasks:
            key = model.TaskKey(
                result.job, record.repetition, record.step, record.index
            )
            task = self._jobs.task(key)
            if (
                entry.final
                or task is None
                or task.done
                or task.lent_to != result.from_shard
                or task.loans != record.loans
                or not _has_news(record, task)
            ):
                continue
            self._jobs.add_result(task, record, now_ms, begun=result.begun)
            new += 1
        return new

    # As the borrower.

    def borrow(self, loan: workflow_pb2.Loan) -> bool:
        """Accepts lent tasks; returns whether any are new here."""
        entry = self._jobs.add_borrowed(loan.job)
        if entry is None:
            return False
        # Also of an ended job: its record is kept as long as the loan.
        entry.lenders.add(loan.from_shard)
        if entry.final:
            return False
        new = False
        for record in loan.tasks:
            key = model.GroupKey(entry.job.id, record.repetition, record.step)
            task = entry.group(key)[record.index]
            if record.loans <= task.loans:
                continue
            task.lent_to = ""
            task.loans = record.loans
            task.run = max(task.run, record.run)
            task.failures = max(task.failures, record.failures)
            task.checkpoint = record.checkpoint
            task.last_run_end_ms = record.last_run_end_ms
            self._jobs.restore_evidence(task, record)
            new = True
        if new:
            self._jobs.reopen(entry)
        return new

    def give_back(self, task: model.Task, now_ms: int) -> None:
        """Returns a borrowed task that has no active run to its job's shard."""
        task.lent_to = job_entry.HOME
        self._jobs.dirty.add(task.key.job)
        self._jobs.close_if_ended(self._jobs.jobs[task.key.job], now_ms)

    def results(self, job: str) -> dict[int, workflow_pb2.LoanResult]:
        """Returns the results of a borrowed job's tasks, by page.

        Results of a step are sent once none of its tasks runs or waits here:
        its job needs all of them before it goes on. A job that has failed is
        reported at once.
        """
        entry = self._jobs.jobs[job]
        results: dict[int, workflow_pb2.LoanResult] = {}
        if entry.home:
            return results
        for tasks in entry.groups.values():
            if not entry.final and any(t.active or t.pending for t in tasks):
                continue
            for task in tasks:
                if task.loans and _is_reported(entry, task):
                    page = entry.pages.of(task.key)
                    if page not in results:
                        results[page] = workflow_pb2.LoanResult(
                            job=job,
                            from_shard=self._shard,
                            to_shard=entry.job.shard,
                            page=page,
                            begun=entry.state != workflow_pb2.JOB_QUEUED,
                        )
                    results[page].tasks.append(job_entry.record_of(task))
        return results


def _is_reported(entry: job_entry.JobEntry, task: model.Task) -> bool:
    """Returns whether a borrowed task's own shard needs its state."""
    if task.crash_evidence.guilty:
        return True
    if entry.job.steps[task.key.step].long_running:
        return False
    return task.done or task.failures > 0 or task.lent_to == job_entry.HOME


def _has_news(record: workflow_pb2.TaskRecord, task: model.Task) -> bool:
    """Returns whether a result tells more than is known of a lent task."""
    return (
        record.done
        or bool(record.lent_to)
        or record.failures > task.failures
        or record.crashes > task.crash_evidence.crashes
        or record.unshared_crashes > task.crash_evidence.unshared_crashes
    )


def _tasks(entry: job_entry.JobEntry) -> Iterator[model.Task]:
    for tasks in entry.groups.values():
        yield from tasks
