"""Rows that record changed jobs, and which of them go into one commit.

What is recorded of a job is split by page. A commit takes whole pages, with the
loans and the results of their tasks, so that no shard reads of a task what its own
record does not say. A job whose pages do not fit into one commit goes on in the
next; the record of each task is true by itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.workflow import record_pages
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import records, row_store

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import job_table
    from wisterialug_daemon.workflow import loan_rows

# A row to write, or to remove where there is no value.
RowChange = tuple[row_store.RowRef, bytes | None]
# The platform accepts 100 entries per call. A commit takes no further page from
# this many rows on; the last one may add 34, the owner adds its own rows and
# removes old ones.
FULL_COMMIT_ROWS = 40
# The platform accepts 1 MB per call, and a commit must arrive within its timeout
# on a thin link. The last page may add its row of 48 KiB, a result of as much, and
# loans of 256 KiB.
FULL_COMMIT_BYTES = 262_144


class Batch:
    """What one commit records.

    Attributes:
      changes: Changed rows, by job.
      left: Pages of these jobs that did not fit, changed or not.
    """

    def __init__(self) -> None:
        self.changes: dict[str, list[RowChange]] = {}
        self.left: set[record_pages.RecordPage] = set()
        self._rows = 0
        self._size_bytes = 0

    @property
    def full(self) -> bool:
        """Returns whether no further page is to be added."""
        return (
            self._rows >= FULL_COMMIT_ROWS
            or self._size_bytes >= FULL_COMMIT_BYTES
        )

    @property
    def all_changes(self) -> list[RowChange]:
        """Returns the changed rows of all jobs."""
        return [row for rows in self.changes.values() for row in rows]

    def covers(self, page: record_pages.RecordPage) -> bool:
        """Returns whether what is known of a page's tasks is recorded."""
        return page.job in self.changes and page not in self.left

    def add(self, job: str, rows: Iterable[RowChange]) -> None:
        """Adds changed rows of a job."""
        changes = self.changes.setdefault(job, [])
        for row in rows:
            changes.append(row)
            self._rows += 1
            self._size_bytes += len(row[1] or b"")

    def restricted_to(self, jobs: Collection[str]) -> Batch:
        """Returns the part of the batch that records these jobs."""
        part = Batch()
        for job in jobs:
            part.add(job, self.changes[job])
        part.left = {page for page in self.left if page.job in jobs}
        return part


class JobRows:
    """Builds the rows of changed jobs of one shard."""

    def __init__(
        self,
        shard: str,
        jobs: job_table.JobTable,
        lent: loan_rows.LoanRows,
        row_bytes: int,
    ) -> None:
        """Begins without knowing any row.

        Args:
          shard: The shard.
          jobs: Its jobs.
          lent: Rows of loans and results.
          row_bytes: Largest size of a row.
        """
        self._shard = shard
        self._jobs = jobs
        self._lent = lent
        self._row_bytes = row_bytes
        # Pages after the first that are in the store, by job, with the hash of
        # what they hold; None if that is not known.
        self._stored: dict[str, dict[int, int | None]] = {}
        # Page with which the next commit of a job goes on.
        self._next_page: dict[str, int] = {}

    def note_stored(self, job: str, page: int) -> None:
        """Notes a page that is in the store."""
        if page:
            self._stored.setdefault(job, {})[page] = None

    def note_rejected(self, job: str) -> None:
        """Notes that the rows of a job that were added last are not stored."""
        stored = self._stored.get(job, {})
        self._stored[job] = dict.fromkeys(stored)
        self._lent.send_again(job)

    def forget(self, job: str) -> None:
        """Drops what is kept of a job whose rows are removed."""
        self._stored.pop(job, None)
        self._next_page.pop(job, None)

    def refs(self, job: str) -> list[row_store.RowRef]:
        """Returns the rows of a job's pages after the first one."""
        pages = sorted(self._stored.get(job, {}))
        return [records.progress(self._shard, job, page) for page in pages]

    def add(self, batch: Batch, job: str) -> bool:
        """Adds the changed rows of a job to a commit, as many as fit.

        Returns:
          Whether all of them fit.
        """
        pages = self._jobs.jobs[job].progress_pages()
        results = self._lent.new_results(job, self._row_bytes)
        stored = self._stored.get(job, {})
        changed = {*pages, *results, *stored, *self._lent.lent_pages(job)}
        queue = self._in_turn(job, changed)
        for number, page in enumerate(queue):
            # The first page is always added: the job's state is there.
            if number and batch.full:
                left = queue[number:]
                batch.left |= {
                    record_pages.RecordPage(job, page) for page in left
                }
                self._next_page[job] = left[0]
                return False
            batch.add(job, self._record(job, page, pages.get(page)))
            batch.add(job, self._lent.take_loans(job, page))
            if page in results:
                batch.add(job, [self._lent.take_result(results[page])])
        self._next_page.pop(job, None)
        batch.add(job, self._lent.take_cancels(job))
        return not self._lent.rows_are_left(job)

    def _in_turn(self, job: str, pages: Iterable[int]) -> list[int]:
        """Returns the first page, then those that were left out last."""
        begin = self._next_page.get(job, 0)
        return sorted(pages, key=lambda page: (page > 0, page < begin, page))

    def _record(
        self, job: str, page: int, content: workflow_pb2.Progress | None
    ) -> list[RowChange]:
        """Returns the row of a page if it has changed."""
        ref = records.progress(self._shard, job, page)
        if content is None:
            known = self._stored.get(job, {})
            if page not in known:
                return []
            del known[page]
            return [(ref, None)]
        left_out = record_pages.fit(content, self._row_bytes)
        if left_out:
            logs.event(
                "checkpoints-not-recorded", job=job, page=page, tasks=left_out
            )
        value = content.SerializeToString()
        if page:
            stored = self._stored.setdefault(job, {})
            if stored.get(page) == hash(value):
                return []
            stored[page] = hash(value)
        return [(ref, value)]
