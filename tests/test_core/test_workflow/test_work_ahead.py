"""Tests of the work that a shard reports to the VMs that accept jobs."""

import testtools

from tests.test_core.test_workflow import pools
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    job_table,
    model,
    task_durations,
    work_ahead,
    worker_table,
)

NOW_MS = 1_000_000


class WorkAheadTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.jobs = job_table.JobTable()
        self.pool = worker_table.WorkerTable()
        self.durations = task_durations.DurationTable()
        for number in range(4):
            self.add_worker(f"w{number}", 16_000)

    def add_worker(self, name, millicores):
        pools.add_worker(self.pool, name, millicores)

    def submit(self, name, age_ms=0, **fields):
        fields = {
            "count": 10,
            "cpu_millicores": 1000,
            "estimate_ms": 1000,
        } | fields
        policy = workflow_pb2.Policy(
            service="app", stretch=1.5, target_latency_ms=500
        )
        job = workflow_pb2.Job(
            id=name, route="r", accepted_ms=NOW_MS - age_ms, policy=policy
        )
        job.steps.add(**fields)
        return self.jobs.add(job)

    def loads(self):
        return work_ahead.service_loads(
            self.jobs, self.pool, self.durations, NOW_MS
        )

    def ahead(self):
        return sum(a.core_ms for load in self.loads() for a in load.ahead)

    def test_what_workers_can_do_and_hold(self):
        self.add_worker("large", 24_000)
        (load,) = self.loads()
        self.assertEqual(24_000, load.largest_cpu_millicores)
        self.assertEqual(88_000, load.finite_millicores)
        self.assertEqual([], list(load.ahead))

    def test_new_owner_counts_workers_that_it_has_not_asked(self):
        # Else all jobs would be refused after each takeover.
        for worker in self.pool.workers.values():
            worker.fenced = False
        (load,) = self.loads()
        self.assertEqual(64_000, load.finite_millicores)

    def test_nothing_is_known_without_workers(self):
        self.submit("j1")
        for name in list(self.pool.workers):
            self.pool.mark_absent(name)
        self.assertEqual([], self.loads())

    def test_least_work_of_jobs_that_can_be_on_time(self):
        self.submit("j1")
        waiting = self.ahead()
        self.assertLess(waiting, 10_000)
        self.assertGreater(waiting, 4_000)
        # New jobs go before one that is late, and no job waits for one that
        # fits nowhere, whatever it declares.
        self.submit("late", age_ms=2000)
        self.submit("huge", cpu_millicores=2**32 - 1, estimate_ms=2**32 - 1)
        self.submit("lasting", long_running=True)
        self.assertEqual(waiting, self.ahead())

    def test_tasks_that_have_run_do_not_count(self):
        entry = self.submit("j1")
        before = self.ahead()
        group = entry.group(model.GroupKey("j1", 0, 0))
        for task in group[:5]:
            task.done = True
            entry.note_done(task.group)
        self.assertAlmostEqual(before / 2, self.ahead(), delta=1)

    def test_work_follows_measured_run_times(self):
        self.submit("j1")
        before = self.ahead()
        step = self.jobs.jobs["j1"].job.steps[0]
        for _ in range(20):
            self.durations.learn(
                task_durations.DurationKey("r", "", 0), step, 4000.0
            )
        self.assertGreater(self.ahead(), 5 * before)
