"""Tests of tasks whose success is reported after they were given up."""

import time

from tests.test_daemon import shard_base
from wisterialug_core.schema import work_pb2


class LateSuccessTest(shard_base.ShardRunnerTestBase):
    def test_shard_goes_on_after_success_reported_during_the_last_commit(self):
        """The job's last commit waits for the table as the worker reports."""
        self.add_worker("w")
        self.add_job("j", repeatable=False)
        self.work(2)
        self.advance(2000)
        # The lease has certainly expired, and the table is away.
        self.table.silent_calls = 30
        self.scheduler.plan(time.monotonic() + 2 * shard_base.LEASE_S, 0)
        self.runner._plan_and_commit()
        self.assertIsNotNone(self.runner._pending_commit)
        self.sync("w")
        self.table.silent_calls = 0
        self.add_job("k")
        self.work(3)
        self.advance(2000)
        self.work(3)
        self.assertEqual(work_pb2.TASK_STATE_DONE, self.tasks("j")[0].state)
        self.assertEqual(work_pb2.TASK_STATE_DONE, self.tasks("k")[0].state)
