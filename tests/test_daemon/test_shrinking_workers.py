"""Workers whose capacity shrinks and grows while they run."""

import eventlet

from tests.test_daemon import workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_standins import order_faults, run_oracle

step = workflow_base.step


class ShrinkingWorkerTest(workflow_base.WorkflowTest):
    """A backlog waits while workers lose most of their capacity."""

    duration_s = 0.6

    def run_s(self, task):
        return 1000 if self.lasts(task) else self.duration_s

    def shrink(self, *names, cpu_millicores=3000):
        for name in names:
            self.fleet.set_capacity(name, cpu_millicores)

    def submit_backlog(self):
        return [self.submit(step(24)) for _ in range(6)]

    def check_jobs(self, jobs):
        for job in jobs:
            self.wait_for_state(job, workflow_pb2.JOB_COMPLETED, 40)
        self.check_invariants()

    def test_start_exceeds_a_capacity_that_has_shrunk(self):
        self.start_nodes(2, workers=2)
        self.owner()
        jobs = self.submit_backlog()
        eventlet.sleep(1)
        self.shrink("w0", "w1")
        eventlet.sleep(run_oracle.SHRUNK_CAPACITY_GRACE_S + 2)
        self.shrink("w0", cpu_millicores=8000)
        jobs += self.submit_backlog()
        self.check_jobs(jobs)

    def test_next_owner_starts_beside_runs_of_the_shrunk_worker(self):
        self.start_nodes(2, workers=2)
        self.owner()
        lasting = self.submit(step(2, long_running=True))
        self.wait_for(lambda: len(self.fleet.history) == 2, 5)
        jobs = [self.submit(step(24)) for _ in range(3)]
        self.shrink("w0", "w1")
        self.kill_node(self.owner())
        self.check_jobs(jobs)
        self.assertEqual(workflow_pb2.JOB_RUNNING, self.state(lasting))

    def test_late_order_is_repeated_on_a_worker_that_has_shrunk(self):
        self.start_nodes(1, workers=2)
        self.owner()
        self.fleet.order_delay_s = (0.3, 1.0)
        for worker in self.fleet.workers.values():
            worker.fault_rates = {
                order_faults.OrderFault.LATE: 0.2,
                order_faults.OrderFault.LOST: 0.2,
            }
            worker.poll_fault_rates = {}
        jobs = self.submit_backlog()
        eventlet.sleep(1)
        self.shrink("w0", "w1")
        eventlet.sleep(3)
        self.clear_faults()
        self.check_jobs(jobs)

    def test_shrunk_worker_stops_what_it_runs(self):
        self.start_nodes(1, workers=1)
        self.owner()
        job = self.submit(step(8, long_running=True))
        self.wait_for(lambda: len(self.fleet.history) == 8, 5)
        self.shrink("w0")
        eventlet.sleep(2)
        self.assertEqual(workflow_pb2.JOB_RUNNING, self.state(job))
        self.assertEqual(8, len(self.fleet.history))
        self.assertEqual([None] * 8, [r.end for r in self.fleet.history])
