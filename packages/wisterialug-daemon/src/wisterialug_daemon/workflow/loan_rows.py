"""Rows that record what shards lend to each other, and its results.

All rows are by page of the job's record.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import record_pages
from wisterialug_daemon.workflow import records

if TYPE_CHECKING:
    from wisterialug_core.workflow import job_table, loans
    from wisterialug_daemon.workflow import row_store

# Shards to which one commit writes rows of a page: one call to the store holds
# 100 rows, and 1 MB; each loan holds the job.
MAX_SHARDS_PER_COMMIT = 16
MAX_LOAN_BYTES = 262_144


class LoanRows:
    """Builds the rows of one shard's loans, and knows which were sent."""

    def __init__(
        self, shard: str, jobs: job_table.JobTable, shard_loans: loans.Loans
    ) -> None:
        self._shard = shard
        self._jobs = jobs
        self._loans = shard_loans
        # Pages and target shards of uncommitted loans, by job.
        self._uncommitted: dict[str, set[tuple[int, str]]] = {}
        # Results sent last, by job and page; shards that were told that a job is
        # over; shards that have sent results.
        self._sent_results: dict[str, dict[int, bytes]] = {}
        self._cancels_sent: dict[str, set[str]] = {}
        self._results_from: dict[str, set[str]] = {}

    def note_result_from(self, result: workflow_pb2.LoanResult) -> None:
        """Notes that a shard has sent results."""
        self._results_from.setdefault(result.job, set()).add(result.from_shard)

    def begin_loan(self, job: str, page: int, shard: str) -> bool:
        """Notes that a task of a page is about to be lent.

        Returns:
          Whether the page's next commit can record it.
        """
        targets = self._uncommitted.setdefault(job, set())
        loans_of_page = sum(target[0] == page for target in targets)
        job_bytes = self._jobs.jobs[job].job.ByteSize()
        takes_one_more = not loans_of_page or (
            loans_of_page < MAX_SHARDS_PER_COMMIT
            and (loans_of_page + 1) * job_bytes <= MAX_LOAN_BYTES
        )
        if (page, shard) not in targets and not takes_one_more:
            return False
        targets.add((page, shard))
        return True

    def lent_pages(self, job: str) -> set[int]:
        """Returns the pages of a job with loans that are not recorded yet."""
        return {page for page, _ in self._uncommitted.get(job, ())}

    def take_loans(
        self, job: str, page: int
    ) -> list[tuple[row_store.RowRef, bytes]]:
        """Returns the loans to commit with a page of a job's record."""
        targets = self._uncommitted.get(job, set())
        taken = sorted(target for target in targets if target[0] == page)
        targets.difference_update(taken)
        if not targets:
            self._uncommitted.pop(job, None)
        return [
            (
                records.loan(job, self._shard, shard, page),
                self._loans.loan(job, shard, page).SerializeToString(),
            )
            for _, shard in taken
        ]

    def new_results(
        self, job: str, max_bytes: int
    ) -> dict[int, workflow_pb2.LoanResult]:
        """Returns results of a borrowed job that were not sent, by page."""
        sent = self._sent_results.get(job, {})
        new = {}
        for page, result in self._loans.results(job).items():
            record_pages.fit(result, max_bytes)
            if result.SerializeToString() != sent.get(page):
                new[page] = result
        return new

    def take_result(
        self, result: workflow_pb2.LoanResult
    ) -> tuple[row_store.RowRef, bytes]:
        """Returns the row of a result, which counts as sent from now on."""
        value = result.SerializeToString()
        self._sent_results.setdefault(result.job, {})[result.page] = value
        ref = records.result(
            result.job, self._shard, result.to_shard, result.page
        )
        return ref, value

    def take_cancels(self, job: str) -> list[tuple[row_store.RowRef, bytes]]:
        """Returns rows that tell shards that a job they have borrowed is over."""
        shards = self._uncancelled(job)
        if shards:
            self._cancels_sent.setdefault(job, set()).update(shards)
        return [(records.cancel(job, shard), b"1") for shard in shards]

    def send_again(self, job: str) -> None:
        """Forgets which rows of a job were sent: its commit was rejected."""
        self._sent_results.pop(job, None)
        self._cancels_sent.pop(job, None)
        lent = self._loans.lent_pages(job)
        if lent:
            self._uncommitted[job] = lent

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
        pages = range(entry.pages.count)
        refs = [
            records.loan(job, self._shard, shard, page)
            for shard in sorted(borrowers)
            for page in pages
        ]
        if entry.state != workflow_pb2.JOB_COMPLETED:
            refs += [records.cancel(job, shard) for shard in sorted(lent_to)]
        refs += [
            records.result(job, shard, self._shard, page)
            for shard in sorted(results_from)
            for page in pages
        ]
        return refs

    def forget(self, job: str) -> None:
        """Drops what is kept of a job whose rows are removed."""
        self._results_from.pop(job, None)
        self._sent_results.pop(job, None)
        self._cancels_sent.pop(job, None)
