"""Tests of jobs that are refused for load while others compete for room."""

import random

import eventlet
import result

from tests.test_daemon import workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import job_admission
from wisterialug_daemon.workflow import (
    clock,
    errors,
    intake,
    records,
    refusal_rows,
)
from wisterialug_standins import memory_store

Outcome = intake.Outcome
step = workflow_base.step
ACCEPT = job_admission.Decision(job_admission.Verdict.ACCEPT)
TOO_LATE = job_admission.Decision(
    job_admission.Verdict.TOO_LATE, wait_s=9.0, spare_s=8.0
)


class SlowStore(memory_store.MemoryStore):
    """A view of a store that takes longer for changes than is waited for."""

    DELAY_S = 1.5

    def __init__(self, inner):
        self._inner = inner

    def commit(self, transaction, timeout_s):
        eventlet.spawn_after(self.DELAY_S, self._inner.commit, transaction, 1.0)
        eventlet.sleep(timeout_s)
        return result.Err(errors.StoreUnknownError("timeout"))

    def scan(self, *args, **kwargs):
        return self._inner.scan(*args, **kwargs)


class SubmissionTest(workflow_base.WorkflowTest):
    def setUp(self):
        super().setUp()
        self.start_nodes(2)
        self.owner()
        self.wait_for(lambda: self.reports_known("n0"), 5)
        self.wait_for(lambda: self.reports_known("n1"), 5)
        self.decision = TOO_LATE
        self.job = workflow_pb2.Job(id="a" * 16, spec="x", steps=[step(2)])
        self.jobs[self.job.id] = self.job

    def reports_known(self, name):
        ownership = self.nodes[name].election.ownership(records.FIRST_SHARD)
        return bool(ownership.services)

    def attempt(self, name, decision=None):
        node = self.nodes[name]
        if decision is not None:
            self.patch(
                node.intake._admission, "decide", lambda *_, **__: decision
            )
        job = workflow_pb2.Job()
        job.CopyFrom(self.job)
        return node.intake.submit(
            workflow_base.ROUTE, job, workflow_base.BUDGET_S
        )

    def pass_on(self):
        """Waits until the VMs know of versions after the last change."""
        refusal = self.store.version()
        self.wait_for(
            lambda: all(
                node.election.seen_version >= refusal
                for node in self.nodes.values()
            ),
            5,
        )

    def test_refused_job_never_runs_by_an_earlier_attempt(self):
        # An attempt of unknown outcome is carried out a second late, after
        # another VM has refused the job.
        self.store.late_commit_rate = 1.0
        first = eventlet.spawn(self.attempt, "n0", ACCEPT)
        eventlet.sleep(0.1)
        self.store.late_commit_rate = 0.0
        answer = self.attempt("n1", TOO_LATE)
        self.assertIs(Outcome.REFUSED, answer.outcome)
        self.assertGreater(answer.retry_after_s, 0)
        self.assertIs(Outcome.REFUSED, first.wait().outcome)
        eventlet.sleep(1.5)
        self.assertEqual([], self.fleet.history)
        state = self.nodes["n0"].intake.state(self.job.id, 1.0)
        self.assertIs(Outcome.NO_JOB, state.outcome)
        cancel = self.nodes["n1"].intake.cancel(self.job.id, 1.0)
        self.assertIs(Outcome.NO_JOB, cancel.outcome)

    def test_repeat_of_an_accepted_job_is_not_refused(self):
        self.assertIs(Outcome.OK, self.attempt("n0", ACCEPT).outcome)
        self.assertIs(Outcome.OK, self.attempt("n1", TOO_LATE).outcome)
        self.wait_for_state(self.job.id, workflow_pb2.JOB_COMPLETED)

    def test_late_refusal_does_not_undo_an_acceptance(self):
        self.store.late_commit_rate = 1.0
        first = eventlet.spawn(self.attempt, "n0", TOO_LATE)
        eventlet.sleep(0.1)
        self.store.late_commit_rate = 0.0
        self.assertIs(Outcome.OK, self.attempt("n1", ACCEPT).outcome)
        self.assertIs(Outcome.OK, first.wait().outcome)
        eventlet.sleep(1.2)
        self.wait_for_state(self.job.id, workflow_pb2.JOB_COMPLETED)

    def test_lost_answer_to_a_refusal(self):
        self.store.lost_reply_rate = 1.0
        eventlet.spawn_after(0.1, setattr, self.store, "lost_reply_rate", 0.0)
        answer = self.attempt("n0", TOO_LATE)
        self.assertIs(Outcome.REFUSED, answer.outcome)
        self.assertGreater(answer.retry_after_s, 0)

    def test_refusal_that_is_repeated_is_not_taken_for_a_new_one(self):
        # Of one attempt, an acceptance and then a refusal get no answer; the
        # refusal would have the same bytes as that of an earlier attempt.
        self.assertIs(Outcome.REFUSED, self.attempt("n0", TOO_LATE).outcome)
        self.pass_on()
        decisions = [TOO_LATE, ACCEPT]

        def decide(*_, **__):
            if len(decisions) < 2:
                self.store.late_commit_rate = 1.0
            return decisions.pop(0) if decisions else TOO_LATE

        self.patch(self.nodes["n0"].intake._admission, "decide", decide)
        answer = self.attempt("n0")
        self.store.late_commit_rate = 0.0
        eventlet.sleep(2.5)
        self.assertEqual(1, len({r.task[:16] for r in self.fleet.history}))
        self.assertIsNot(Outcome.REFUSED, answer.outcome)

    def test_caller_who_returns_is_accepted(self):
        self.assertIs(Outcome.REFUSED, self.attempt("n0", TOO_LATE).outcome)
        asked = []

        def decide(job, *, returned):
            del job
            asked.append(returned)
            return ACCEPT if returned else TOO_LATE

        self.patch(self.nodes["n1"].intake._admission, "decide", decide)
        self.pass_on()
        refused_ms = clock.wall_ms()
        self.wait_for(lambda: self.attempt("n1").outcome is Outcome.OK, 6)
        self.assertTrue(asked[-1])
        self.wait_for_state(self.job.id, workflow_pb2.JOB_COMPLETED)
        row = self.store.value(records.job(self.job.id, records.FIRST_SHARD))
        # Its place among the waiting jobs is that of its first attempt.
        accepted_ms = workflow_pb2.Job.FromString(row).accepted_ms
        self.assertLessEqual(accepted_ms, refused_ms)

    def test_slow_store_answers_within_the_callers_time(self):
        # Reproduces a store whose changes wait for each other for seconds.
        intake_n0 = self.nodes["n0"].intake
        self.patch(intake_n0, "_store", SlowStore(self.store))
        started_s = clock.now_s()
        answer = self.attempt("n0")
        self.assertIs(Outcome.OK, answer.outcome)
        self.assertLess(clock.now_s() - started_s, workflow_base.BUDGET_S)

    def test_slow_store_that_other_vms_may_reach(self):
        # The caller keeps the time to try another VM.
        node = self.nodes["n0"]
        self.patch(node.intake, "_store", SlowStore(self.store))
        self.patch(node.election, "ownership_age_s", lambda _: 1.3)
        started_s = clock.now_s()
        self.assertIs(Outcome.UNKNOWN, self.attempt("n0").outcome)
        self.assertLess(
            clock.now_s() - started_s,
            workflow_base.BUDGET_S * intake.SUBMIT_SHARE,
        )

    def test_rows_of_refusals_are_removed(self):
        self.patch(refusal_rows, "KEPT_S", 0.0)
        ref = records.accepted(self.job.id)
        self.attempt("n0", TOO_LATE)
        self.assertIsNotNone(self.store.value(ref))
        self.job.id = "b" * 16
        self.attempt("n0", TOO_LATE)
        self.wait_for(lambda: self.store.value(ref) is None, 2)

    def test_task_that_fits_nowhere_is_refused_at_once(self):
        self.job.steps[0].cpu_millicores = 10**6
        answer = self.attempt("n0")
        self.assertIs(Outcome.REFUSED, answer.outcome)
        self.assertIn("no worker is large enough", answer.detail)

    def test_burst_at_one_vm_is_refused_before_the_next_report(self):
        # Workers take some seconds for it; the report is older than the burst.
        rng = random.Random(2)
        outcomes = []
        begun_s = clock.now_s()
        for _ in range(60):
            job = workflow_pb2.Job(
                id=f"{rng.getrandbits(64):016x}",
                steps=[step(100, cpu_millicores=4000)],
            )
            self.jobs[job.id] = job
            answer = self.nodes["n0"].intake.submit(
                workflow_base.ROUTE, job, workflow_base.BUDGET_S
            )
            outcomes.append(answer.outcome)
        self.assertLess(clock.now_s() - begun_s, 3)
        self.assertIs(Outcome.OK, outcomes[0])
        self.assertIs(Outcome.REFUSED, outcomes[-1])

    def test_accepted_while_reports_are_out_of_date(self):
        admission = self.nodes["n0"].intake._admission
        self.job.steps[0].cpu_millicores = 10**6
        self.patch(admission, "report_age_s", lambda: 1.3)
        self.assertIs(Outcome.OK, self.attempt("n0").outcome)
