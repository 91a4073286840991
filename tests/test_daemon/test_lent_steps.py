"""Tests of which waiting tasks an owner lends."""

from unittest import mock

import testtools

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import job_table, model, placement_wait
from wisterialug_daemon.workflow import lender


class DataRackTest(testtools.TestCase):
    """A full shard with the data of a step, beside a shard with room."""

    def lent(self, waits):
        """Returns the indexes of the tasks that are lent."""
        jobs = job_table.JobTable()
        step = workflow_pb2.Step(count=3, cpu_millicores=500, data_rack="r1")
        jobs.add(workflow_pb2.Job(id="j", steps=[step]))
        keeper = mock.Mock()
        keeper.layout.eligible.return_value = [1]
        offer = workflow_pb2.Ownership(renewal=1, free_slots=[40])
        loans = lender.Lender(
            "s0",
            jobs,
            mock.Mock(),
            keeper,
            lambda: {"s1": offer},
            waits,
            65_536,
        )
        loans.check(now_s=1.0)
        tasks = jobs.jobs["j"].group(model.GroupKey("j", 0, 0))
        return [task.key.index for task in tasks if task.lent_to]

    def test_task_is_lent_once_waiting_for_its_rack_does_not_pay(self):
        waits = placement_wait.Waits(2.0)
        waits.stay = {model.TaskKey("j", 0, 0, 0)}
        self.assertEqual([1, 2], self.lent(waits))

    def test_task_stays_where_the_cost_of_distance_is_not_known(self):
        self.assertEqual([], self.lent(placement_wait.Waits()))


class LastingTaskTest(testtools.TestCase):
    """A full shard beside one with room, where a run ends for each loan."""

    def test_room_that_is_reported_again_is_not_used(self):
        jobs = job_table.JobTable()
        step = workflow_pb2.Step(
            count=4, cpu_millicores=4000, long_running=True
        )
        jobs.add(workflow_pb2.Job(id="j", steps=[step]))
        tasks = jobs.jobs["j"].group(model.GroupKey("j", 0, 0))
        keeper = mock.Mock()
        keeper.layout.eligible.return_value = [1]
        report = workflow_pb2.Ownership(renewal=1, room_millicores=16_000)
        loans = lender.Lender(
            "s0",
            jobs,
            mock.Mock(),
            keeper,
            lambda: {"s1": report},
            placement_wait.Waits(),
            65_536,
        )

        def lent():
            return sum(bool(task.lent_to) for task in tasks)

        loans.check(now_s=1.0)
        loans.check(now_s=2.5)
        self.assertEqual(2, lent())
        # The next renewal may have been made before the loans arrived.
        report.renewal += 1
        loans.check(now_s=3.0)
        self.assertEqual(2, lent())
        report.renewal += 1
        loans.check(now_s=3.5)
        self.assertEqual(4, lent())
