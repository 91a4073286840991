"""Tests of what keeps long-running tasks waiting."""

import testtools

from tests.test_core.test_workflow import pools
from wisterialug_core.decisions import resources
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    job_table,
    long_running_waits,
    model,
    worker_table,
)

NOW_S = 9.0


class LongRunningWaitsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.jobs = job_table.JobTable()
        self.pool = worker_table.WorkerTable()

    def submit(self, **fields):
        step = workflow_pb2.Step(cpu_millicores=3000, **fields)
        policy = workflow_pb2.Policy(service="app")
        job = workflow_pb2.Job(id="j", steps=[step], policy=policy)
        entry = self.jobs.add(job)
        return entry.group(model.GroupKey("j", 0, 0))

    def worker(self, name, used=0):
        worker = pools.add_worker(self.pool, name)
        worker.reserved = resources.Amount(used, 0, 0)
        return worker

    def test_the_longest_wait_is_found(self):
        tasks = self.submit(count=3, long_running=True)
        for task, end_ms in zip(tasks, (5000, 2000, 8000), strict=True):
            task.last_run_end_ms = end_ms
        tasks[2].not_before_s = 12.0
        waits = long_running_waits.waits(self.jobs, NOW_S, 9000)
        self.assertIs(tasks[1], waits.longest)
        self.assertEqual(7.0, waits.waited_s)
        self.assertEqual((3, 1), (waits.waiting, waits.resting))

    def test_a_task_without_a_run_waits_since_its_job_was_accepted(self):
        task = self.submit(count=1, long_running=True)[0]
        self.jobs.jobs["j"].job.accepted_ms = 7500
        waits = long_running_waits.waits(self.jobs, NOW_S, 9000)
        self.assertIs(task, waits.longest)
        self.assertEqual(1.5, waits.waited_s)

    def test_short_tasks_are_left_out(self):
        self.submit(count=1)
        waits = long_running_waits.waits(self.jobs, NOW_S, 9000)
        self.assertIsNone(waits)

    def test_room_is_counted_by_what_bars_the_task_from_it(self):
        task = self.submit(count=2, long_running=True, max_per_worker=1)[0]
        self.worker("open", used=13_000)
        self.worker("full", used=14_000)
        self.worker("kept").kept_until_s = NOW_S + 0.1
        self.worker("limited").step_counts[task.group] = 1
        self.worker("silent").silent_since_s = NOW_S - 1
        room = long_running_waits.room(self.jobs, self.pool, task, NOW_S)
        self.assertEqual(
            long_running_waits.Room(
                open=1,
                kept=1,
                limited=1,
                unusable=1,
                free_millicores=3000 + 2000 + 16_000 + 16_000,
            ),
            room,
        )
