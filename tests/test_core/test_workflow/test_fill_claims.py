"""Tests of what the progress of fill runs means to their jobs."""

import testtools

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import fill_claims, job_table, model, urgency

ACCEPTED_MS = 1_000_000
STEP_MS = 2500


class FillClaimsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.jobs = job_table.JobTable()
        policy = workflow_pb2.Policy(stretch=2.0, target_latency_ms=1000)
        step = workflow_pb2.Step(
            count=20, cpu_millicores=3500, estimate_ms=STEP_MS, fills=True
        )
        later = workflow_pb2.Step(after=[0])
        later.MergeFrom(step)
        self.job = workflow_pb2.Job(
            id="j",
            steps=[step, later],
            accepted_ms=ACCEPTED_MS,
            policy=policy,
        )

    def claim(self, index=0, *, age_ms=0, progress=0):
        task = self.jobs.task(model.TaskKey("j", 0, 0, index))
        task.progress = progress
        entry = self.jobs.jobs["j"]
        return fill_claims.claim(entry, task, ACCEPTED_MS + age_ms)

    def end_tasks(self, count):
        for index in range(count):
            task = self.jobs.task(model.TaskKey("j", 0, 0, index))
            self.jobs.start(task, "w", 1, 0.0)
            self.jobs.end(task, model.RunEnd.DONE, "", ACCEPTED_MS)

    def test_last_run_of_a_step_goes_before_one_of_many(self):
        self.jobs.add(self.job)
        many = self.claim(19)
        self.end_tasks(19)
        last = self.claim(19)
        self.assertEqual((20, 1), (many.tasks_left, last.tasks_left))
        self.assertGreater(last.value, many.value)

    def test_claim_falls_when_the_job_is_late_and_too_late(self):
        # Objective: 11 s. The chain from this step on takes 5 s.
        self.jobs.add(self.job)
        ages = [5900, 6100, 28_100]
        claims = [self.claim(age_ms=age) for age in ages]
        self.assertEqual(
            [
                urgency.Urgency.ON_TIME,
                urgency.Urgency.LATE,
                urgency.Urgency.TOO_LATE,
            ],
            [claim.urgency for claim in claims],
        )
        values = [claim.value for claim in claims]
        self.assertEqual(sorted(values, reverse=True), values)

    def test_work_done_counts_as_slack(self):
        self.jobs.add(self.job)
        claim = self.claim(age_ms=6100, progress=50)
        self.assertIs(urgency.Urgency.ON_TIME, claim.urgency)
        self.assertEqual(STEP_MS / 2, claim.work_left_ms)

    def test_job_with_much_slack_yields(self):
        self.jobs.add(self.job)
        self.assertGreater(
            self.claim(age_ms=5900).value, self.claim(age_ms=0).value
        )

    def test_borrowed_tasks_are_counted_without_those_at_home(self):
        self.jobs.add_borrowed(self.job)
        for index in (3, 7):
            task = self.jobs.task(model.TaskKey("j", 0, 0, index))
            task.lent_to = ""
        self.assertEqual(2, self.claim(3).tasks_left)
