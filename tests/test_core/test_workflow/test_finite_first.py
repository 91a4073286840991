"""Tests of finite tasks that go before long-running ones, and stop some."""

import testtools

from tests.test_core.test_workflow import pools
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    fill_interference,
    finite_first,
    job_table,
    model,
    preemption,
    step_placement,
    worker_table,
)

WORKERS = 20
CAPACITY = 16_000
LASTING = 3200
SHORT = 5300


class FiniteFirstTest(testtools.TestCase):
    """A service that has lost workers, so that long-running tasks wait."""

    def setUp(self):
        super().setUp()
        self.jobs = job_table.JobTable()
        self.pool = worker_table.WorkerTable()
        self.now_ms = 1_000_000
        self.active = []
        for number in range(WORKERS):
            pools.add_worker(self.pool, f"w{number}", CAPACITY)

    def submit(self, name, count, millicores, *, lasting=False, priority=0):
        policy = workflow_pb2.Policy(
            service="app",
            priority=priority,
            max_attempts=2,
            stretch=1.5,
            target_latency_ms=250,
        )
        job = workflow_pb2.Job(id=name, accepted_ms=self.now_ms, policy=policy)
        job.steps.add(
            count=count,
            cpu_millicores=millicores,
            memory_mib=100,
            estimate_ms=640,
            long_running=lasting,
        )
        self.jobs.add(job)

    def plan(self):
        starts = step_placement.plan(
            self.jobs,
            self.pool,
            fill_interference.InterferenceModel(),
            self.now_ms / 1000,
            self.now_ms,
        )
        self.active += [start.task for start in starts]
        return [start.task.key.job for start in starts]

    def end(self, task, end=model.RunEnd.DONE):
        worker, step = task.worker, self.jobs.step(task.key)
        self.active.remove(task)
        self.jobs.end(task, end, "", self.now_ms)
        self.pool.release(task, worker, step)

    def fill_with_long_running(self, waiting):
        fit = WORKERS * (CAPACITY // LASTING)
        self.submit("lasting", fit + waiting, LASTING, lasting=True)
        self.plan()

    def test_short_tasks_keep_the_room_of_those_before(self):
        # Each short task that ended left its room to a long-running one.
        self.submit("short-0", 3, SHORT)
        self.plan()
        self.fill_with_long_running(waiting=50)
        for number in range(1, 10):
            self.now_ms += 640
            for task in [t for t in self.active if "short" in t.key.job]:
                self.end(task)
            self.submit(f"short-{number}", 3, SHORT)
            self.assertEqual([f"short-{number}"] * 3, self.plan())

    def test_long_running_tasks_keep_most_processors_in_a_burst(self):
        self.submit("lasting", 1000, LASTING, lasting=True)
        self.submit("short", 1000, SHORT)
        plan = self.plan()
        share = plan.count("short") * SHORT / (WORKERS * CAPACITY)
        self.assertLessEqual(share, finite_first.FIRST_SHARE)
        self.assertGreater(plan.count("lasting"), plan.count("short"))

    def test_lower_priority_does_not_go_first(self):
        self.fill_with_long_running(waiting=50)
        self.submit("short", 1, SHORT, priority=2)
        for task in [t for t in self.active if t.worker == "w0"][:2]:
            self.end(task, model.RunEnd.STOPPED)
        self.assertNotIn("short", self.plan())

    def test_room_for_two_is_not_kept_from_long_running_tasks(self):
        # The platform asks that such a task does not wait beside it.
        self.fill_with_long_running(waiting=1)
        self.submit("wide", 1, CAPACITY)
        for task in [t for t in self.active if t.worker == "w0"][:2]:
            self.end(task, model.RunEnd.STOPPED)
        self.assertIn("lasting", self.plan())

    # Preemption.

    def make_room(self):
        """Returns the tasks to stop, by worker."""
        victims = preemption.select(
            self.jobs, self.pool, self.now_ms / 1000, self.now_ms
        )
        for task in victims:
            task.phase = model.Phase.STOPPING
        return [(task.worker, task) for task in victims]

    def run_long_running(self, **fields):
        """Fills all workers with running long-running tasks."""
        count = WORKERS * (CAPACITY // LASTING)
        self.submit("lasting", count, LASTING, lasting=True, **fields)
        self.plan()
        for number, task in enumerate(self.active):
            task.phase = model.Phase.RUNNING
            task.phase_since_s = self.now_ms / 1000 - 10 + number / 10

    def test_short_task_gets_room_in_a_full_service(self):
        # 18 to 30 s without a single start, while short jobs have a second.
        self.run_long_running()
        self.submit("short", 1, SHORT)
        self.assertEqual([], self.plan())
        self.assertEqual([], self.make_room())
        self.now_ms += 300
        stopped = self.make_room()
        self.assertEqual(2, len(stopped))
        self.assertEqual(1, len({worker for worker, _ in stopped}))
        # The same room is not made twice.
        self.assertEqual([], self.make_room())
        # The first of both to end leaves its room to no long-running task.
        self.end(stopped[0][1], model.RunEnd.STOPPED)
        self.now_ms += 50
        self.assertEqual([], self.plan())
        self.end(stopped[1][1], model.RunEnd.STOPPED)
        self.now_ms += 50
        self.assertEqual("short", self.plan()[0])

    def test_newest_runs_are_stopped(self):
        self.run_long_running()
        self.submit("short", 1, SHORT)
        self.now_ms += 300
        newest = max(task.phase_since_s for task in self.active)
        stopped = [task.phase_since_s for _, task in self.make_room()]
        self.assertIn(newest, stopped)

    def test_room_kept_for_short_tasks_is_free_again_later(self):
        self.run_long_running()
        self.submit("short", 1, SHORT)
        self.now_ms += 300
        for _, task in self.make_room():
            self.end(task, model.RunEnd.STOPPED)
        self.jobs.cancel("short", self.now_ms)
        self.now_ms += int(preemption.REST_S * 1000) + 1
        self.assertEqual(["lasting"] * 2, self.plan())

    def test_stopped_tasks_leave_their_room_to_the_next_short_ones(self):
        # They took it back whenever a short task ended: 150 stops a second.
        self.run_long_running()
        stops = 0
        for number in range(20):
            self.submit(f"short-{number}", 3, SHORT)
            for _ in range(4):
                self.now_ms += 160
                for _, task in self.make_room():
                    self.end(task, model.RunEnd.STOPPED)
                    stops += 1
                self.plan()
            for task in [t for t in self.active if "short" in t.key.job]:
                self.end(task)
            self.plan()
        # Twice for each slot in the 13 s, not for each of the 60 tasks.
        self.assertLess(stops, 30)

    def test_few_are_stopped_in_a_burst(self):
        self.run_long_running()
        self.submit("short", 500, SHORT)
        self.now_ms += 300
        stopped = 0
        for _ in range(50):
            victims = self.make_room()
            for _, task in victims:
                self.end(task, model.RunEnd.STOPPED)
            stopped += len(victims)
            self.plan()
        # Two for each short task.
        most = finite_first.FIRST_SHARE * WORKERS * CAPACITY / SHORT * 2
        self.assertLessEqual(stopped, most + 2)
        self.assertGreater(stopped, most / 2)

    def test_more_important_tasks_are_not_stopped(self):
        self.run_long_running(priority=0)
        self.submit("short", 1, SHORT, priority=2)
        self.now_ms += 300
        self.assertEqual([], self.make_room())

    def test_late_task_gets_room_at_once(self):
        self.run_long_running()
        self.submit("short", 1, SHORT)
        self.now_ms += 2000
        self.assertEqual(2, len(self.make_room()))

    def test_tasks_too_late_to_be_of_use_stop_nothing(self):
        self.run_long_running()
        self.submit("short", 1, SHORT)
        self.now_ms += 5000
        self.assertEqual([], self.make_room())
