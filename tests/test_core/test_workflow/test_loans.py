"""Tests of handing tasks over to other shards and of their results."""

import testtools

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import job_table, loans, model

NOW_MS = 1_000_000


def long_running_job(name="j", count=4, **fields):
    return workflow_pb2.Job(
        id=name,
        shard="s0",
        steps=[
            workflow_pb2.Step(
                count=count, cpu_millicores=3000, long_running=True, **fields
            )
        ],
    )


def finite_job(*counts, max_attempts=2):
    steps = [
        workflow_pb2.Step(
            count=count, cpu_millicores=1000, after=[n - 1] if n else []
        )
        for n, count in enumerate(counts)
    ]
    return workflow_pb2.Job(
        id="j",
        shard="s0",
        steps=steps,
        policy=workflow_pb2.Policy(max_attempts=max_attempts),
    )


class Shard:
    """The jobs and loans of one shard."""

    def __init__(self, name):
        self.jobs = job_table.JobTable()
        self.loans = loans.Loans(name, self.jobs)


class _TwoShards(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.shards = {"s0": Shard("s0"), "s1": Shard("s1")}
        self.home, self.other = self.shards.values()

    def lend(self, source, target, index, step=0):
        task = self.shards[source].jobs.task(model.TaskKey("j", 0, step, index))
        self.shards[source].loans.lend(task, target)
        loan = self.shards[source].loans.loan("j", target)
        self.shards[target].loans.borrow(loan)
        return loan

    def restored(self, name, *rows):
        """Returns a shard as its next owner loads it from its record."""
        new = Shard(name)
        progress = self.shards[name].jobs.jobs["j"].progress_pages()[0]
        job = self.shards[name].jobs.jobs["j"].job
        if name == "s0":
            entry = new.jobs.add(job)
        else:
            entry = new.jobs.add_borrowed(job)
        new.jobs.restore(entry, progress)
        for row in rows:
            if isinstance(row, workflow_pb2.Loan):
                new.loans.borrow(row)
            else:
                new.loans.apply_result(row, NOW_MS)
        new.jobs.close_if_ended(entry, NOW_MS)
        return new


class LongRunningTest(_TwoShards):
    def setUp(self):
        super().setUp()
        self.entry = self.home.jobs.add(long_running_job())

    def indexes(self, shard):
        return [t.key.index for t in self.pending(shard)]

    def pending(self, shard):
        return shard.jobs.waiting_long_running(NOW_MS)

    def test_lent_task_waits_in_the_other_shard_only(self):
        self.lend("s0", "s1", 2)
        self.assertEqual([0, 1, 3], self.indexes(self.home))
        self.assertEqual([2], self.indexes(self.other))

    def test_borrower_continues_run_numbers(self):
        task = self.home.jobs.task(model.TaskKey("j", 0, 0, 2))
        self.home.jobs.start(task, "w", 5, 0.0)
        self.home.jobs.end(task, model.RunEnd.LOST, "", NOW_MS)
        self.lend("s0", "s1", 2)
        self.assertEqual(5, self.other.jobs.task(task.key).run)

    def test_borrower_and_its_next_owner_know_since_when_a_task_waits(self):
        task = self.home.jobs.task(model.TaskKey("j", 0, 0, 1))
        self.home.jobs.start(task, "w", 1, 0.0)
        self.home.jobs.end(task, model.RunEnd.STOPPED, "", NOW_MS)
        self.lend("s0", "s1", 1)
        for shard in (self.other, self.restored("s1")):
            borrowed = shard.jobs.task(task.key)
            self.assertEqual(NOW_MS, borrowed.last_run_end_ms)

    def test_loan_read_twice_changes_nothing(self):
        loan = self.lend("s0", "s1", 2)
        task = self.other.jobs.task(model.TaskKey("j", 0, 0, 2))
        self.other.jobs.start(task, "w", 1, 0.0)
        self.assertFalse(self.other.loans.borrow(loan))
        self.assertEqual("w", task.worker)

    def test_old_loan_of_a_returned_task_is_ignored(self):
        old = self.lend("s0", "s1", 2)
        self.lend("s1", "s0", 2)
        self.assertEqual([0, 1, 2, 3], self.indexes(self.home))
        self.assertFalse(self.other.loans.borrow(old))
        self.assertEqual([], self.indexes(self.other))

    def test_loans_outlive_both_owners(self):
        self.lend("s0", "s1", 2)
        self.lend("s0", "s1", 3)
        newest = self.home.loans.loan("j", "s1")
        self.assertEqual([0, 1], self.indexes(self.restored("s0")))
        self.assertEqual([2, 3], self.indexes(self.restored("s1", newest)))

    def test_loan_outlives_borrower_without_record(self):
        self.lend("s0", "s1", 1)
        other = Shard("s1")
        other.loans.borrow(self.home.loans.loan("j", "s1"))
        self.assertEqual([1], self.indexes(other))

    def test_cancel_before_the_loan(self):
        self.other.jobs.cancel("j", NOW_MS)
        self.lend("s0", "s1", 2)
        self.assertEqual([], self.indexes(self.other))
        self.assertEqual({}, self.other.jobs.open_jobs)

    def test_cancel_stops_borrowed_tasks(self):
        self.lend("s0", "s1", 2)
        self.assertTrue(self.other.jobs.cancel("j", NOW_MS))
        self.assertEqual([], self.indexes(self.other))

    def test_borrowed_job_is_counted_at_home_only(self):
        self.entry.job.route = "r"
        self.lend("s0", "s1", 2)
        self.assertEqual({"r": 1}, self.home.jobs.waiting_by_route())
        self.assertEqual({}, self.other.jobs.waiting_by_route())

    def test_loan_after_a_finite_step(self):
        job = long_running_job("k", after=[1])
        job.steps.add(count=1, estimate_ms=10)
        self.home.jobs.add(job)
        first = self.home.jobs.task(model.TaskKey("k", 0, 1, 0))
        self.assertNotIn("k", [t.key.job for t in self.pending(self.home)])
        self.home.jobs.start(first, "w", 1, 0.0)
        self.home.jobs.end(first, model.RunEnd.DONE, "", NOW_MS)
        waiting = [t for t in self.pending(self.home) if t.key.job == "k"]
        self.home.loans.lend(waiting[0], "s1")
        self.other.loans.borrow(self.home.loans.loan("k", "s1"))
        self.assertEqual(
            [waiting[0].key], [t.key for t in self.pending(self.other)]
        )

    def test_gangs_are_not_lent(self):
        self.home.jobs.add(long_running_job("g", gang=True))
        waiting = {t.key.job for t in self.pending(self.home)}
        self.assertEqual({"j"}, waiting)

    def test_long_running_tasks_have_no_result(self):
        self.lend("s0", "s1", 2)
        task = self.other.jobs.task(model.TaskKey("j", 0, 0, 2))
        self.other.jobs.start(task, "w", 1, 0.0)
        self.other.jobs.end(task, model.RunEnd.FAILED, "", NOW_MS)
        self.assertIsNone(self.other.loans.results("j").get(0))


class FiniteTest(_TwoShards):
    def setUp(self):
        super().setUp()
        self.home.jobs.add(finite_job(3, 1))

    def run_task(self, shard, index, end=model.RunEnd.DONE, step=0):
        jobs = self.shards[shard].jobs
        task = jobs.task(model.TaskKey("j", 0, step, index))
        jobs.start(task, "w", task.run + 1, 0.0)
        jobs.end(task, end, "", NOW_MS)
        return task

    def ready(self, shard):
        return [
            (group.step, task.key.index)
            for group in shard.jobs.jobs["j"].ready_groups(NOW_MS)
            for task in shard.jobs.jobs["j"].group(group)
            if task.pending
        ]

    def result(self):
        return self.other.loans.results("j").get(0)

    def test_result_lets_the_next_step_begin(self):
        self.lend("s0", "s1", 1)
        self.run_task("s0", 0)
        self.run_task("s0", 2)
        self.assertEqual([], self.ready(self.home))
        self.assertIsNone(self.result())
        self.run_task("s1", 1)
        self.assertEqual(1, self.home.loans.apply_result(self.result(), NOW_MS))
        self.assertEqual([(1, 0)], self.ready(self.home))
        self.assertEqual({}, self.other.jobs.open_jobs)
        self.run_task("s0", 0, step=1)
        state = self.home.jobs.jobs["j"].state
        self.assertEqual(workflow_pb2.JOB_COMPLETED, state)

    def test_result_is_sent_when_the_step_has_no_task_left(self):
        for index in range(2):
            self.lend("s0", "s1", index)
        self.run_task("s1", 0)
        self.assertIsNone(self.result())
        self.run_task("s1", 1)
        self.assertEqual(2, len(self.result().tasks))

    def test_result_that_was_not_sent_is_known_to_the_next_owner(self):
        first = self.lend("s0", "s1", 0)
        second = self.lend("s0", "s1", 1)
        self.run_task("s1", 0)
        other = self.restored("s1", first, second)
        task = other.jobs.task(model.TaskKey("j", 0, 0, 1))
        other.jobs.start(task, "w", 1, 0.0)
        other.jobs.end(task, model.RunEnd.DONE, "", NOW_MS)
        self.assertEqual(2, len(other.loans.results("j").get(0).tasks))

    def test_next_owner_of_a_whole_borrowed_job_forgets_its_lender(self):
        # Without its lender, the record would be removed before the loan, and
        # the owner after that would run the tasks of the loan again.
        self.shards["s0"] = Shard("s0")
        self.shards["s0"].jobs.add(finite_job(1))
        loan = self.lend("s0", "s1", 0)
        self.run_task("s1", 0)
        self.assertTrue(self.other.jobs.jobs["j"].final)
        other = self.restored("s1", loan)
        self.assertEqual({"s0"}, other.jobs.jobs["j"].lenders)

    def test_result_read_twice_or_late_changes_nothing(self):
        self.lend("s0", "s1", 1)
        self.run_task("s1", 1)
        result = self.result()
        self.assertEqual(1, self.home.loans.apply_result(result, NOW_MS))
        self.assertEqual(0, self.home.loans.apply_result(result, NOW_MS))

    def test_job_ends_with_the_last_result(self):
        for index in range(3):
            self.lend("s0", "s1", index)
            self.run_task("s1", index)
        self.home.loans.apply_result(self.result(), NOW_MS)
        self.lend("s0", "s1", 0, step=1)
        self.run_task("s1", 0, step=1)
        self.home.loans.apply_result(self.result(), NOW_MS)
        state = self.home.jobs.jobs["j"].state
        self.assertEqual(workflow_pb2.JOB_COMPLETED, state)

    def test_attempts_are_counted_over_all_shards(self):
        self.run_task("s0", 1, model.RunEnd.FAILED)
        self.lend("s0", "s1", 1)
        task = self.run_task("s1", 1, model.RunEnd.FAILED)
        self.assertEqual(2, task.failures)
        self.assertFalse(task.pending and not self.other.jobs.jobs["j"].final)
        self.home.loans.apply_result(self.result(), NOW_MS)
        state = self.home.jobs.jobs["j"].state
        self.assertEqual(workflow_pb2.JOB_FAILED, state)

    def test_task_given_back_runs_at_home(self):
        old = self.lend("s0", "s1", 1)
        task = self.other.jobs.task(model.TaskKey("j", 0, 0, 1))
        self.run_task("s1", 1, model.RunEnd.LOST)
        self.other.loans.give_back(task, NOW_MS)
        result = self.result()
        self.home.loans.apply_result(result, NOW_MS)
        self.assertIn((0, 1), self.ready(self.home))
        self.assertEqual({}, self.other.jobs.open_jobs)
        # Run numbers go on, and the loan that is read again changes nothing.
        self.assertEqual(2, self.run_task("s0", 1, model.RunEnd.LOST).run)
        self.assertFalse(self.other.loans.borrow(old))
        self.lend("s0", "s1", 1)
        self.assertEqual([(0, 1)], self.ready(self.other))
        self.assertEqual(0, self.home.loans.apply_result(result, NOW_MS))

    def test_job_whose_tasks_came_back_unstarted_is_shown_as_running(self):
        for index in range(3):
            self.lend("s0", "s1", index)
            task = self.other.jobs.task(model.TaskKey("j", 0, 0, index))
            self.other.loans.give_back(task, NOW_MS)
        self.assertEqual(3, self.home.loans.apply_result(self.result(), NOW_MS))
        state = self.home.jobs.jobs["j"].state
        self.assertEqual(workflow_pb2.JOB_QUEUED, state)
        self.assertEqual({"": 1}, self.home.jobs.waiting_by_route())

    def test_job_whose_first_run_was_lost_elsewhere_is_running(self):
        loan = self.lend("s0", "s1", 1)
        task = self.other.jobs.task(model.TaskKey("j", 0, 0, 1))
        self.other.jobs.start(task, "w", 1, 0.0)
        self.other.jobs.mark_running(task)
        self.other.jobs.end(task, model.RunEnd.LOST, "", NOW_MS)
        other = self.restored("s1", loan)
        other.loans.give_back(other.jobs.task(task.key), NOW_MS)
        result = other.loans.results("j")[0]
        self.assertEqual(1, self.home.loans.apply_result(result, NOW_MS))
        state = self.home.jobs.jobs["j"].state
        self.assertEqual(workflow_pb2.JOB_RUNNING, state)

    def test_done_task_stays_done_after_both_owners_are_replaced(self):
        loan = self.lend("s0", "s1", 1)
        self.run_task("s1", 1)
        result = self.result()
        home = self.restored("s0", result)
        other = self.restored("s1", loan)
        self.assertNotIn((0, 1), self.ready(home))
        self.assertEqual([], self.ready(other))
        self.assertEqual({}, other.jobs.open_jobs)

    def test_lent_task_is_not_started_at_home_without_its_result(self):
        self.lend("s0", "s1", 1)
        self.assertNotIn((0, 1), self.ready(self.restored("s0")))

    def test_next_owner_of_an_ended_job_knows_its_borrowers(self):
        # They are told of the end, and the rows of the loan are removed.
        self.lend("s0", "s1", 1)
        self.home.jobs.cancel("j", NOW_MS)
        self.assertEqual({"s1"}, self.restored("s0").loans.lent_to("j"))

    def test_failed_job_is_not_run_again_by_the_next_owner(self):
        loan = self.lend("s0", "s1", 1)
        self.run_task("s1", 1, model.RunEnd.FAILED)
        self.run_task("s1", 1, model.RunEnd.FAILED)
        other = self.restored("s1", loan)
        self.assertEqual({}, other.jobs.open_jobs)

    def test_failed_job_runs_for_ever_if_a_next_owner_reports_less(self):
        first = self.lend("s0", "s1", 0)
        second = self.lend("s0", "s1", 1)
        task = self.run_task("s1", 1, model.RunEnd.LOST)
        self.other.loans.give_back(task, NOW_MS)
        self.run_task("s1", 0, model.RunEnd.FAILED)
        self.run_task("s1", 0, model.RunEnd.FAILED)
        # One row holds the results: the latest replaces those not read yet.
        row = self.result()
        row = (
            self.restored("s1", first, second).loans.results("j").get(0) or row
        )
        self.home.loans.apply_result(row, NOW_MS)
        state = self.home.jobs.jobs["j"].state
        self.assertEqual(workflow_pb2.JOB_FAILED, state)
