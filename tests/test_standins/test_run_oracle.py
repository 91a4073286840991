"""Shows that the oracle catches each promise broken on purpose."""

import testtools

from wisterialug_core.decisions import resources
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import model
from wisterialug_standins import emulated_workers, run_oracle

DONE = model.RunEnd.DONE
FAILED = model.RunEnd.FAILED


def run(task, number, began_s, ended_s=0.0, end=None, *, noted=False):
    return emulated_workers.RunRecord(
        task, number, f"w{number}", 1, began_s, "", ended_s, end, noted
    )


class RunOracleTest(testtools.TestCase):
    def faults(self, *history, lasting=False):
        step = workflow_pb2.Step(count=1, long_running=lasting)
        job = workflow_pb2.Job(
            id="j",
            steps=[step, workflow_pb2.Step(count=1, after=[0])],
            policy=workflow_pb2.Policy(max_attempts=1),
        )
        return run_oracle.violations(run_oracle.Trace(list(history), [job]))

    def test_nothing_is_wrong(self):
        first = run("j.0.0.0", 1, 1.0, 2.0, DONE, noted=True)
        self.assertEqual([], self.faults(first, run("j.0.1.0", 1, 2.5)))

    def test_two_runs_at_the_same_time(self):
        history = run("j.0.0.0", 1, 1.0), run("j.0.0.0", 2, 2.0)
        self.assertEqual(1, len(self.faults(*history)))
        self.assertEqual(1, len(self.faults(*history, lasting=True)))

    def test_run_after_a_noted_end(self):
        history = (
            run("j.0.0.0", 1, 1.0, 2.0, DONE, noted=True),
            run("j.0.0.0", 2, 3.0, 4.0, DONE, noted=True),
        )
        self.assertEqual(1, len(self.faults(*history)))
        self.assertEqual([], self.faults(*history, lasting=True))

    def test_step_before_its_turn(self):
        history = run("j.0.1.0", 1, 1.0), run("j.0.0.0", 1, 1.0, 2.0, DONE)
        self.assertEqual(1, len(self.faults(*history)))

    def test_one_end_stands_for_a_gang(self):
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
        record = run_oracle.Trace(history, [job])
        self.assertEqual([], run_oracle.violations(record))
        steps[0].gang = False
        record.jobs = [workflow_pb2.Job(id="j", steps=steps)]
        self.assertEqual(1, len(run_oracle.violations(record)))
        steps[0].gang = True
        history[0].ended_s = 2.6
        record.jobs = [workflow_pb2.Job(id="j", steps=steps)]
        self.assertEqual(1, len(run_oracle.violations(record)))

    def test_too_many_attempts(self):
        history = (
            run("j.0.0.0", 1, 1.0, 2.0, FAILED, noted=True),
            run("j.0.0.0", 2, 3.0, 4.0, FAILED, noted=True),
        )
        self.assertEqual(1, len(self.faults(*history)))

    def test_what_nobody_asked_for(self):
        self.assertEqual(1, len(self.faults(run("k.0.0.0", 1, 1.0))))

    def world_faults(self, *history, cancelled_s=None, **fields):
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
        self.assertEqual([], self.world_faults(*full))
        self.assertEqual(
            1, len(self.world_faults(*full, run("j.0.0.2", 1, 3.0)))
        )
        ended = run("j.0.0.0", 1, 1.0, 2.5, DONE), full[1]
        self.assertEqual([], self.world_faults(*ended, run("j.0.0.2", 1, 3.0)))

    def test_too_many_of_a_step_on_one_worker(self):
        history = run("j.0.0.0", 1, 1.0), run("j.0.0.1", 1, 2.0)
        self.assertEqual([], self.world_faults(*history, max_per_worker=2))
        self.assertEqual(1, len(self.world_faults(*history, max_per_worker=1)))

    def test_worker_without_the_label(self):
        history = [run("j.0.0.0", 1, 1.0)]
        self.assertEqual([], self.world_faults(*history, required_label="a"))
        self.assertEqual(
            1, len(self.world_faults(*history, required_label="b"))
        )

    def test_run_that_outlives_its_job(self):
        stopped = run("j.0.0.0", 1, 1.0, 3.0, model.RunEnd.STOPPED)
        self.assertEqual([], self.world_faults(stopped, cancelled_s=2.0))
        later = run("j.0.0.0", 1, 9.0)
        self.assertEqual(1, len(self.world_faults(later, cancelled_s=2.0)))
