"""Tests of what is lent to which shard, and of books that lend."""

import testtools

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import job_table, lending, model

NOW_MS = 1_000_000


def lasting_job(name="j", count=4, **fields):
    return workflow_pb2.Job(
        id=name,
        steps=[
            workflow_pb2.Step(
                count=count, cpu_millicores=3000, long_running=True, **fields
            )
        ],
    )


def tasks(count):
    return [
        (model.Task(model.TaskKey("j", 0, 0, index)), 3000)
        for index in range(count)
    ]


class ChooseTest(testtools.TestCase):
    def test_shard_with_most_room_gets_them_while_it_has_room(self):
        # Replays the loss of a rack in a full shard beside an emptier one.
        chosen = lending.choose(tasks(10), {"s1": 21_000, "s2": 5000})
        self.assertEqual({"s1"}, {shard for _, shard in chosen})
        self.assertEqual(5, len(chosen))

    def test_full_shards_get_nothing(self):
        self.assertEqual([], lending.choose(tasks(3), {"s1": -4000}))
        self.assertEqual([], lending.choose(tasks(3), {}))

    def test_task_that_nobody_could_run_stays(self):
        waiting = tasks(1)
        waiting[0][0].loans = lending.MAX_LOANS
        self.assertEqual([], lending.choose(waiting, {"s1": 90_000}))


class BookTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.home = job_table.JobTable()
        self.other = job_table.JobTable()
        self.entry = self.home.add(lasting_job())

    def waiting(self, jobs):
        return [t.key.index for t in jobs.waiting_long_running(NOW_MS)]

    def lend(self, source, target, index, names=("s0", "s1")):
        key = model.TaskKey("j", 0, 0, index)
        source.lend(source.task(key), names[1])
        loan = source.loan("j", *names)
        target.borrow(loan)
        return loan

    def test_lent_task_waits_in_the_other_shard_only(self):
        self.lend(self.home, self.other, 2)
        self.assertEqual([0, 1, 3], self.waiting(self.home))
        self.assertEqual([2], self.waiting(self.other))

    def test_runs_are_counted_on(self):
        task = self.home.task(model.TaskKey("j", 0, 0, 2))
        self.home.start(task, "w", 5, 0.0)
        self.home.end(task, model.RunEnd.LOST, "", NOW_MS)
        self.lend(self.home, self.other, 2)
        self.assertEqual(5, self.other.task(task.key).run)

    def test_loan_that_is_read_again_changes_nothing(self):
        loan = self.lend(self.home, self.other, 2)
        task = self.other.task(model.TaskKey("j", 0, 0, 2))
        self.other.start(task, "w", 1, 0.0)
        self.assertFalse(self.other.borrow(loan))
        self.assertEqual("w", task.worker)

    def test_task_that_came_back_is_not_lent_by_the_old_row(self):
        old = self.lend(self.home, self.other, 2)
        self.lend(self.other, self.home, 2, ("s1", "s0"))
        self.assertEqual([0, 1, 2, 3], self.waiting(self.home))
        self.assertFalse(self.other.borrow(old))
        self.assertEqual([], self.waiting(self.other))

    def test_loans_outlive_both_owners(self):
        loan = self.lend(self.home, self.other, 2)
        self.lend(self.home, self.other, 3)
        newest = self.home.loan("j", "s0", "s1")
        home, other = job_table.JobTable(), job_table.JobTable()
        home.restore(home.add(self.entry.job), self.home.progress("j"))
        entry = other.add_borrowed(loan.job)
        other.restore(entry, self.other.progress("j"))
        other.borrow(newest)
        self.assertEqual([0, 1], self.waiting(home))
        self.assertEqual([2, 3], self.waiting(other))

    def test_borrower_that_never_recorded_anything(self):
        self.lend(self.home, self.other, 1)
        other = job_table.JobTable()
        other.borrow(self.home.loan("j", "s0", "s1"))
        self.assertEqual([1], self.waiting(other))

    def test_cancel_that_came_before_the_loan(self):
        self.other.cancel("j", NOW_MS)
        self.lend(self.home, self.other, 2)
        self.assertEqual([], self.waiting(self.other))
        self.assertEqual({}, self.other.open_jobs)

    def test_cancel_stops_borrowed_tasks(self):
        self.lend(self.home, self.other, 2)
        self.assertTrue(self.other.cancel("j", NOW_MS))
        self.assertEqual([], self.waiting(self.other))

    def test_borrowed_job_is_counted_at_home_only(self):
        self.entry.job.route = "r"
        self.lend(self.home, self.other, 2)
        self.assertEqual({"r": 1}, self.home.waiting_by_route())
        self.assertEqual({}, self.other.waiting_by_route())

    def test_turn_came_after_a_finite_step(self):
        job = lasting_job("k", after=[1])
        job.steps.add(count=1, estimate_ms=10)
        self.home.add(job)
        first = self.home.task(model.TaskKey("k", 0, 1, 0))
        self.assertNotIn("k", [t.key.job for t in self.lasting(self.home)])
        self.home.start(first, "w", 1, 0.0)
        self.home.end(first, model.RunEnd.DONE, "", NOW_MS)
        waiting = [t for t in self.lasting(self.home) if t.key.job == "k"]
        self.home.lend(waiting[0], "s1")
        self.other.borrow(self.home.loan("k", "s0", "s1"))
        self.assertEqual(
            [waiting[0].key], [t.key for t in self.lasting(self.other)]
        )

    def lasting(self, jobs):
        return jobs.waiting_long_running(NOW_MS)

    def test_gangs_are_not_lent(self):
        self.home.add(lasting_job("g", gang=True))
        waiting = {t.key.job for t in self.lasting(self.home)}
        self.assertEqual({"j"}, waiting)
