"""Tests of table commits whose calls got no response."""

from tests.test_daemon import shard_base
from wisterialug_core.schema import work_pb2
from wisterialug_daemon import shard_runner

# More calls than one commit makes before it gives up.
OUTAGE_CALLS = 30


class UnansweredCommitTest(shard_base.ShardRunnerTestBase):
    def test_shard_goes_on_after_commit_that_was_unanswered_in_an_outage(self):
        """The commit is done, and its response is lost in an outage."""
        self.add_worker("w")
        self.add_job("j")
        self.runner.poll()
        self.table.lost_answers = 1
        self.table.silent_calls = OUTAGE_CALLS
        self.runner._plan_and_commit()
        self.assertIsNotNone(self.runner._pending_commit)
        self.assertEqual(work_pb2.TASK_STATE_STARTING, self.tasks("j")[0].state)
        self.table.silent_calls = 0
        self.work(2)
        self.advance(2000)
        self.work(3)
        self.assertEqual(work_pb2.TASK_STATE_DONE, self.tasks("j")[0].state)
        self.assertEqual(1, self.tasks("j")[0].attempt)

    def test_commit_without_effect_in_an_outage_is_written_after_it(self):
        self.add_worker("w")
        self.add_job("j")
        self.runner.poll()
        self.table.silent_calls = OUTAGE_CALLS
        self.runner._plan_and_commit()
        self.assertEqual(work_pb2.TASK_STATE_PENDING, self.tasks("j")[0].state)
        self.table.silent_calls = 0
        self.work(2)
        self.advance(2000)
        self.work(3)
        self.assertEqual(work_pb2.TASK_STATE_DONE, self.tasks("j")[0].state)
        self.assertFalse(
            shard_runner.marker_key(shard_base.SHARD, "j", 0) in self.table.rows
        )
