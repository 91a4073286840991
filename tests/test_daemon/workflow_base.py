"""A scheduler in one process: several VMs, one store, emulated workers."""

import random

import eventlet
import testtools

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import model, routes
from wisterialug_daemon.workflow import (
    clock,
    config_watch,
    election,
    intake,
    members,
    settings,
)
from wisterialug_standins import (
    emulated_operator,
    emulated_workers,
    memory_store,
    run_oracle,
)

ROUTE = routes.Route(
    "r",
    "app.example",
    "/jobs/",
    workflow_pb2.Policy(
        service="app", max_attempts=3, stretch=2.0, target_latency_ms=500
    ),
)
BUDGET_S = 3.0


class Node:
    """The election and the intake of one VM."""

    def __init__(
        self,
        name,
        store,
        calls,
        registry,
        boot="1",
        processors=1.0,
        state_kept_s=60,
        compares_runs=False,
        evacuated_within_ms=None,
    ):
        cfg = settings.WorkflowSettings(
            node=name,
            boot=boot,
            data_centre="dc1",
            lease_ms=4000,
            longest_lease_ms=emulated_workers.MAX_LEASE_MS,
            state_kept_s=state_kept_s,
            stop_within_s=5,
            processors=processors,
            compares_runs=compares_runs,
            evacuated_within_ms=evacuated_within_ms,
        )
        self.config = config_watch.ConfigWatch(
            emulated_operator.EvacuationRows(store), evacuated_within_ms
        )
        self.members = members_of(name, store, processors)
        self.election = election.Election(
            cfg,
            store,
            calls,
            registry,
            self.members,
            self.config.evacuations.current,
        )
        self.intake = intake.Intake(
            store,
            self.election,
            self.members,
            cfg.row_bytes,
            cfg.accepted_within_ms,
        )
        if evacuated_within_ms is not None:
            self.config.start()
        self.members.start()
        self.election.start()

    def close(self):
        self.config.close()
        self.members.close()
        self.election.close()


def members_of(name, store, processors=1.0):
    """Returns the VMs as seen by one of them, on a fast link."""
    own = workflow_pb2.Member(
        ip=name, port=1, millicores=int(processors * 1000), link_kbps=10**6
    )
    return members.Members(name, own, store)


class WorkflowTest(testtools.TestCase):
    """Provides a store, emulated workers and VMs."""

    seed = 1
    duration_s = 0.2
    # Of each VM.
    processors = 1.0
    state_kept_s = 60
    compares_runs = False
    # None where data centres are not evacuated.
    evacuated_within_ms = None

    def setUp(self):
        super().setUp()
        self.rng = random.Random(self.seed)
        self.store = memory_store.MemoryStore(self.rng)
        self.fleet = emulated_workers.EmulatedFleet(
            self.rng, self.run_s, self.fails
        )
        self.fleet.gang_size = self.gang_size
        self.addCleanup(self.fleet.close)
        self.jobs = {}
        self.cancelled_s = {}
        self.nodes = {}

    def run_s(self, task):
        """Returns how long a run of a task takes."""
        del task
        return self.duration_s

    def lasts(self, task):
        """Returns whether a task belongs to a long-running step."""
        key = model.parse_task_name(task)
        job = self.jobs.get(key.job)
        return job is not None and job.steps[key.step].long_running

    def fails(self, task):
        """Returns whether a run of a task fails."""
        del task
        return False

    def gang_size(self, task):
        """Returns the number of members of a task's gang; 0 without one."""
        key = model.parse_task_name(task)
        job = self.jobs.get(key.job)
        step = job.steps[key.step] if job else None
        return step.count if step and step.gang else 0

    def start_nodes(self, count=2, workers=3):
        for number in range(workers):
            self.fleet.add(f"w{number}")
        for number in range(count):
            self.start_node(f"n{number}")

    def reach(self, name):
        """Returns the store, workers and list as a VM reaches them."""
        del name
        return self.store, self.fleet, self.fleet

    def start_node(self, name, boot="1"):
        self.nodes[name] = Node(
            name,
            *self.reach(name),
            boot,
            self.processors,
            self.state_kept_s,
            self.compares_runs,
            self.evacuated_within_ms,
        )
        self.addCleanup(self.nodes[name].close)

    def kill_node(self, name):
        self.nodes.pop(name).close()

    def owner(self, within_s=10):
        """Waits until a VM owns the shard; returns its name."""
        found = []

        def owned():
            found[:] = [
                name
                for name, node in self.nodes.items()
                if node.election.owns_any()
            ]
            return bool(found)

        self.wait_for(owned, within_s)
        return found[0]

    def submit(self, *steps, **fields):
        """Submits a job, retrying until it is accepted; returns its id."""
        job = workflow_pb2.Job(
            id=f"{self.rng.getrandbits(64):016x}", spec="x", steps=steps
        )
        for name, value in fields.items():
            setattr(job, name, value)
        self.jobs[job.id] = job

        def accepted():
            node = self.any_node()
            answer = node.intake.submit(ROUTE, job, BUDGET_S)
            return answer.outcome is intake.Outcome.OK

        self.wait_for(accepted, 20)
        return job.id

    def cancel(self, job):
        """Cancels a job, retrying until it succeeds."""

        def cancelled():
            answer = self.any_node().intake.cancel(job, BUDGET_S)
            return answer.outcome is intake.Outcome.OK

        self.wait_for(cancelled, 20)
        self.cancelled_s[job] = clock.now_s()

    def any_node(self):
        return self.rng.choice(list(self.nodes.values()))

    def state(self, job):
        answer = self.any_node().intake.state(job, BUDGET_S)
        if answer.outcome is not intake.Outcome.OK:
            return None
        return answer.state

    def wait_for_state(self, job, state, within_s=15):
        self.wait_for(lambda: self.state(job) == state, within_s, job)

    def wait_for(self, condition, within_s, message=""):
        """Waits for a condition; `message` may be called for its text."""
        until_s = clock.now_s() + within_s
        while not condition():
            if clock.now_s() >= until_s:
                self.fail(str(message() if callable(message) else message))
            eventlet.sleep(0.05)

    def inject_control_fault(self, fault, number):
        """Injects a fault of a VM or of the store; other faults do nothing."""
        if fault == "kill":
            self.kill_node(self.rng.choice(list(self.nodes)))
            self.start_node(f"s{self.seed}-{number}")
        elif fault == "lost":
            self.store.lost_reply_rate = 0.5
        elif fault == "down":
            self.store.down = True
        elif fault == "forget":
            self.store.compact_history()

    def clear_faults(self):
        self.store.lost_reply_rate = 0.0
        self.store.down = False
        for worker in self.fleet.workers.values():
            worker.unreachable = False
            worker.fault_rates = {}
            worker.poll_fault_rates = None

    def violations(self):
        """Returns what the oracle finds in the trace so far."""
        return run_oracle.violations(
            run_oracle.Trace(
                self.fleet.history,
                self.jobs.values(),
                self.fleet.reports,
                self.cancelled_s,
                capacities=self.fleet.capacities,
            )
        )

    def check_invariants(self):
        self.assertEqual([], self.violations())


class ShardsTestCase(WorkflowTest):
    """Provides workers for two shards, in two data centres."""

    # Two thirds of what two of the VMs can carry.
    WORKERS = 80
    processors = 0.75

    def start_shards(self, nodes=3):
        for number in range(self.WORKERS):
            rack = number // 10
            self.fleet.add(
                f"w{number}", rack=f"r{rack}", data_centre=f"dc{rack % 2}"
            )
        for number in range(nodes):
            self.start_node(f"n{number}")
        self.wait_for(lambda: self.owned_shards() == 2, 10)

    def owned_shards(self):
        return sum(len(n.election.owned()) for n in self.nodes.values())

    def owned_by_vm(self):
        return sorted(len(n.election.owned()) for n in self.nodes.values())

    def active_runs(self):
        return [r for r in self.fleet.history if r.end is None]


def step(count=1, **fields):
    """Returns a step of small tasks."""
    fields.setdefault("cpu_millicores", 1000)
    return workflow_pb2.Step(
        count=count, memory_mib=100, estimate_ms=200, **fields
    )
