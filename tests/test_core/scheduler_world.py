"""Owners, table and workers that the fuzzing of the scheduler acts on."""

import copy
import dataclasses

from hypothesis import stateful

from wisterialug_core.decisions import (
    placement,
    resources,
    task_order,
    task_registry,
)
from wisterialug_core.decisions import shard as shard_lib
from wisterialug_core.schema import work_pb2
from wisterialug_standins import worker_model

LEASE_S = 10.0
CAPACITY = resources.Amount(4000, 8000, 1)
WORKERS = ("w1", "w2", "w3")


@dataclasses.dataclass
class Table:
    """The durable rows, with the conditions that the driver uses."""

    epoch: int = 0
    jobs: dict = dataclasses.field(default_factory=dict)
    job_versions: dict = dataclasses.field(default_factory=dict)
    chunks: dict = dataclasses.field(default_factory=dict)
    finished: set = dataclasses.field(default_factory=set)
    # Last commit of the current epoch; a retry of it succeeds.
    last_commit: task_registry.Commit | None = None

    def commit(self, epoch, seen_versions, commit):
        if epoch != self.epoch:
            return "not owner"
        if commit is self.last_commit:
            return "ok"
        for job in commit.jobs_started():
            if seen_versions[job] != self.job_versions[job]:
                return "cancelled"
        for chunk in commit.chunks:
            self.chunks[chunk.job, chunk.number] = copy.deepcopy(chunk)
        self.finished |= set(commit.finished)
        self.last_commit = commit
        return "ok"


@dataclasses.dataclass
class Owner:
    scheduler: shard_lib.ShardScheduler
    seen_versions: dict
    pending_commit: task_registry.Commit | None = None
    # The outstanding request to each worker.
    syncs: dict = dataclasses.field(default_factory=dict)


class SchedulerWorld(stateful.RuleBasedStateMachine):
    """Owners, their table and their workers; rules are added by a subclass."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.table = Table()
        self.incarnations = 0
        self.models = {}
        self.dead_models = []
        self.listed = set(WORKERS)
        for name in WORKERS:
            self._start_worker(name)
        self.owners = []
        self.requests = []
        self.answers = []
        self.job_count = 0
        self.attempts_at_cancel = {}
        self._new_owner()

    def _start_worker(self, name):
        self.incarnations += 1
        self.models[name] = worker_model.WorkerModel(
            f"inc-{self.incarnations}", CAPACITY
        )

    def _new_owner(self):
        self.table.epoch += 1
        scheduler = shard_lib.ShardScheduler(
            "s",
            self.table.epoch,
            "vm",
            LEASE_S,
            placement.make("best-fit"),
            lambda group: task_order.Limits(),
        )
        owner = Owner(scheduler, {})
        self.owners = [*self.owners[-1:], owner]
        self._load(owner)
        self._update_workers(owner)

    def _load(self, owner):
        for key, chunk in self.table.chunks.items():
            if owner.scheduler.has_chunk(key) or key in self.table.finished:
                continue
            job = copy.deepcopy(self.table.jobs[key[0]])
            owner.seen_versions[key[0]] = self.table.job_versions[key[0]]
            owner.scheduler.load(job, copy.deepcopy(chunk))

    def _update_workers(self, owner):
        vms = [
            work_pb2.Vm(id=name, resources=resources.to_message(CAPACITY))
            for name in sorted(self.listed)
        ]
        owner.scheduler.set_workers(vms, set(), self.now)

    def _owner(self, index):
        return self.owners[index % len(self.owners)]
