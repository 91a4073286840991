"""Replays bursts of jobs against the decision to accept them."""

import random

import testtools

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import job_admission, work_ahead

Verdict = job_admission.Verdict
MILLICORES = 100_000


def job(count=10, estimate_ms=1000, priority=1, **fields):
    fields.setdefault("cpu_millicores", 2000)
    step = workflow_pb2.Step(
        count=count, estimate_ms=estimate_ms, memory_mib=100, **fields
    )
    policy = workflow_pb2.Policy(
        service="app", priority=priority, stretch=1.5, target_latency_ms=500
    )
    return workflow_pb2.Job(id="0" * 16, steps=[step], policy=policy)


def report(work=(), millicores=MILLICORES, **largest):
    """Returns a shard's report with the work of jobs ahead."""
    load = workflow_pb2.ServiceLoad(
        service="app",
        finite_millicores=millicores,
        fill_millicores=millicores,
        largest_cpu_millicores=32_000,
        largest_memory_mib=64_000,
    )
    for name, value in largest.items():
        setattr(load, name, value)
    for accepted in work:
        for key, core_ms in work_ahead.declared_work(accepted).items():
            load.ahead.add(
                priority=key.priority,
                size_class=key.size_class,
                fills=key.fills,
                core_ms=core_ms,
            )
    return workflow_pb2.Ownership(owner="n/1", services=[load])


def decide(new, *reports, returned=False):
    view = job_admission.LoadView(reports)
    return job_admission.decide(new, view, returned=returned)


class JobAdmissionTest(testtools.TestCase):
    def test_nothing_is_refused_at_the_rate_of_the_workers(self):
        rng = random.Random(3)
        self.assertEqual(0, self.refused_in_a_burst(rng, 0.95))

    def test_burst_of_five_times_the_rate_is_refused_in_part(self):
        # Reproduces callers who ask for five times the room for 20 s.
        refused = self.refused_in_a_burst(random.Random(3), 5.0)
        # A fifth is done as it comes, and the backlog is of use for 6 s.
        self.assertGreater(refused, 0.3)
        self.assertLess(refused, 0.8)

    def refused_in_a_burst(self, rng, load, length_s=20.0):
        """Plays arrivals against workers that do work as it comes."""
        refused = total = 0
        now_s = 0.0
        backlog = []
        done_core_ms = 0.0
        size = 20_000
        while now_s < length_s:
            gap_s = rng.expovariate(load * MILLICORES / size)
            now_s += gap_s
            done_core_ms += gap_s * MILLICORES
            while backlog and done_core_ms >= size:
                backlog.pop(0)
                done_core_ms -= size
            if not backlog:
                done_core_ms = 0.0
            total += 1
            if decide(job(), report(backlog)).verdict is Verdict.ACCEPT:
                backlog.append(job())
            else:
                refused += 1
        return refused / total

    def test_work_of_lower_priority_or_larger_jobs_does_not_count(self):
        backlog = [job(priority=2)] * 100 + [job(count=500)] * 10
        self.assertIs(Verdict.ACCEPT, decide(job(), report(backlog)).verdict)
        backlog = [job(priority=0)] * 100
        self.assertIs(Verdict.TOO_LATE, decide(job(), report(backlog)).verdict)

    def test_all_shards_share_the_work(self):
        backlog = report([job()] * 50)
        self.assertIs(Verdict.TOO_LATE, decide(job(), backlog).verdict)
        decision = decide(job(), backlog, report())
        self.assertIs(Verdict.ACCEPT, decision.verdict)

    def test_fill_work_waits_for_fill_work_only(self):
        backlog = [job(fills=True)] * 50
        self.assertIs(Verdict.ACCEPT, decide(job(), report(backlog)).verdict)
        decision = decide(job(fills=True), report(backlog))
        self.assertIs(Verdict.TOO_LATE, decision.verdict)

    def test_returned_caller_goes_before_a_new_one(self):
        backlog = report([job()] * 40)
        self.assertIs(Verdict.TOO_LATE, decide(job(), backlog).verdict)
        decision = decide(job(), backlog, returned=True)
        self.assertIs(Verdict.ACCEPT, decision.verdict)

    def test_task_larger_than_any_worker(self):
        for name, value in (
            ("cpu_millicores", 33_000),
            ("memory_mib", 65_000),
            ("accelerators", 1),
        ):
            new = job()
            setattr(new.steps[0], name, value)
            decision = decide(new, report())
            self.assertIs(Verdict.NEVER_FITS, decision.verdict)
        larger = report(largest_accelerators=1)
        self.assertIs(Verdict.ACCEPT, decide(new, report(), larger).verdict)

    def test_unknown_service_or_useful_time_is_accepted(self):
        other = job()
        other.policy.service = "other"
        self.assertIs(Verdict.ACCEPT, decide(other, report()).verdict)
        backlog = report([job()] * 500)
        for new in (job(estimate_ms=0), job(estimate_ms=2**32 - 1)):
            self.assertIs(Verdict.ACCEPT, decide(new, backlog).verdict)
        lasting = job(long_running=True)
        self.assertIs(Verdict.ACCEPT, decide(lasting, backlog).verdict)

    def test_nothing_is_refused_while_no_worker_is_ready(self):
        backlog = report([job()] * 500, millicores=0)
        self.assertIs(Verdict.ACCEPT, decide(job(), backlog).verdict)

    def test_absurd_declaration_holds_up_no_smaller_job(self):
        absurd = job(count=1000, estimate_ms=2**32 - 1, cpu_millicores=32_000)
        backlog = report([absurd])
        self.assertIs(Verdict.ACCEPT, decide(job(), backlog).verdict)
