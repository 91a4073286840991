"""Starts that are given up before they were sent."""

import eventlet
import result

from tests.test_daemon import workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_daemon.workflow import errors
from wisterialug_standins import order_faults

step = workflow_base.step
# A lease and a poll: the run on the silent worker is lost, its gang stopped.
EXPIRY_S = 7.0
# A lease, and time for polls and the next start.
RESTART_TIMEOUT_S = 12.0


class UnsentStartTest(workflow_base.WorkflowTest):
    """The store is away while a gang is placed, and a worker is silent."""

    def refuse(self, transaction, timeout_s):
        del transaction, timeout_s
        eventlet.sleep(0.01)
        return result.Err(errors.StoreRefusedError("503"))

    def test_gang_waits_for_ever_for_the_stop_of_a_start_never_sent(self):
        self.start_nodes(1, workers=2)
        eventlet.sleep(2)
        job = self.submit(step(2, gang=True, max_per_worker=1))
        commit, self.store.commit = self.store.commit, self.refuse
        self.fleet.workers["w0"].unreachable = True
        refusing = self.fleet.workers["w1"]
        refusing.fault_rates = {order_faults.OrderFault.REFUSED: 1.0}
        refusing.poll_fault_rates = {}
        eventlet.sleep(EXPIRY_S)
        self.assertEqual([], self.fleet.history)
        self.store.commit = commit
        self.fleet.add("w2")
        self.fleet.add("w3")
        self.wait_for_state(job, workflow_pb2.JOB_COMPLETED, RESTART_TIMEOUT_S)
        self.check_invariants()

    def test_members_of_a_large_gang_start_without_the_others(self):
        self.start_nodes(1, workers=24)
        eventlet.sleep(2)
        job = self.submit(step(300, gang=True))
        commit, self.store.commit = self.store.commit, self.refuse
        self.fleet.workers["w0"].unreachable = True
        eventlet.sleep(EXPIRY_S)
        self.assertEqual([], self.fleet.history)
        self.store.commit = commit
        self.wait_for_state(job, workflow_pb2.JOB_COMPLETED, RESTART_TIMEOUT_S)
        runs = {run.run for run in self.fleet.history}
        self.assertEqual(1, len(runs))
        self.check_invariants()


class DrainingWorkerTest(workflow_base.WorkflowTest):
    """A worker begins to drain while a start to it has no answer."""

    duration_s = 1.0

    def test_task_starts_on_a_worker_that_drains(self):
        self.start_nodes(1, workers=1)
        self.fleet.next_start_faults.append(order_faults.OrderFault.LOST)
        job = self.submit(step(1))
        self.wait_for(lambda: not self.fleet.next_start_faults, 5)
        self.fleet.drain("w0")
        self.fleet.add("w1")
        self.wait_for_state(job, workflow_pb2.JOB_COMPLETED)
        self.assertEqual(["w1"], [run.worker for run in self.fleet.history])


class AdoptedGangTest(workflow_base.WorkflowTest):
    """An owner is lost when only one member of a gang has begun."""

    def test_adopted_member_of_a_gang_waits_for_ever_for_the_others(self):
        self.start_nodes(2, workers=2)
        owner = self.owner()
        faults = order_faults.OrderFault
        self.fleet.next_start_faults.extend([faults.UNANSWERED, faults.LOST])
        job = self.submit(step(2, gang=True, max_per_worker=1))
        self.wait_for(lambda: not self.fleet.next_start_faults, 5)
        # The next owner hears of the other member first.
        worker = self.fleet.workers[self.fleet.history[0].worker]
        worker.poll_fault_rates = {faults.LOST: 1.0}
        self.kill_node(owner)
        self.owner()
        eventlet.sleep(0.3)
        worker.poll_fault_rates = None
        self.wait_for_state(job, workflow_pb2.JOB_COMPLETED, 15)
        self.check_invariants()
