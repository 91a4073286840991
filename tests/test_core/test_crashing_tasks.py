"""Tasks of the product's own scheduler that crash their workers."""

import testtools

from tests.test_core import scheduler_world, test_shard_machine
from wisterialug_core.decisions import task_registry
from wisterialug_core.schema import work_pb2


class CrashingTaskTest(testtools.TestCase):
    """A repeatable task whose worker restarts each time."""

    ROUNDS = 8

    def setUp(self):
        super().setUp()
        self.fleet = test_shard_machine.ShardMachine()
        self.fleet.submit(1, 2000, 30_000, True, False)
        self.fleet.poll(0)

    def exchange_all(self):
        for worker in scheduler_world.WORKERS:
            self.fleet.exchange(worker, 0)

    def start(self):
        """Starts the task; returns its worker, or None if it does not start."""
        fleet = self.fleet
        self.exchange_all()
        fleet.plan(0)
        fleet.store_commit(0, "ok")
        self.exchange_all()
        busy = [
            worker
            for worker in scheduler_world.WORKERS
            if fleet.models[worker].running
        ]
        return busy[0] if busy else None

    def crash(self, worker):
        self.fleet.kill_worker(worker)
        self.fleet.restart_worker(worker)
        self.exchange_all()

    def play(self, seconds):
        """Crashes each worker this long after the start; counts starts."""
        for number in range(self.ROUNDS):
            worker = self.start()
            if worker is None:
                return number
            if seconds:
                self.fleet.work_rounds(
                    0, scheduler_world.WORKERS, seconds / 4, 4
                )
            self.crash(worker)
        return self.ROUNDS

    def state(self):
        [chunk] = self.fleet.table.chunks.values()
        return chunk.tasks[0].state

    def test_task_crashes_worker_after_worker(self):
        self.assertEqual(task_registry.MAX_EARLY_CRASHES, self.play(0))
        self.fleet.plan(0)
        self.fleet.store_commit(0, "ok")
        self.assertEqual(work_pb2.TASK_STATE_FAILED, self.state())

    def test_task_that_stood_beside_crashes_is_given_up(self):
        self.assertEqual(self.ROUNDS, self.play(4.0))
