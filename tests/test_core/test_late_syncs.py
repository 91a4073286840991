"""Random sync requests that are late, lost, repeated or out of order.

Unlike in the state machine, each step syncs all workers, most late requests
arrive within their lease, workers restart while a start on them is being
recorded, and requests lose their starts while the owner's session has lapsed.
"""

import enum
import random

import testtools

from tests.test_core import scheduler_world, test_shard_machine
from wisterialug_core.decisions import task_registry, worker_record

SEEDS = range(40)
STEPS = 80
JOB_INTERVAL_STEPS = 12
DELAYS_S = (0.3, 0.8, 2.0, 4.0, 9.0, 15.0)


class Fate(enum.Enum):
    """What becomes of a sync request."""

    ANSWERED = "answered"
    ANSWER_LOST = "answer lost"
    LOST = "lost"
    LATE = "late"
    REPEATED_LATE = "repeated late"


FATES = list(Fate)
FATE_WEIGHTS = (5, 2, 2, 5, 2)


class LateSyncs:
    """Plays one seed.

    Attributes:
      late_starts: Starts that arrived after newer requests to the worker.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = test_shard_machine.ShardMachine()
        self.late = []
        self.late_starts = 0
        self.session_valid = True
        self.cut_off = set()

    def play(self):
        for number in range(STEPS):
            if number % JOB_INTERVAL_STEPS == 0:
                self.fleet.submit(5, 1000, 2000, self.chance(0.7), False)
            self.step()
        self.fleet.teardown()

    def step(self):
        fleet = self.fleet
        if self.chance(0.02):
            fleet.take_over()
        if self.chance(0.3):
            self.session_valid = not self.session_valid
        fleet.poll(-1)
        if self.session_valid:
            fleet.plan(-1)
        if self.chance(0.15):
            self.cut_off ^= {self.rng.choice(scheduler_world.WORKERS)}
        if self.chance(0.3):
            self.restart_worker()
        fleet.store_commit(-1, self.rng.choice(["ok", "ok", "lost"]))
        for worker in scheduler_world.WORKERS:
            self.sync(worker)
        fleet.pass_time(self.rng.choice([0.1, 0.2, 0.5]))
        self.deliver_late()
        fleet.check_guarantees()

    def restart_worker(self):
        """Restarts a worker, one with a start that is being recorded if any."""
        planned = [
            record.id
            for record in self.fleet.owners[-1].scheduler.workers()
            if any(
                attempt.stage is worker_record.AttemptStage.PLANNED
                for attempt in record.held.values()
            )
        ]
        worker = self.rng.choice(planned or scheduler_world.WORKERS)
        self.fleet.kill_worker(worker)
        self.fleet.restart_worker(worker)
        self.fleet.exchange(worker, -1)

    def sync(self, worker):
        """Sends one request, with a random fate."""
        owner = self.fleet.owners[-1]
        req = owner.scheduler.sync_request(worker)
        if not self.session_valid:
            del req.start[:]
        [fate] = self.rng.choices(FATES, FATE_WEIGHTS)
        if worker in self.cut_off:
            fate = self.rng.choice([Fate.LOST, Fate.LATE])
        if fate in (Fate.LATE, Fate.REPEATED_LATE):
            due = self.fleet.now + self.rng.choice(DELAYS_S)
            self.late.append((due, worker, req))
        if fate in (Fate.LOST, Fate.LATE):
            return
        resp = self.deliver(worker, req)
        if self.chance(0.03):
            self.fleet.cancel(self.rng.randint(1, 6))
            self.fleet.poll(-1)
        if fate is not Fate.ANSWER_LOST:
            owner.scheduler.on_sync(worker, req, resp, self.fleet.now)

    def deliver(self, worker, req):
        """Delivers a request; only attempts that are recorded may begin."""
        model = self.fleet.models[worker]
        runs = len(model.log)
        resp = model.sync(req, self.fleet._clock())
        for run in model.log[runs:]:
            job, _, index = run.task.rpartition("/")
            task = self.fleet.table.chunks[job, 0].tasks[int(index)]
            assert task.state in task_registry.ACTIVE_STATES, (run, task)
            assert task.attempt == run.attempt, (run, task)
        return resp

    def deliver_late(self):
        due = [one for one in self.late if one[0] <= self.fleet.now]
        self.late = [one for one in self.late if one[0] > self.fleet.now]
        self.rng.shuffle(due)
        for _, worker, req in due:
            runs = len(self.fleet.models[worker].log)
            self.deliver(worker, req)
            self.late_starts += len(self.fleet.models[worker].log) - runs
            self.fleet.check_guarantees()

    def chance(self, part):
        return self.rng.random() < part


class LateSyncTest(testtools.TestCase):
    def test_guarantees_hold_with_late_syncs(self):
        late_starts = 0
        for seed in SEEDS:
            game = LateSyncs(seed)
            try:
                game.play()
            except AssertionError as exc:
                raise AssertionError(f"seed {seed}: {exc}") from exc
            late_starts += game.late_starts
        # Most starts that come late find the attempt begun or stopped.
        self.assertTrue(late_starts > len(SEEDS), late_starts)
