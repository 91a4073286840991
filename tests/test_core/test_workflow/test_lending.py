"""Tests of lending tasks to other shards."""

import testtools

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import job_table, lending, model

NOW_MS = 1_000_000


def long_running_job(name="j", count=4, **fields):
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
    def test_shard_with_most_room_gets_tasks_while_it_has_room(self):
        # A full shard has lost a rack; a loan takes ROOM_FACTOR * 3,000 free.
        chosen = lending.choose(tasks(10), {"s1": 21_000, "s2": 5000})
        self.assertEqual({"s1"}, {shard for _, shard in chosen})
        self.assertEqual(5, len(chosen))

    def test_full_shards_get_nothing(self):
        self.assertEqual([], lending.choose(tasks(3), {"s1": -4000}))
        self.assertEqual([], lending.choose(tasks(3), {}))

    def test_task_that_was_lent_too_often_stays(self):
        waiting = tasks(1)
        waiting[0][0].loans = lending.MAX_LOANS
        self.assertEqual([], lending.choose(waiting, {"s1": 90_000}))


class LoanTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.home = job_table.JobTable()
        self.other = job_table.JobTable()
        self.entry = self.home.add(long_running_job())

    def indexes(self, jobs):
        return [t.key.index for t in jobs.waiting_long_running(NOW_MS)]

    def lend(self, source, target, index, names=("s0", "s1")):
        key = model.TaskKey("j", 0, 0, index)
        source.lend(source.task(key), names[1])
        loan = source.loan("j", *names)
        target.borrow(loan)
        return loan

    def test_lent_task_waits_in_the_other_shard_only(self):
        self.lend(self.home, self.other, 2)
        self.assertEqual([0, 1, 3], self.indexes(self.home))
        self.assertEqual([2], self.indexes(self.other))

    def test_borrower_continues_run_numbers(self):
        task = self.home.task(model.TaskKey("j", 0, 0, 2))
        self.home.start(task, "w", 5, 0.0)
        self.home.end(task, model.RunEnd.LOST, "", NOW_MS)
        self.lend(self.home, self.other, 2)
        self.assertEqual(5, self.other.task(task.key).run)

    def test_loan_read_twice_changes_nothing(self):
        loan = self.lend(self.home, self.other, 2)
        task = self.other.task(model.TaskKey("j", 0, 0, 2))
        self.other.start(task, "w", 1, 0.0)
        self.assertFalse(self.other.borrow(loan))
        self.assertEqual("w", task.worker)

    def test_old_loan_of_a_returned_task_is_ignored(self):
        old = self.lend(self.home, self.other, 2)
        self.lend(self.other, self.home, 2, ("s1", "s0"))
        self.assertEqual([0, 1, 2, 3], self.indexes(self.home))
        self.assertFalse(self.other.borrow(old))
        self.assertEqual([], self.indexes(self.other))

    def test_loans_outlive_both_owners(self):
        loan = self.lend(self.home, self.other, 2)
        self.lend(self.home, self.other, 3)
        newest = self.home.loan("j", "s0", "s1")
        home, other = job_table.JobTable(), job_table.JobTable()
        home.restore(home.add(self.entry.job), self.home.progress("j"))
        entry = other.add_borrowed(loan.job)
        other.restore(entry, self.other.progress("j"))
        other.borrow(newest)
        self.assertEqual([0, 1], self.indexes(home))
        self.assertEqual([2, 3], self.indexes(other))

    def test_loan_outlives_borrower_without_record(self):
        self.lend(self.home, self.other, 1)
        other = job_table.JobTable()
        other.borrow(self.home.loan("j", "s0", "s1"))
        self.assertEqual([1], self.indexes(other))

    def test_cancel_before_the_loan(self):
        self.other.cancel("j", NOW_MS)
        self.lend(self.home, self.other, 2)
        self.assertEqual([], self.indexes(self.other))
        self.assertEqual({}, self.other.open_jobs)

    def test_cancel_stops_borrowed_tasks(self):
        self.lend(self.home, self.other, 2)
        self.assertTrue(self.other.cancel("j", NOW_MS))
        self.assertEqual([], self.indexes(self.other))

    def test_borrowed_job_is_counted_at_home_only(self):
        self.entry.job.route = "r"
        self.lend(self.home, self.other, 2)
        self.assertEqual({"r": 1}, self.home.waiting_by_route())
        self.assertEqual({}, self.other.waiting_by_route())

    def test_loan_after_a_finite_step(self):
        job = long_running_job("k", after=[1])
        job.steps.add(count=1, estimate_ms=10)
        self.home.add(job)
        first = self.home.task(model.TaskKey("k", 0, 1, 0))
        self.assertNotIn("k", [t.key.job for t in self.pending(self.home)])
        self.home.start(first, "w", 1, 0.0)
        self.home.end(first, model.RunEnd.DONE, "", NOW_MS)
        waiting = [t for t in self.pending(self.home) if t.key.job == "k"]
        self.home.lend(waiting[0], "s1")
        self.other.borrow(self.home.loan("k", "s0", "s1"))
        self.assertEqual(
            [waiting[0].key], [t.key for t in self.pending(self.other)]
        )

    def pending(self, jobs):
        return jobs.waiting_long_running(NOW_MS)

    def test_gangs_are_not_lent(self):
        self.home.add(long_running_job("g", gang=True))
        waiting = {t.key.job for t in self.pending(self.home)}
        self.assertEqual({"j"}, waiting)
