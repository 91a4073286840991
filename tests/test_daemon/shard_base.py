"""One shard's runner over a table in memory and worker models."""

import time
from unittest import mock

import eventlet
import result
import testtools

from tests.test_daemon import memory_table
from wisterialug_core.decisions import (
    placement,
    resources,
    task_order,
    task_registry,
)
from wisterialug_core.decisions import shard as shard_lib
from wisterialug_core.schema import work_pb2
from wisterialug_daemon import shard_runner
from wisterialug_daemon.adapters import table as table_lib
from wisterialug_daemon.adapters import upstream
from wisterialug_standins import worker_model

SHARD = "s"
SHARD_KEY = "dc/d/shard/s"
LEASE_S = 10.0
CAPACITY = resources.Amount(4000, 8000, 1)


class ModelWorkers(upstream.WorkerClient):
    """Calls worker models by address."""

    def __init__(self):
        self.models = {}

    def sync(self, address, req, timeout_s):
        return result.Ok(
            self.models[address].sync(req, int(time.monotonic() * 1000))
        )


class ShardRunnerTestBase(testtools.TestCase):
    """Drives a runner step by step."""

    def setUp(self):
        super().setUp()
        self.table = memory_table.MemoryTable()
        self.seconds = 0.0
        self.client = table_lib.TableClient(
            self.table, 1000, lambda: self.seconds, self._sleep
        )
        self.workers = ModelWorkers()
        self.vms = []
        self.table.version = 1
        self.table.rows[SHARD_KEY] = table_lib.Row(SHARD_KEY, 1, b"", b"")
        self.presence = mock.Mock()
        self.presence.session.valid.return_value = True
        self.presence.shard_key.return_value = SHARD_KEY
        self.scheduler = shard_lib.ShardScheduler(
            SHARD,
            1,
            "vm",
            LEASE_S,
            placement.make("best-fit"),
            lambda group: task_order.Limits(),
        )
        self.runner = shard_runner.ShardRunner(
            self.scheduler, 1, self.client, self.workers, self.presence, 1.0
        )

    def _sleep(self, seconds):
        self.seconds += seconds

    def add_worker(self, name):
        """Adds a worker and syncs twice, so that it can take starts."""
        model = worker_model.WorkerModel(f"{name}-1", CAPACITY)
        self.workers.models[name, 1] = model
        self.vms.append(
            work_pb2.Vm(
                id=name,
                ip=name,
                port=1,
                resources=resources.to_message(CAPACITY),
            )
        )
        self.scheduler.set_workers(self.vms, set(), time.monotonic())
        self.runner._addresses[name] = (name, 1)
        self.sync(name)
        self.sync(name)
        return model

    def add_job(self, name, tasks=1, repeatable=True, run_ms=1000):
        job = work_pb2.Job(
            id=name,
            customer="c",
            team="t",
            tasks=tasks,
            each=work_pb2.Resources(cpu_millicores=1000, memory_mib=100),
            run_ms=run_ms,
            repeatable=repeatable,
        )
        chunk = work_pb2.Chunk(
            job=name,
            shard=SHARD,
            tasks=[work_pb2.Task(index=i) for i in range(tasks)],
        )
        rows = {
            shard_runner.job_key(name): job,
            shard_runner.chunk_key(name, 0): chunk,
            shard_runner.marker_key(SHARD, name, 0): work_pb2.ChunkMarker(),
        }
        self.table.version += 1
        for key, message in rows.items():
            self.table.rows[key] = table_lib.Row(
                key, self.table.version, b"", message.SerializeToString()
            )

    def sync(self, worker):
        self.runner._sync(worker)

    def work(self, rounds=1):
        """Polls, plans, commits and syncs all workers, once a second."""
        for _ in range(rounds):
            self.seconds += 1.0
            self.runner.poll()
            self.runner._plan_and_commit()
            eventlet.sleep(0)
            for vm in self.vms:
                self.sync(vm.id)

    def advance(self, elapsed_ms):
        """Lets all running tasks progress."""
        for model in self.workers.models.values():
            model.advance(elapsed_ms, int(time.monotonic() * 1000))

    def tasks(self, job):
        """Returns the recorded tasks of a job."""
        row = self.table.rows[shard_runner.chunk_key(job, 0)]
        return list(work_pb2.Chunk.FromString(row.value).tasks)

    def all_final(self, job):
        return all(
            task.state in task_registry.FINAL_STATES for task in self.tasks(job)
        )
