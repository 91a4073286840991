"""Tests of the order and placement of starts."""

import testtools

from tests.test_core.test_workflow import pools
from wisterialug_core.decisions import resources
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    fill_interference,
    job_table,
    model,
    preemption,
    step_placement,
    urgency,
    worker_table,
)

NOW_S = 100.0
NOW_MS = 1_000_000


class PlacementTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.jobs = job_table.JobTable()
        self.pool = worker_table.WorkerTable()
        self.interference = fill_interference.InterferenceModel()

    def worker(self, name, cpu=16_000, rack="r1", **fields):
        return pools.add_worker(self.pool, name, cpu, rack, **fields)

    def job(self, name, *steps, age_ms=0, priority=0, stretch=2.0):
        policy = workflow_pb2.Policy(
            service="app",
            priority=priority,
            max_attempts=2,
            stretch=stretch,
            target_latency_ms=500,
        )
        self.jobs.add(
            workflow_pb2.Job(
                id=name,
                steps=steps,
                accepted_ms=NOW_MS - age_ms,
                policy=policy,
            )
        )

    def plan(self):
        return [
            (p.task.key.job, p.worker.report.id)
            for p in step_placement.plan(
                self.jobs, self.pool, self.interference, NOW_S, NOW_MS
            )
        ]

    def test_capacity_is_never_exceeded(self):
        self.worker("w0", cpu=3000)
        self.worker("w1", cpu=2000)
        self.job("j", step(20))
        self.assertEqual(5, len(self.plan()))
        self.assertEqual([], self.plan())

    def test_unusable_workers_get_no_tasks(self):
        self.worker("draining", state=model.WorkerState.DRAINING)
        self.worker("unfenced").fenced = False
        self.worker("silent").silent_since_s = 1.0
        self.worker("aside").health.set_aside(NOW_S)
        self.worker("gone").gone = True
        self.job("j", step(1))
        self.assertEqual([], self.plan())

    def test_label_and_spread(self):
        self.worker("w0")
        self.worker("w1", rack="r2")
        self.job("label", step(1, required_label="r2"))
        self.job("spread", step(4, max_per_worker=1))
        plan = self.plan()
        self.assertIn(("label", "w1"), plan)
        spread = [worker for job, worker in plan if job == "spread"]
        self.assertEqual(["w0", "w1"], sorted(spread))

    def fail_on(self, job, worker):
        """Records that a run of a job's only task has failed on a worker."""
        task = self.jobs.task(model.TaskKey(job, 0, 0, 0))
        self.jobs.start(task, worker, task.run + 1, NOW_S)
        self.jobs.end(task, model.RunEnd.FAILED, "", NOW_MS)
        self.pool.workers[worker].health.record_failure(job, NOW_S)

    def test_failed_task_is_tried_elsewhere(self):
        # A worker that fails all its runs is always empty, and was chosen again
        # until the task had used up its attempts.
        self.worker("bad", cpu=1000)
        self.worker("good")
        self.job("j", step(1))
        self.assertEqual([("j", "bad")], self.plan())
        task = self.jobs.task(model.TaskKey("j", 0, 0, 0))
        self.pool.release(task, "bad", self.jobs.step(task.key))
        self.jobs.end(task, model.RunEnd.FAILED, "", NOW_MS)
        self.assertEqual([("j", "good")], self.plan())

    def test_failed_task_avoids_workers_that_failed_others(self):
        self.worker("suspect", cpu=1000)
        self.worker("bad")
        self.worker("good")
        self.job("other", step(1))
        self.job("j", step(1))
        self.fail_on("other", "suspect")
        self.fail_on("j", "bad")
        self.assertIn(("j", "good"), self.plan())

    def test_failed_task_runs_where_it_failed_if_there_is_no_other(self):
        self.worker("only")
        self.job("j", step(1))
        self.fail_on("j", "only")
        self.assertEqual([("j", "only")], self.plan())

    def test_tasks_go_near_their_data(self):
        self.worker("w0")
        self.worker("w1", rack="r2")
        self.job("j", step(2, data_rack="r2"))
        self.assertEqual([("j", "w1"), ("j", "w1")], self.plan())

    def test_gang_as_a_whole_or_not_at_all(self):
        self.worker("w0", cpu=3000)
        self.job("j", step(4, gang=True))
        self.assertEqual([], self.plan())
        self.assertEqual(resources.ZERO, self.pool.workers["w0"].reserved)
        self.worker("w1", cpu=1000)
        self.assertEqual(4, len(self.plan()))

    def test_gang_on_one_rack(self):
        self.worker("w0", cpu=3000)
        self.worker("w1", cpu=4000, rack="r2")
        self.job("j", step(4, gang=True, same_rack=True))
        self.assertEqual({("j", "w1")}, set(self.plan()))

    def test_jobs_on_time_go_before_late_ones(self):
        # Backlog whose oldest jobs can no longer be on time.
        self.worker("w0", cpu=1000)
        self.job("late", step(1), age_ms=2300)
        self.job("hopeless", step(1), age_ms=20_000)
        self.job("fresh", step(1), age_ms=100)
        self.job("pressing", step(1), age_ms=1000)
        order = []
        for _ in range(4):
            [(job, _)] = self.plan()
            order.append(job)
            self.finish(job)
        self.assertEqual(["pressing", "fresh", "late", "hopeless"], order)

    def test_small_jobs_of_a_backlog_go_before_large_ones(self):
        # Burst in which not all jobs can be on time.
        self.worker("w0", cpu=1000)
        self.job("large", step(40), age_ms=1000)
        self.job("small", step(1), age_ms=500)
        self.job("older", step(1), age_ms=900)
        order = []
        for _ in range(3):
            [(job, _)] = self.plan()
            order.append(job)
            self.finish(job)
        self.assertEqual(["older", "small", "large"], order)

    def test_last_task_of_a_wide_step_goes_before_smaller_jobs(self):
        # A run that was moved would wait behind all jobs that come meanwhile.
        self.worker("w0", cpu=1000)
        self.job("wide", step(40), age_ms=500)
        for index in range(39):
            task = self.jobs.task(model.TaskKey("wide", 0, 0, index))
            self.jobs.start(task, "w0", 1, NOW_S)
            self.jobs.end(task, model.RunEnd.DONE, "", NOW_MS)
        self.job("small", step(10), age_ms=500)
        self.assertEqual([("wide", "w0")], self.plan())

    def test_long_running_tasks_go_first(self):
        self.worker("w0", cpu=1000)
        self.job("batch", step(1))
        self.job("long", step(1, long_running=True), priority=5)
        self.assertEqual([("long", "w0")], self.plan())

    def test_long_running_task_gets_what_becomes_free(self):
        # Short tasks keep arriving while a long-running one waits.
        self.worker("w0", cpu=3000)
        for number in range(3):
            self.job(f"short{number}", step(1))
        self.assertEqual(3, len(self.plan()))
        wide = step(1, long_running=True)
        wide.cpu_millicores = 3000
        self.job("long", wide)
        for number in range(3):
            self.job(f"more{number}", step(1))
            self.finish(f"short{number}")
            planned = self.plan()
        self.assertEqual([("long", "w0")], planned)

    def test_priority_orders_jobs_on_time(self):
        self.worker("w0", cpu=1000)
        self.job("low", step(1), priority=2)
        self.job("high", step(1), priority=0)
        self.assertEqual([("high", "w0")], self.plan())

    def test_second_step_counts_in_the_latest_start(self):
        self.worker("w0", cpu=1000)
        # 1,100 ms of its 2,900 ms are left for 1,200 ms of work.
        self.job("two", step(1), step(1, after=[0]), age_ms=1800, stretch=2.0)
        self.job("one", step(1), age_ms=0)
        self.assertEqual([("one", "w0")], self.plan())

    def test_fill_task_reserves_no_processor(self):
        worker = self.worker("w0", cpu=4000)
        self.job("j", step(2, fills=True))
        self.assertEqual(2, len(self.plan()))
        self.assertEqual(0, worker.reserved.cpu_millicores)
        self.assertEqual(2000, worker.fill_millicores)

    def test_fill_task_waits_for_samples_of_serving_tasks(self):
        # After a takeover, all tasks wait and no tail has been sampled.
        worker = self.worker("w0")
        self.job("serving", step(1, long_running=True, image="s", target_ms=50))
        self.assertEqual([("serving", "w0")], self.plan())
        self.job("fill", step(1, fills=True, image="f"))
        self.assertEqual([], self.plan())
        worker.samples.targets["s"] = 0.8
        self.assertEqual([("fill", "w0")], self.plan())

    def serve(self, name, load, cpu):
        """Adds a worker whose serving task has a load."""
        worker = self.worker(name, cpu=cpu)
        worker.serving["s"] = 1
        worker.samples.targets["s"] = 0.8
        worker.samples.mean_loads["s"] = load
        return worker

    def test_fill_run_goes_where_it_still_fits_when_the_load_rises(self):
        # Both hold it at full pace now, the larger one only just.
        self.serve("tight", 0.63, cpu=20_000)
        self.serve("ample", 0.4, cpu=16_000)
        self.job("fill", step(1, fills=True, image="f"))
        self.assertEqual([("fill", "ample")], self.plan())

    def test_fill_run_is_not_moved_to_its_own_worker(self):
        self.serve("w0", 0.4, cpu=16_000)
        self.job("fill", step(1, fills=True, image="f"))
        self.plan()
        entry = self.jobs.jobs["fill"]
        task = self.jobs.task(model.TaskKey("fill", 0, 0, 0))
        self.pool.workers["w0"].samples.mean_loads["s"] = 0.5

        def can_move():
            return step_placement.can_move(
                entry, task, self.pool, self.interference, NOW_S
            )

        self.assertFalse(can_move())
        self.serve("w1", 0.4, cpu=16_000)
        self.assertTrue(can_move())

    def load_fully(self, worker):
        """Adds a serving task that leaves no room for fill tasks."""
        self.job("serving", step(1, long_running=True, image="s", target_ms=50))
        self.plan()
        worker.samples.targets["s"] = 0.8
        worker.samples.mean_loads["s"] = 0.79

    def test_starved_job_gets_one_run_where_little_is_reserved(self):
        # At the end of a burst, each image left interferes with all others.
        self.load_fully(self.worker("w0"))
        limit_ms = step_placement.STARVED_MS
        self.job("fill", step(4, fills=True, image="f"), age_ms=limit_ms)
        self.assertEqual([], self.plan())
        self.job("old", step(4, fills=True, image="f"), age_ms=limit_ms + 1)
        self.assertEqual([("old", "w0")], self.plan())
        self.assertEqual([], self.plan())

    def test_starved_job_behind_a_similar_one_gets_a_run(self):
        self.load_fully(self.worker("w0"))
        for number in range(3):
            self.job(
                f"old{number}",
                step(4, fills=True, image="f"),
                age_ms=step_placement.STARVED_MS + 1,
            )
        self.assertEqual(3, len(self.plan()))

    def test_workers_are_not_rated_for_each_job_of_a_backlog(self):
        # Burst of fill jobs that fit on none of the workers.
        for number in range(50):
            worker = self.worker(f"w{number}", cpu=1000)
            worker.serving["s"] = 1
            worker.samples.targets["s"] = 0.8
            worker.samples.mean_loads["s"] = 0.79
        for number in range(100):
            fill = step(20, fills=True, image=f"f{number % 4}")
            fill.memory_mib += number
            self.job(f"fill{number}", fill)
            self.job(f"short{number}", step(20, max_per_worker=0))
        self.assertEqual(50, len(self.plan()))
        calls = []
        room_ratio = self.interference.room_ratio
        self.interference.room_ratio = lambda *args: (
            calls.append(room_ratio(*args)) or calls[-1]
        )
        self.assertEqual([], self.plan())
        # One call for each image and worker, not for each job or task.
        self.assertLessEqual(len(calls), 4 * 50)

    def test_running_fill_work_is_not_rated_for_each_group_that_waits(self):
        # Two owners spent two processors each on a backlog that did not move.
        for number in range(50):
            worker = self.worker(f"w{number}", cpu=16_000)
            worker.serving["s"] = 1
            worker.samples.targets["s"] = 0.8
            worker.samples.mean_loads["s"] = 0.75
            for image in ("x", "y", "z"):
                worker.fill_shares[image] = 0.1
        for number in range(100):
            image = f"f{number % 20}"
            self.job(f"fill{number}", step(20, fills=True, image=image))
        pairs = []
        mean = self.interference.factors.mean
        self.interference.factors.mean = lambda *pair: (
            pairs.append(pair) or mean(*pair)
        )
        self.assertEqual([], self.plan())
        # Of each worker, each image that waits, and once each one that runs.
        self.assertLessEqual(len(pairs), 50 * (20 + 3))

    def test_order_of_a_backlog_is_not_worked_out_in_each_round(self):
        self.load_fully(self.worker("w0", cpu=1000))
        for number in range(100):
            self.job(f"j{number}", step(5), step(5, after=[0]))
        counted = []
        later_core_ms = urgency.later_core_ms
        self.patch(
            urgency,
            "later_core_ms",
            lambda job: counted.append(job.id) or later_core_ms(job),
        )
        for _ in range(20):
            self.assertEqual([], self.plan())
            preemption.select(self.jobs, self.pool, NOW_S, NOW_MS)
        self.assertLessEqual(len(counted), 100)

    def test_starved_job_waits_while_most_is_reserved(self):
        worker = self.worker("w0", cpu=2000)
        self.load_fully(worker)
        self.job("batch", step(1))
        self.plan()
        self.job(
            "old",
            step(4, fills=True, image="f"),
            age_ms=step_placement.STARVED_MS + 1,
        )
        self.assertEqual([], self.plan())

    def test_serving_tasks_of_one_image_share_workers(self):
        for number in range(3):
            self.worker(f"w{number}", cpu=4000)
        for number, image in enumerate("abab"):
            self.job(
                f"j{number}",
                step(2, long_running=True, image=image, target_ms=50),
            )
        self.plan()
        images_per_worker = [len(w.serving) for w in self.pool.workers.values()]
        self.assertEqual([0, 1, 1], sorted(images_per_worker))

    def finish(self, job):
        task = self.jobs.task(model.TaskKey(job, 0, 0, 0))
        worker = task.worker
        self.jobs.end(task, model.RunEnd.DONE, "", NOW_MS)
        self.pool.release(task, worker, step(1))


def step(count, **fields):
    fields.setdefault("estimate_ms", 600)
    return workflow_pb2.Step(
        count=count, cpu_millicores=1000, memory_mib=100, **fields
    )
