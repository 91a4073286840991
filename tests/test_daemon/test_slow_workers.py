"""Tests of workers that turn slow while they report themselves well."""

from tests.test_daemon import workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import model
from wisterialug_daemon.workflow import clock

USUAL_S = 0.4
LONG_S = 3.0


class SlowWorkersTest(workflow_base.WorkflowTest):
    duration_s = USUAL_S
    compares_runs = True

    def test_step_waits_for_a_slow_worker(self):
        self.start_nodes(count=1, workers=6)
        self.fleet.workers["w0"].slowness = 20
        job = self.submit(workflow_base.step(12, max_per_worker=2))
        self.wait_for_state(job, workflow_pb2.JOB_COMPLETED, 12)
        # A run on the slow worker takes 8 s.
        began_s = min(record.began_s for record in self.fleet.history)
        self.assertLess(clock.now_s() - began_s, 4)
        stopped = {
            model.registered_name(record.worker)
            for record in self.fleet.history
            if record.end is model.RunEnd.STOPPED
        }
        self.assertEqual({"w0"}, stopped)
        self.check_invariants()


class LongTaskTest(workflow_base.WorkflowTest):
    compares_runs = True

    def run_s(self, task):
        return LONG_S if task.endswith(".0") else USUAL_S

    def test_task_that_is_long_itself_starts_twice_at_most(self):
        self.start_nodes(count=1, workers=6)
        job = self.submit(workflow_base.step(8))
        self.wait_for_state(job, workflow_pb2.JOB_COMPLETED, 12)
        starts = [r for r in self.fleet.history if r.task.endswith(".0")]
        self.assertLessEqual(len(starts), 2)
        self.check_invariants()
