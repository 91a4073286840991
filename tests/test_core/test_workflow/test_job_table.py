"""Tests of the table of a shard's jobs."""

import random

import testtools

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import job_table, model, urgency


def job(*steps, **fields):
    return workflow_pb2.Job(
        id="j",
        steps=steps,
        policy=workflow_pb2.Policy(max_attempts=2),
        **fields,
    )


def step(count=1, **fields):
    return workflow_pb2.Step(count=count, cpu_millicores=1000, **fields)


class JobTableTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = job_table.JobTable()

    def run_task(self, name, end, run=1):
        task = self.table.task(model.parse_task_name(name))
        self.table.start(task, "w", run, 0.0)
        self.table.mark_running(task)
        self.table.end(task, end, "", 99)
        return task

    def ready(self, now_ms=0):
        return [
            (key.repetition, key.step)
            for key in self.table.jobs["j"].ready_groups(now_ms)
        ]

    def test_step_waits_for_all_tasks_before_it(self):
        self.table.add(job(step(2), step(1, after=[0])))
        self.assertEqual([(0, 0)], self.ready())
        self.run_task("j.0.0.0", model.RunEnd.DONE)
        self.assertEqual([(0, 0)], self.ready())
        self.run_task("j.0.0.1", model.RunEnd.DONE)
        self.assertEqual([(0, 1)], self.ready())
        self.run_task("j.0.1.0", model.RunEnd.DONE)
        entry = self.table.jobs["j"]
        self.assertEqual(workflow_pb2.JOB_COMPLETED, entry.state)
        self.assertEqual({}, self.table.open_jobs)

    def test_times_and_ready_groups_follow_the_ends_of_steps(self):
        # Both are kept between rounds; compared with a job that keeps nothing.
        for seed in range(20):
            rng = random.Random(seed)
            steps = [
                step(
                    rng.randint(1, 3),
                    estimate_ms=rng.randint(1, 900),
                    after=[a for a in range(number) if rng.random() < 0.4],
                )
                for number in range(5)
            ]
            table = job_table.JobTable()
            table.add(job(*steps, accepted_ms=1))
            entry = table.jobs["j"]
            while True:
                ready = list(entry.ready_groups(0))
                task = rng.choice(
                    [t for g in ready for t in entry.group(g) if t.pending]
                )
                table.start(task, "w", task.run + 1, 0.0)
                table.end(task, model.RunEnd.DONE, "", 99)
                if entry.final:
                    break
                fresh = job_table.JobTable()
                fresh.add(job(*steps, accepted_ms=1))
                fresh.restore(
                    fresh.jobs["j"], table.jobs["j"].progress_pages()[0]
                )
                fresh_entry = fresh.jobs["j"]
                self.assertEqual(
                    list(fresh_entry.ready_groups(0)),
                    list(entry.ready_groups(0)),
                )
                # Of a borrowed job, each group may be asked for at any time.
                for number in range(5):
                    group = model.GroupKey("j", 0, number)
                    self.assertEqual(
                        urgency.order(fresh_entry, group, 0),
                        urgency.order(entry, group, 0),
                    )

    def test_only_failures_use_up_attempts(self):
        self.table.add(job(step(1)))
        for end in (
            model.RunEnd.STOPPED,
            model.RunEnd.LAPSED,
            model.RunEnd.LOST,
        ):
            self.run_task("j.0.0.0", end)
        self.run_task("j.0.0.0", model.RunEnd.FAILED)
        self.assertEqual(workflow_pb2.JOB_RUNNING, self.table.jobs["j"].state)
        self.run_task("j.0.0.0", model.RunEnd.FAILED)
        self.assertEqual(workflow_pb2.JOB_FAILED, self.table.jobs["j"].state)

    def test_long_running_task_never_uses_up_attempts(self):
        self.table.add(job(step(1, long_running=True)))
        for _ in range(5):
            self.run_task("j.0.0.0", model.RunEnd.FAILED)
        self.assertEqual([(0, 0)], self.ready())

    def test_end_of_one_member_ends_the_gang(self):
        self.table.add(job(step(3, gang=True)))
        self.run_task("j.0.0.1", model.RunEnd.DONE)
        self.assertEqual(workflow_pb2.JOB_COMPLETED, self.table.jobs["j"].state)

    def test_task_whose_given_up_run_was_done_is_done(self):
        self.table.add(job(step(1)))
        task = self.run_task("j.0.0.0", model.RunEnd.LOST, run=3)
        self.assertFalse(self.table.complete_given_up(task, 2, 99))
        self.assertTrue(self.table.complete_given_up(task, 3, 99))
        self.assertEqual(workflow_pb2.JOB_COMPLETED, self.table.jobs["j"].state)
        self.assertIn("j", self.table.dirty)

    def test_end_of_a_given_up_run_does_not_count_beside_the_next_run(self):
        self.table.add(job(step(2, gang=True)))
        task = self.run_task("j.0.0.0", model.RunEnd.LOST)
        other = self.table.task(model.parse_task_name("j.0.0.1"))
        self.table.start(other, "w", 2, 0.0)
        self.assertFalse(self.table.complete_given_up(task, 1, 99))
        self.table.end(other, model.RunEnd.LOST, "", 99)
        self.assertTrue(self.table.complete_given_up(task, 1, 99))

    def test_end_of_a_given_up_run_does_not_count_for_a_lent_task(self):
        self.table.add(job(step(1)))
        task = self.run_task("j.0.0.0", model.RunEnd.LOST)
        task.lent_to = "s1"
        self.assertFalse(self.table.complete_given_up(task, 1, 99))

    def test_job_is_queued_until_a_worker_confirms_start(self):
        self.table.add(job(step(1)))
        task = self.table.task(model.parse_task_name("j.0.0.0"))
        self.table.start(task, "w", 1, 0.0)
        self.table.end(task, model.RunEnd.LOST, "", 0)
        self.assertEqual({"": 1}, self.table.waiting_by_route())

    def test_task_that_a_report_makes_up_keeps_its_job_from_ending(self):
        entry = self.table.add(job(step(1)))
        for name in ("j.1.0.0", "j.-1.0.0", "j.0.1.0", "j.0.-1.0", "j.0.0.-1"):
            key = model.parse_task_name(name)
            self.assertIsNone(self.table.task(key))
        task = self.table.task(model.parse_task_name("j.0.0.0"))
        self.table.start(task, "w", 1, 0.0)
        self.table.end(task, model.RunEnd.DONE, "", 0)
        self.assertTrue(entry.all_done())

    def test_repetitions_become_due_one_by_one(self):
        self.table.add(job(step(1), repeats=3, start_at_ms=100, interval_ms=50))
        self.assertEqual([], self.ready(99))
        self.assertEqual([(0, 0)], self.ready(149))
        self.assertEqual([(0, 0), (1, 0), (2, 0)], self.ready(200))

    def test_state_is_restored_from_record(self):
        self.table.add(job(step(3), step(1, after=[0])))
        self.run_task("j.0.0.0", model.RunEnd.DONE, run=2)
        failed = self.run_task("j.0.0.1", model.RunEnd.FAILED)
        failed.checkpoint = "c"
        active = self.table.task(model.parse_task_name("j.0.0.2"))
        self.table.start(active, "w9", 4, 0.0)
        other = job_table.JobTable()
        entry = other.add(job(step(3), step(1, after=[0])))
        adopted = other.restore(entry, self.table.jobs["j"].progress_pages()[0])
        self.assertEqual([("w9", 4)], [(t.worker, t.run) for t in adopted])
        self.assertIs(model.Phase.ADOPTED, adopted[0].phase)
        tasks = entry.group(model.GroupKey("j", 0, 0))
        self.assertEqual([2, 1, 4], [t.run for t in tasks])
        self.assertEqual((1, "c"), (tasks[1].failures, tasks[1].checkpoint))
        self.assertTrue(tasks[0].done)

    def test_dropped_job_is_not_added_again(self):
        self.table.add(job(step(1)))
        self.run_task("j.0.0.0", model.RunEnd.DONE)
        self.table.drop("j")
        self.assertIsNone(self.table.add(job(step(1))))
        self.assertEqual({}, self.table.open_jobs)

    def test_cancel_of_an_ended_job_changes_nothing(self):
        self.table.add(job(step(1)))
        self.run_task("j.0.0.0", model.RunEnd.DONE)
        self.table.cancel("j", 5)
        self.assertEqual(workflow_pb2.JOB_COMPLETED, self.table.jobs["j"].state)
