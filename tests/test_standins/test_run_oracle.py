"""Tests that the oracle reports each violated guarantee."""

import testtools

from wisterialug_core.decisions import resources
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import model
from wisterialug_standins import emulated_worker, run_oracle

DONE = model.RunEnd.DONE
FAILED = model.RunEnd.FAILED


def run(task, number, began_s, ended_s=0.0, end=None, *, acked=False):
    return emulated_worker.RunRecord(
        task, number, f"w{number}", 1, began_s, "", ended_s, end, acked
    )


class RunOracleTest(testtools.TestCase):
    def faults(self, *history, is_long_running=False):
        step = workflow_pb2.Step(count=1, long_running=is_long_running)
        job = workflow_pb2.Job(
            id="j",
            steps=[step, workflow_pb2.Step(count=1, after=[0])],
            policy=workflow_pb2.Policy(max_attempts=1),
        )
        return run_oracle.violations(run_oracle.Trace(list(history), [job]))

    def test_valid_history(self):
        first = run("j.0.0.0", 1, 1.0, 2.0, DONE, acked=True)
        self.assertEqual([], self.faults(first, run("j.0.1.0", 1, 2.5)))

    def test_concurrent_runs_of_a_task(self):
        history = run("j.0.0.0", 1, 1.0), run("j.0.0.0", 2, 2.0)
        self.assertEqual(1, len(self.faults(*history)))
        self.assertEqual(1, len(self.faults(*history, is_long_running=True)))

    def test_run_after_an_acked_end(self):
        history = (
            run("j.0.0.0", 1, 1.0, 2.0, DONE, acked=True),
            run("j.0.0.0", 2, 3.0, 4.0, DONE, acked=True),
        )
        self.assertEqual(1, len(self.faults(*history)))
        self.assertEqual([], self.faults(*history, is_long_running=True))

    def test_step_begun_before_its_predecessor_ended(self):
        history = run("j.0.1.0", 1, 1.0), run("j.0.0.0", 1, 1.0, 2.0, DONE)
        self.assertEqual(1, len(self.faults(*history)))

    def test_gang_ends_with_its_first_member(self):
        steps = [
            workflow_pb2.Step(count=2, gang=True),
            workflow_pb2.Step(count=1, after=[0]),
        ]
        job = workflow_pb2.Job(id="j", steps=steps)
        history = [
            run("j.0.0.0", 1, 1.0, 2.0, DONE),
            run("j.0.0.1", 1, 1.0),
            run("j.0.1.0", 1, 2.5),
        ]
        trace = run_oracle.Trace(history, [job])
        self.assertEqual([], run_oracle.violations(trace))
        steps[0].gang = False
        trace.jobs = [workflow_pb2.Job(id="j", steps=steps)]
        self.assertEqual(1, len(run_oracle.violations(trace)))
        steps[0].gang = True
        history[0].ended_s = 2.6
        trace.jobs = [workflow_pb2.Job(id="j", steps=steps)]
        self.assertEqual(1, len(run_oracle.violations(trace)))

    def test_too_many_attempts(self):
        history = (
            run("j.0.0.0", 1, 1.0, 2.0, FAILED, acked=True),
            run("j.0.0.0", 2, 3.0, 4.0, FAILED, acked=True),
        )
        self.assertEqual(1, len(self.faults(*history)))

    def test_run_of_an_unknown_job(self):
        self.assertEqual(1, len(self.faults(run("k.0.0.0", 1, 1.0))))

    def worker_faults(self, *history, cancelled_s=None, **fields):
        step = workflow_pb2.Step(count=3, cpu_millicores=1000, **fields)
        report = model.WorkerReport(
            id="w1",
            address="",
            service="app",
            data_centre="d",
            state=model.WorkerState.READY,
            capacity=resources.Amount(2000, 0, 0),
            labels=("a", "r1"),
            remaining_ms=0,
        )
        return run_oracle.violations(
            run_oracle.Trace(
                list(history),
                [workflow_pb2.Job(id="j", steps=[step])],
                {"w1": report},
                {} if cancelled_s is None else {"j": cancelled_s},
            )
        )

    def test_worker_over_its_capacity(self):
        full = run("j.0.0.0", 1, 1.0), run("j.0.0.1", 1, 2.0)
        self.assertEqual([], self.worker_faults(*full))
        self.assertEqual(
            1, len(self.worker_faults(*full, run("j.0.0.2", 1, 3.0)))
        )
        ended = run("j.0.0.0", 1, 1.0, 2.5, DONE), full[1]
        self.assertEqual([], self.worker_faults(*ended, run("j.0.0.2", 1, 3.0)))

    def test_too_many_of_a_step_on_one_worker(self):
        history = run("j.0.0.0", 1, 1.0), run("j.0.0.1", 1, 2.0)
        self.assertEqual([], self.worker_faults(*history, max_per_worker=2))
        self.assertEqual(1, len(self.worker_faults(*history, max_per_worker=1)))

    def test_worker_without_the_label(self):
        history = [run("j.0.0.0", 1, 1.0)]
        self.assertEqual([], self.worker_faults(*history, required_label="a"))
        self.assertEqual(
            1, len(self.worker_faults(*history, required_label="b"))
        )

    def test_run_after_its_job_was_cancelled(self):
        stopped = run("j.0.0.0", 1, 1.0, 3.0, model.RunEnd.STOPPED)
        self.assertEqual([], self.worker_faults(stopped, cancelled_s=2.0))
        later = run("j.0.0.0", 1, 9.0)
        self.assertEqual(1, len(self.worker_faults(later, cancelled_s=2.0)))
