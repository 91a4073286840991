"""Owners change while a worker that restarted under its name is silent."""

import eventlet

from tests.test_daemon import workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_daemon.workflow import records
from wisterialug_standins import order_faults

step = workflow_base.step
Fault = order_faults.OrderFault


class SilentNextIncarnationTest(workflow_base.WorkflowTest):
    """An order for the earlier incarnation is carried out by the next one.

    Its deadline is a time of the earlier clock, so the lease is the longest one.
    """

    # Until the lease of the late order has expired, with a margin.
    WATCHED_S = 12.0

    def run_s(self, task):
        return 1000.0 if self.lasts(task) else self.duration_s

    def start_late_run(self):
        """Begins a run by a late order on a worker that answers no poll."""
        self.fleet.restarts_keep_ids = True
        self.start_nodes(2, workers=1)
        self.owner()
        self.fleet.order_delay_s = (1.0, 1.0)
        self.fleet.next_start_faults.extend([Fault.LATE, Fault.LOST])
        register = self.fleet._register

        def register_silent(worker):
            worker.poll_fault_rates = {Fault.LOST: 1.0}
            return register(worker)

        self.fleet._register = register_silent
        job = self.submit(step(1, long_running=True))
        self.wait_for(lambda: len(self.fleet.next_start_faults) < 2, 5)
        self.fleet.crash_and_restart("w0")
        self.wait_for(lambda: self.fleet.history, 5)
        self.fleet._register = register
        self.fleet.add("w1")
        run = self.fleet.history[0]
        self.assertEqual(self.fleet.workers["w0"].report.id, run.worker)
        self.wait_for(lambda: self.recorded_worker(job) == run.worker, 5)
        return run

    def recorded_worker(self, job):
        value = self.store.value(records.progress("s0", job))
        return workflow_pb2.Progress.FromString(value).tasks[0].worker

    def finish(self, run):
        eventlet.sleep(self.WATCHED_S)
        self.assertIsNotNone(run.end)
        self.check_invariants()

    def test_owner_waits_for_the_longest_lease(self):
        self.finish(self.start_late_run())

    def test_next_owner_ends_a_run_under_the_longest_lease(self):
        run = self.start_late_run()
        self.kill_node(self.owner())
        self.finish(run)

    def test_next_owner_by_handover_ends_a_run_under_the_longest_lease(self):
        run = self.start_late_run()
        node = self.nodes[self.owner()]
        node.election._owned["s0"].give_up("test", claim_backoff_s=30)
        self.finish(run)

    def test_next_owner_that_was_answered_ends_such_a_run(self):
        run = self.start_late_run()
        worker = self.fleet.workers["w0"]
        self.kill_node(self.owner())
        before = worker.fence
        worker.poll_fault_rates = None
        self.wait_for(lambda: worker.fence > before, 10)
        # The answer has arrived.
        eventlet.sleep(0.05)
        worker.poll_fault_rates = {Fault.LOST: 1.0}
        self.finish(run)
