"""Tests of which waiting groups a round considers."""

import testtools

from tests.test_core.test_workflow import pools
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    fill_interference,
    job_table,
    model,
    placement_queue,
    step_placement,
    worker_table,
)

NOW_S = 100.0
NOW_MS = 1_000_000


class BoundedTest(testtools.TestCase):
    def bounded(self, items, limit):
        return placement_queue.bounded(items, lambda item: item[0], limit)

    def test_short_queue_is_kept_whole(self):
        self.assertEqual(["b2", "a1"], self.bounded(["b2", "a1"], 2))

    def test_kind_that_waits_longest_hides_the_others(self):
        items = [f"a{n}" for n in range(50)] + ["b0", "c0", "b1"]
        chosen = self.bounded(items, 10)
        self.assertEqual([*items[:10], "b0", "c0", "b1"], chosen)

    def test_kinds_that_were_looked_at_get_no_more(self):
        items = [f"{'ab'[n % 2]}{n}" for n in range(50)]
        self.assertEqual(items[:10], self.bounded(items, 10))

    def test_queue_of_many_kinds_is_bounded(self):
        items = [f"a{n}" for n in range(20)]
        items += [f"{chr(98 + n % 20)}{n}" for n in range(60)]
        self.assertEqual(10, len(self.bounded(items, 5)))


class BlockedQueueTest(testtools.TestCase):
    """Groups that can start nowhere keep all later ones from being placed."""

    BLOCKED_JOBS = 110
    WORKERS = 4
    LATER_JOBS = 5

    def setUp(self):
        super().setUp()
        self.jobs = job_table.JobTable()
        self.workers = worker_table.WorkerTable()
        for number in range(self.WORKERS):
            pools.add_worker(self.workers, f"w{number}")

    def add_job(self, name, priority, *steps):
        policy = workflow_pb2.Policy(
            service="app", priority=priority, max_attempts=2, stretch=2.0
        )
        job = workflow_pb2.Job(
            id=name, steps=steps, accepted_ms=NOW_MS, policy=policy
        )
        self.jobs.add(job)

    def plan(self):
        """Returns the names of the jobs of which something starts."""
        placed = step_placement.plan(
            self.jobs,
            self.workers,
            fill_interference.InterferenceModel(),
            NOW_S,
            NOW_MS,
        )
        return {start.task.key.job for start in placed}

    def run_on_each_worker(self, **fields):
        """Starts a job that has one task on each worker."""
        self.add_job(
            "small", 0, step(count=self.WORKERS, max_per_worker=1, **fields)
        )
        self.assertEqual({"small"}, self.plan())

    def later_jobs_placed(self, **blocked):
        """Returns how many later jobs start behind 440 blocked groups."""
        for number in range(self.BLOCKED_JOBS):
            self.add_job(f"a{number:03}", 0, *[step(**blocked)] * 4)
        for number in range(self.LATER_JOBS):
            lasting = number % 2 == 1 and "long_running" in blocked
            self.add_job(f"z{number}", 2, step(long_running=lasting))
        return sum(name.startswith("z") for name in self.plan())

    def test_groups_that_no_worker_may_run_block_the_others(self):
        placed = self.later_jobs_placed(required_label="lost-kind")
        self.assertEqual(self.LATER_JOBS, placed)

    def test_groups_larger_than_any_worker_block_the_others(self):
        placed = self.later_jobs_placed(cpu_millicores=17_000)
        self.assertEqual(self.LATER_JOBS, placed)

    def test_groups_that_wait_for_a_full_worker_block_the_others(self):
        pools.add_worker(self.workers, "only", cpu=1000, rack="r9")
        placed = self.later_jobs_placed(required_label="r9")
        self.assertEqual(self.LATER_JOBS, placed)

    def test_long_running_tasks_as_large_as_a_worker_block_the_others(self):
        self.run_on_each_worker(long_running=True)
        placed = self.later_jobs_placed(
            cpu_millicores=16_000, long_running=True
        )
        self.assertEqual(self.LATER_JOBS, placed)

    def test_tasks_more_than_allowed_on_each_worker_block_the_others(self):
        self.later_jobs_placed(
            cpu_millicores=1,
            count=self.WORKERS + 1,
            max_per_worker=1,
            long_running=True,
        )
        self.add_job("later", 2, step())
        self.assertIn("later", self.plan())

    def test_long_running_tasks_get_the_workers_that_finite_runs_leave(self):
        # Each worker is held for one of them, as in a short queue.
        self.run_on_each_worker()
        placed = self.later_jobs_placed(
            cpu_millicores=16_000, long_running=True
        )
        self.assertEqual(0, placed)
        small = self.jobs.jobs["small"]
        for task in small.group(model.GroupKey("small", 0, 0)):
            self.workers.release(task, task.worker, step())
            self.jobs.end(task, model.RunEnd.DONE, "", NOW_MS)
        self.assertEqual({"a000"}, self.plan())


def step(cpu_millicores=1000, count=1, **fields):
    return workflow_pb2.Step(
        count=count,
        cpu_millicores=cpu_millicores,
        memory_mib=100,
        estimate_ms=600,
        **fields,
    )
