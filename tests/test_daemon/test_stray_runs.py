"""Cancelled tasks that a worker starts late, on an order that it held."""

import eventlet
import result

from tests.test_daemon import workflow_base
from wisterialug_daemon.workflow import clock, errors
from wisterialug_standins import order_faults

step = workflow_base.step
Fault = order_faults.OrderFault


class LateStartTest(workflow_base.WorkflowTest):
    """A worker carries out a start seconds after its job was cancelled."""

    duration_s = 30.0
    ORDER_DELAY_S = 3.0
    # By then a stop is acknowledged, and a later report shows no run.
    STOPPED_S = 1.5
    # The users' limits: machines are in touch, then a stop.
    CONTACT_S = 3.0
    STOP_S = 0.4

    def cancel_unanswered_start(self):
        self.fleet.restarts_keep_ids = True
        self.start_nodes(2, workers=1)
        self.owner()
        # Read and asked.
        eventlet.sleep(1)
        self.fleet.order_delay_s = (self.ORDER_DELAY_S, self.ORDER_DELAY_S)
        self.fleet.next_start_faults.extend([Fault.LATE, Fault.LOST])
        job = self.submit(step(1, long_running=True))
        self.wait_for(lambda: len(self.fleet.next_start_faults) < 2, 5)
        self.cancel(job)

    def check_stopped(self):
        """Waits for the late start, and until its run must have ended."""
        self.wait_for(lambda: self.fleet.history, 5)
        run = self.fleet.history[0]
        self.wait_for(
            lambda: run.end is not None, self.CONTACT_S + self.STOP_S + 1
        )
        lasted_s = run.ended_s - run.began_s
        self.assertLess(lasted_s, self.CONTACT_S + self.STOP_S)

    def let_next_incarnation_run_it(self):
        """Restarts the worker, which is asked only after the late start."""
        self.fleet.crash_and_restart("w0")
        self.wait_for(lambda: "w0" in self.fleet.workers, 5)
        worker = self.fleet.workers["w0"]
        worker.poll_fault_rates = {Fault.LOST: 1.0}
        self.wait_for(lambda: self.fleet.history, 5)
        worker.poll_fault_rates = {}

    def lose_next_stop(self):
        stop = self.fleet.stop

        def lose(worker, task, run, epoch, timeout_s):
            del worker, task, run, epoch
            self.fleet.stop = stop
            eventlet.sleep(timeout_s)
            return result.Err(errors.NoAnswerError("lost"))

        self.fleet.stop = lose

    def test_late_start_runs_on_after_the_restart_of_its_worker(self):
        self.cancel_unanswered_start()
        eventlet.sleep(self.STOPPED_S)
        self.let_next_incarnation_run_it()
        self.check_stopped()

    def test_late_start_runs_on_if_its_stop_is_lost(self):
        self.cancel_unanswered_start()
        eventlet.sleep(self.STOPPED_S)
        self.lose_next_stop()
        self.let_next_incarnation_run_it()
        self.check_stopped()

    def test_late_start_of_a_lost_owner_runs_on(self):
        self.cancel_unanswered_start()
        self.kill_node(self.owner())
        self.owner()
        self.check_stopped_or_rejected()

    def test_late_start_before_the_takeover_runs_on(self):
        self.cancel_unanswered_start()
        # The stops of the lost owner arrive nowhere.
        self.fleet.workers["w0"].fault_rates = {Fault.LOST: 1.0}
        self.fleet.workers["w0"].poll_fault_rates = {Fault.LOST: 1.0}
        self.wait_for(lambda: self.fleet.history, 5)
        taken_over_s = clock.now_s()
        self.kill_node(self.owner())
        self.clear_faults()
        run = self.fleet.history[0]
        self.wait_for(lambda: run.end is not None, 6)
        self.assertLess(run.ended_s - taken_over_s, self.CONTACT_S)

    def check_stopped_or_rejected(self):
        eventlet.sleep(self.ORDER_DELAY_S + self.CONTACT_S + self.STOP_S)
        for run in self.fleet.history:
            self.assertLess(run.ended_s - run.began_s, self.CONTACT_S)
            self.assertIsNotNone(run.end)
