"""Random faults by seed, with jobs of all kinds on two shards."""

import os

import eventlet

from tests.test_daemon import workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_standins import order_faults

step = workflow_base.step


class MixedShardsTest(workflow_base.ShardsTestCase):
    """Random faults with jobs of all kinds, by seed."""

    duration_s = 0.5
    SEEDS = os.environ.get("WISTERIALUG_MIXED_SEEDS", "31").split(",")

    def fails(self, task):
        return not self.rng.randrange(20)

    def test_seeds(self):
        for seed in self.SEEDS:
            self.seed = int(seed)
            self.rng.seed(self.seed)
            if not self.nodes:
                self.start_shards()
            self.run_scenario()

    def run_scenario(self):
        jobs = []
        for number in range(16):
            jobs.append(self.submit(*self.random_steps()))
            self.inject_fault(number)
            eventlet.sleep(self.rng.uniform(0.1, 0.6))
            self.clear_faults()
            if not self.rng.randrange(4):
                self.cancel(jobs.pop(self.rng.randrange(len(jobs))))
        for job in jobs:
            if self.jobs[job].steps[0].long_running:
                self.cancel(job)
        final = {workflow_pb2.JOB_COMPLETED, workflow_pb2.JOB_FAILED}
        for job in jobs:
            if job not in self.cancelled_s:
                self.wait_for(lambda job=job: self.state(job) in final, 40, job)
        self.wait_for(lambda: not self.active_runs(), 10, self.active_runs)
        self.check_invariants()

    def random_steps(self):
        draw = self.rng.randrange(5)
        if draw == 0:
            return [step(5, long_running=True, max_per_worker=2)]
        if draw == 1:
            return [step(6, max_per_worker=1), step(2, after=[0])]
        if draw == 2:
            return [step(3, required_label="r3")]
        if draw == 3:
            return [step(4, gang=True), step(4, after=[0], fills=True)]
        return [step(40), step(8, after=[0])]

    def inject_fault(self, number):
        fault = self.rng.choice(
            [
                "kill",
                "lost",
                "down",
                "silent",
                "late",
                "forget",
                "crash",
                "drain",
                "late",
                "none",
            ]
        )
        workers = self.rng.sample(list(self.fleet.workers), 5)
        self.inject_control_fault(fault, number)
        for name in workers:
            if fault == "silent":
                self.fleet.workers[name].unreachable = True
            elif fault == "late":
                rates = {order_faults.OrderFault.LATE: 0.5}
                self.fleet.workers[name].fault_rates = rates
            elif fault == "crash":
                self.fleet.crash(name)
            elif fault == "drain":
                self.fleet.drain(name)


class MixedLoansTest(MixedShardsTest):
    """The same with steps that are wider than a shard."""

    SEEDS = os.environ.get("WISTERIALUG_MIXED_SEEDS", "51").split(",")

    def random_steps(self):
        if self.rng.randrange(3):
            return super().random_steps()
        return [
            step(100, cpu_millicores=8000),
            step(20, after=[0], cpu_millicores=4000, max_per_worker=1),
        ]
