"""Tests of starts that a worker carries out after newer sync requests."""

import testtools

from tests.test_core import scheduler_world, test_shard_machine
from wisterialug_core.schema import work_pb2


class LateStartTest(testtools.TestCase):
    def test_task_runs_twice_if_its_worker_restarts_before_its_start(self):
        """The start goes to the worker's next incarnation, and is late.

        The session has lapsed meanwhile, so that the next request lacks it.
        """
        fleet = test_shard_machine.ShardMachine()
        fleet.submit(1, 2000, 30000, True, False)
        fleet.poll(0)
        for worker in scheduler_world.WORKERS:
            fleet.exchange(worker, 0)
            fleet.exchange(worker, 0)
        fleet.plan(0)
        scheduler = fleet.owners[0].scheduler
        [worker] = [one.id for one in scheduler.workers() if one.held]
        fleet.kill_worker(worker)
        fleet.restart_worker(worker)
        fleet.exchange(worker, 0)
        fleet.store_commit(0, "ok")
        fleet.begin_sync(0, worker)
        fleet.expire_sync(0, worker)
        req = scheduler.sync_request(worker)
        del req.start[:]
        fleet.pass_time(0.2)
        resp = fleet.models[worker].sync(req, fleet._clock())
        scheduler.on_sync(worker, req, resp, fleet.now)
        fleet.work_rounds(0, scheduler_world.WORKERS, 0.2, 2)
        while fleet.requests:
            fleet.deliver_request(0, False)
        fleet.check_guarantees()
        fleet.work_rounds(0, scheduler_world.WORKERS, 0.2, 2)
        fleet.check_guarantees()
        self.assertEqual(1, len(fleet._all_runs()))

    def test_cancelled_task_does_not_begin_late(self):
        """The job is cancelled while a request without the start is under way.

        The attempt is kept until the worker has been told to stop it.
        """
        fleet = test_shard_machine.ShardMachine()
        fleet.submit(1, 2000, 30000, True, False)
        fleet.poll(0)
        for worker in scheduler_world.WORKERS:
            fleet.exchange(worker, 0)
            fleet.exchange(worker, 0)
        fleet.plan(0)
        fleet.store_commit(0, "ok")
        scheduler = fleet.owners[0].scheduler
        [worker] = [one.id for one in scheduler.workers() if one.held]
        fleet.begin_sync(0, worker)
        fleet.expire_sync(0, worker)
        req = scheduler.sync_request(worker)
        del req.start[:]
        resp = fleet.models[worker].sync(req, fleet._clock())
        fleet.cancel(1)
        fleet.poll(0)
        scheduler.on_sync(worker, req, resp, fleet.now)
        fleet.work_rounds(0, scheduler_world.WORKERS, 0.2, 2)
        [task] = fleet.table.chunks["j1", 0].tasks
        self.assertEqual(work_pb2.TASK_STATE_CANCELLED, task.state)
        fleet.deliver_request(0, False)
        self.assertEqual([], fleet._all_runs())
