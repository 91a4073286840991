"""Tests of the size of an owner's changes."""

import testtools

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    job_table,
    loans,
    model,
    record_pages,
)
from wisterialug_daemon.workflow import job_rows, loan_rows

SHARD = "s0"
# What the platform accepts in a row and in one call, the latter in base64.
ROW_BYTES = 65_536
CALL_BYTES = 1_000_000
CALL_ROWS = 100
WORKER = "i-0123456789@1796445184977"


class LargeCommitTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.jobs = job_table.JobTable()
        self.loans = loans.Loans(SHARD, self.jobs)
        self.lent = loan_rows.LoanRows(SHARD, self.jobs, self.loans)
        self.rows = job_rows.JobRows(SHARD, self.jobs, self.lent, ROW_BYTES)
        self.recorded = {}

    def add_job(self, number, *counts, checkpoint=""):
        """Adds a job of which each task runs."""
        job = workflow_pb2.Job(
            id=f"{number:016x}",
            shard=SHARD,
            steps=[workflow_pb2.Step(count=count) for count in counts],
        )
        entry = self.jobs.add(job)
        for step, _ in enumerate(counts):
            for task in entry.group(model.GroupKey(job.id, 0, step)):
                task.checkpoint = checkpoint
                self.jobs.start(task, WORKER, 1, 0.0)
        return entry

    def commit(self):
        """Commits what fits; returns the batch."""
        batch = job_rows.Batch()
        for job in list(self.jobs.dirty):
            if self.rows.add(batch, job):
                self.jobs.dirty.discard(job)
            if batch.full:
                break
        sizes = [len(value or b"") for _, value in batch.all_changes]
        self.assertLessEqual(max(sizes), ROW_BYTES)
        self.assertLess(sum(sizes) * 4 / 3, CALL_BYTES)
        self.assertLess(len(sizes), CALL_ROWS)
        for ref, value in batch.all_changes:
            self.recorded[ref] = value
        return batch

    def commit_all(self):
        batches = []
        while self.jobs.dirty:
            batches.append(self.commit())
        return batches

    def recorded_tasks(self):
        return [
            task
            for value in self.recorded.values()
            for task in workflow_pb2.Progress.FromString(value).tasks
        ]

    def test_commit_of_large_records_fits_into_one_call(self):
        for number in range(60):
            self.add_job(number, 100, checkpoint="c" * 550)
        self.commit_all()
        self.assertEqual(6000, len(self.recorded_tasks()))

    def test_record_waits_for_ever_while_others_change(self):
        jobs = [self.add_job(number, 20).job.id for number in range(400)]
        self.commit_all()
        recorded = dict.fromkeys(jobs, 0)
        for turn in range(1, 31):
            for job in jobs:
                self.jobs.dirty.add(job)
            for job in self.commit().changes:
                recorded[job] = turn
        self.assertGreater(min(recorded.values()), 20)

    def test_small_records_share_a_commit(self):
        for number in range(60):
            self.add_job(number, 8)
        self.assertEqual(2, len(self.commit_all()))

    def test_record_of_a_wide_job_exceeds_a_row(self):
        self.add_job(1, 1200, 1200, 1200, 400)
        self.commit_all()
        self.assertEqual(4000, len(self.recorded_tasks()))

    def test_pages_that_do_not_change_are_not_written_again(self):
        entry = self.add_job(1, 1200)
        self.commit_all()
        task = entry.group(model.GroupKey(entry.job.id, 0, 0))[-1]
        self.jobs.end(task, model.RunEnd.DONE, "", 0)
        (batch,) = self.commit_all()
        # That of the state, and that of the task.
        self.assertEqual(2, len(batch.all_changes))

    def test_no_page_waits_for_ever_beside_others_that_change(self):
        entry = self.add_job(1, 1200, 1200, 1200, 400, checkpoint="c" * 300)
        covered = set()
        for number in range(7):
            for tasks in entry.groups.values():
                for task in tasks:
                    task.checkpoint = f"{number}" + "c" * 300
            self.jobs.dirty.add(entry.job.id)
            batch = self.commit()
            covered |= {
                page
                for page in range(entry.pages.count)
                if batch.covers(record_pages.RecordPage(entry.job.id, page))
            }
        self.assertEqual(set(range(entry.pages.count)), covered)

    def test_long_checkpoints_keep_a_record_out_of_its_row(self):
        self.add_job(1, 90, checkpoint="c" * 2000)
        self.commit_all()
        tasks = self.recorded_tasks()
        self.assertEqual(90, len(tasks))
        self.assertGreater(sum(bool(task.checkpoint) for task in tasks), 20)

    def test_job_that_has_ended_leaves_no_page_behind(self):
        entry = self.add_job(1, 1200)
        self.commit_all()
        for task in entry.group(model.GroupKey(entry.job.id, 0, 0)):
            self.jobs.end(task, model.RunEnd.DONE, "", 0)
        self.commit_all()
        left = [ref for ref, value in self.recorded.items() if value]
        self.assertEqual([entry.job.id], [ref.key for ref in left])

    def test_loans_of_a_large_job_fit_into_one_call(self):
        job = workflow_pb2.Job(
            id=f"{1:016x}",
            shard=SHARD,
            spec="s" * 4000,
            steps=[
                workflow_pb2.Step(count=100, image="i" * 4000)
                for _ in range(12)
            ],
        )
        entry = self.jobs.add(job)
        lent = 0
        for step in range(12):
            for task in entry.group(model.GroupKey(job.id, 0, step)):
                shard = f"s{1 + task.key.index % 40}"
                page = entry.pages.of(task.key)
                if self.lent.begin_loan(job.id, page, shard):
                    self.loans.lend(task, shard)
                    lent += 1
        self.commit_all()
        rows = [
            workflow_pb2.Loan.FromString(value)
            for ref, value in self.recorded.items()
            if ref.key.startswith("loan:")
        ]
        self.assertEqual(lent, sum(len(loan.tasks) for loan in rows))
