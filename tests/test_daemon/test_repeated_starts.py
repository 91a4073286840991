"""Starts that arrive late, at a worker that has restarted under its name."""

import eventlet

from tests.test_daemon import workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_daemon.workflow import clock
from wisterialug_standins import order_faults

step = workflow_base.step
Fault = order_faults.OrderFault


class RepeatedStartTest(workflow_base.WorkflowTest):
    """The first copy of a start is late, the second one runs at once."""

    duration_s = 0.3
    # Of the first copy, which outlasts the run and the restart.
    ORDER_DELAY_S = 3.0
    # The users' limit for acknowledgements.
    ACK_S = 4.0

    def run_repeated_start(self):
        self.fleet.restarts_keep_ids = True
        self.start_nodes(1, workers=1)
        self.owner()
        self.fleet.order_delay_s = (self.ORDER_DELAY_S, self.ORDER_DELAY_S)
        self.fleet.next_start_faults.append(Fault.LATE)
        job = self.submit(step(1))
        self.wait_for_state(job, workflow_pb2.JOB_COMPLETED)
        return job

    def test_task_runs_again_on_the_next_incarnation_after_its_end(self):
        self.run_repeated_start()
        # An end that is durable is acknowledged in the next poll.
        eventlet.sleep(0.2)
        self.fleet.crash_and_restart("w0")
        self.wait_for(lambda: "w0" in self.fleet.workers, 5)
        worker = self.fleet.workers["w0"]
        worker.poll_fault_rates = {Fault.LOST: 1.0}
        self.wait_for(lambda: len(self.fleet.history) == 2, 5)
        worker.poll_fault_rates = None
        eventlet.sleep(2)
        self.check_invariants()
        self.assertEqual([1, 1], [run.run for run in self.fleet.history])

    def test_end_is_never_acknowledged_after_a_repeated_start(self):
        self.run_repeated_start()
        worker = self.fleet.workers["w0"]
        # Others are acknowledged after it, but take effect at once.
        job = self.submit(step(4))
        self.wait_for_state(job, workflow_pb2.JOB_COMPLETED, 2)
        self.wait_for(lambda: not worker.ended, self.ACK_S)
        self.assertTrue(all(run.acked for run in self.fleet.history))
        eventlet.sleep(self.ORDER_DELAY_S)
        self.assertEqual(5, len(self.fleet.history))


class LateStartTest(workflow_base.WorkflowTest):
    """A start arrives after its worker has restarted twice."""

    duration_s = 0.3
    ORDER_DELAY_S = 3.0

    def test_task_runs_again_on_the_incarnation_after_the_next(self):
        self.fleet.restarts_keep_ids = True
        self.fleet.restart_s = 0.4
        self.start_nodes(1, workers=1)
        self.owner()
        self.fleet.order_delay_s = (self.ORDER_DELAY_S, self.ORDER_DELAY_S)
        self.fleet.next_start_faults.append(Fault.LATE)
        job = self.submit(step(1))
        self.wait_for(lambda: not self.fleet.next_start_faults, 3)
        sent_s = clock.now_s()
        self.fleet.crash_and_restart("w0")
        eventlet.sleep(sent_s + self.ORDER_DELAY_S - 0.8 - clock.now_s())
        self.fleet.crash_and_restart("w0")
        self.wait_for(lambda: "w0" in self.fleet.workers, 3)
        worker = self.fleet.workers["w0"]
        worker.poll_fault_rates = {Fault.LOST: 1.0}
        eventlet.sleep(sent_s + self.ORDER_DELAY_S + 0.2 - clock.now_s())
        worker.poll_fault_rates = None
        self.wait_for_state(job, workflow_pb2.JOB_COMPLETED, 10)
        eventlet.sleep(1)
        self.check_invariants()
