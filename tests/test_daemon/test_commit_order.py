"""Tests of which changed jobs a commit records, where it can't hold all."""

from unittest import mock

import testtools

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import job_table, model
from wisterialug_daemon.workflow import job_rows, shard_recorder

# More than three commits hold.
JOBS = 4 * job_rows.FULL_COMMIT_ROWS


class StarvedRecordTest(testtools.TestCase):
    """Jobs change faster than commits record them."""

    def test_each_job_is_recorded_in_its_turn(self):
        owner = mock.Mock()
        owner.shard_jobs = jobs = job_table.JobTable()
        owner.cfg.page_bytes = 48 * 1024
        owner.rows.shard = "s0"
        lent = mock.Mock()
        lent.rows.new_results.return_value = {}
        lent.rows.lent_pages.return_value = set()
        lent.rows.take_loans.return_value = []
        lent.rows.take_cancels.return_value = []
        lent.rows.rows_are_left.return_value = False
        recorder = shard_recorder.ShardRecorder(owner, lent)
        step = workflow_pb2.Step(count=1, cpu_millicores=1000)
        tasks = []
        for number in range(JOBS):
            entry = jobs.add(workflow_pb2.Job(id=f"job-{number}", steps=[step]))
            tasks += entry.group(model.GroupKey(entry.job.id, 0, 0))
        recorded = set()
        for _ in range(JOBS // job_rows.FULL_COMMIT_ROWS):
            for task in tasks:
                jobs.dirty.add(task.key.job)
            recorded |= recorder.take().changes.keys()
        self.assertEqual(JOBS, len(recorded))
