"""Workers that answer some polls, and workers out of reach."""

import eventlet

from tests.test_daemon import workflow_base
from wisterialug_standins import order_faults

step = workflow_base.step
Fault = order_faults.OrderFault


class ReachabilityTest(workflow_base.WorkflowTest):
    """All workers have long-running tasks and are polled all the time."""

    WORKERS = 10
    LEASE_S = 4.0

    def run_s(self, task):
        del task
        return 60.0

    def start_tasks(self):
        self.start_nodes(2, workers=self.WORKERS)
        count = 2 * self.WORKERS
        self.submit(step(count, long_running=True, max_per_worker=2))
        self.wait_for(lambda: len(self.fleet.history) == count, 10)

    def epoch(self):
        return self.any_node().election.ownership("s0").epoch

    def test_owner_gives_its_shard_up_though_workers_answer_other_polls(self):
        self.start_tasks()
        for worker in self.fleet.workers.values():
            worker.poll_fault_rates = {Fault.LATE: 0.3, Fault.REFUSED: 0.3}
        eventlet.sleep(15)
        self.assertEqual(1, self.epoch())

    def test_owner_that_reaches_no_worker_keeps_its_shard(self):
        self.start_tasks()
        # The check begins some seconds after the shard was acquired.
        eventlet.sleep(5)
        for worker in self.fleet.workers.values():
            worker.unreachable = True
        self.wait_for(lambda: self.epoch() > 1, self.LEASE_S)
