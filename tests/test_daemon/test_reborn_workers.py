"""Workers that crash and start again, under the ids that they had or new ones."""

import os

import eventlet

from tests.test_daemon import workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_standins import order_faults

step = workflow_base.step
Fault = order_faults.OrderFault


class RebornWorkersTest(workflow_base.WorkflowTest):
    """Half of the workers restart, again and again."""

    seed = int(os.environ.get("REBORN_SEED", "1"))
    duration_s = 0.4
    WORKERS = 6
    ROUNDS = 4

    def play(self, faults=None, *, kill=False, keep_ids=True):
        self.fleet.restarts_keep_ids = keep_ids
        self.start_nodes(3, workers=self.WORKERS)
        self.owner()
        jobs = []
        for number in range(self.ROUNDS):
            for worker in self.fleet.workers.values():
                worker.fault_rates = faults or {}
            jobs += [self.submit(step(4), step(4, after=[0])) for _ in range(6)]
            jobs.append(self.submit(step(3, gang=True)))
            eventlet.sleep(1)
            names = sorted(self.fleet.workers)
            for name in self.rng.sample(names, self.WORKERS // 2):
                self.fleet.crash_and_restart(name)
            if kill:
                self.kill_node(self.owner())
                self.start_node(f"s{number}")
            eventlet.sleep(self.fleet.restart_s + 0.5)
        self.clear_faults()
        for job in jobs:
            self.wait_for_state(job, workflow_pb2.JOB_COMPLETED, 40)
        eventlet.sleep(1)
        self.check_invariants()

    def test_task_runs_again_after_its_acknowledged_end(self):
        self.play()

    def test_task_runs_again_beside_late_orders(self):
        self.play({Fault.LATE: 0.2, Fault.REPEATED: 0.1})

    def test_task_runs_again_beside_lost_owners(self):
        self.play(kill=True)

    def test_task_runs_again_beside_late_orders_and_lost_owners(self):
        self.play({Fault.LATE: 0.2, Fault.REPEATED: 0.1}, kill=True)

    def test_new_ids_beside_late_orders_and_lost_owners(self):
        self.play(
            {Fault.LATE: 0.2, Fault.REPEATED: 0.1}, kill=True, keep_ids=False
        )
