"""Orders to workers that are late, lost, repeated or refused."""

import eventlet

from tests.test_daemon import workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_standins import order_faults

step = workflow_base.step
Fault = order_faults.OrderFault


class UnansweredStartTest(workflow_base.WorkflowTest):
    """A start without an answer is carried out after newer calls."""

    # A run of the next attempt is still active when the first one begins.
    duration_s = 2.0
    ORDER_DELAY_S = 2.5

    def run_with_faults(self, *faults):
        """Starts a task with these faults; its next run is on another worker."""
        self.start_nodes(2, workers=1)
        self.fleet.order_delay_s = (self.ORDER_DELAY_S, self.ORDER_DELAY_S)
        self.fleet.next_start_faults.extend(faults)
        job = self.submit(step(1))
        self.wait_for(lambda: not self.fleet.next_start_faults, 5)
        self.fleet.drain("w0")
        self.fleet.add("w1")
        self.wait_for_state(job, workflow_pb2.JOB_COMPLETED)
        eventlet.sleep(self.ORDER_DELAY_S)
        self.check_invariants()

    def test_task_runs_twice_if_the_repeated_start_is_refused(self):
        self.run_with_faults(Fault.LATE, Fault.REFUSED)

    def test_task_runs_twice_if_the_repeated_start_finds_no_room(self):
        self.run_with_faults(Fault.LATE, Fault.NO_ROOM)


class UncommittedEndTest(workflow_base.WorkflowTest):
    """The store is away while a worker drops out of the list and returns."""

    duration_s = 0.5

    def test_end_is_acknowledged_before_it_is_durable(self):
        self.start_nodes(1, workers=1)
        job = self.submit(step(1))
        self.wait_for(lambda: self.fleet.history, 5)
        self.store.down = True
        self.wait_for(lambda: self.fleet.history[0].ended_s, 5)
        eventlet.sleep(0.5)
        for listed in (False, True):
            self.fleet.set_listed("w0", listed=listed)
            eventlet.sleep(1)
        self.assertFalse(self.fleet.history[0].acked)
        self.kill_node("n0")
        self.store.down = False
        self.start_node("n1")
        self.wait_for_state(job, workflow_pb2.JOB_COMPLETED)
        self.assertEqual(1, len(self.fleet.history))


class SilentWorkerTest(workflow_base.WorkflowTest):
    """A run ends while its worker is cut off, until after the lease."""

    duration_s = 1.0

    def test_task_runs_again_though_its_end_is_reported_late(self):
        for number in range(3):
            self.fleet.add(f"w{number}", rack=f"r{number}")
        self.start_node("n0")
        # No other worker can run it meanwhile.
        job = self.submit(step(1, required_label="r0"))
        self.wait_for(lambda: self.fleet.history, 5)
        self.fleet.workers["w0"].unreachable = True
        eventlet.sleep(8)
        self.clear_faults()
        self.wait_for_state(job, workflow_pb2.JOB_COMPLETED)
        self.assertEqual(1, len(self.fleet.history))
