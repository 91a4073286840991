"""Tests that no row of a shard's inbox is lost beside one that can't be used."""

from unittest import mock

from tests.test_daemon import workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_daemon.workflow import records, row_store, shard_contents

step = workflow_base.step


class InboxTest(workflow_base.WorkflowTest):
    def setUp(self):
        super().setUp()
        self.start_nodes(1)
        self.owner()

    def test_job_beside_a_row_that_can_not_be_read(self):
        shard = records.FIRST_SHARD
        job = workflow_pb2.Job(
            id="a" * 16,
            spec="x",
            shard=shard,
            steps=[step(1)],
            policy=workflow_base.ROUTE.policy,
        )
        writes = (
            (records.job(job.id, shard), job.SerializeToString()),
            (records.job("b" * 16, shard), b"\xff"),
            (
                records.accepted(job.id),
                workflow_pb2.Admission(
                    id=job.id, shard=shard
                ).SerializeToString(),
            ),
        )
        self.store.commit(row_store.Transaction(writes=writes), 1.0).unwrap()
        self.wait_for_state(job.id, workflow_pb2.JOB_COMPLETED, 5)

    def test_job_whose_row_could_not_be_applied_at_first(self):
        apply = shard_contents.ShardContents.apply
        failures = [ValueError("first")]

        def fail_once(contents, inbox):
            if failures:
                raise failures.pop()
            apply(contents, inbox)

        self.enterContext(
            mock.patch.object(shard_contents.ShardContents, "apply", fail_once)
        )
        job = self.submit(step(1))
        self.wait_for_state(job, workflow_pb2.JOB_COMPLETED, 5)
        self.assertEqual([], failures)
