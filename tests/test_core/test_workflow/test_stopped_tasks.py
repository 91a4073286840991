"""Tests of long-running tasks that are stopped in a full service."""

import collections
import random

import testtools

from tests.test_core.test_workflow import pools
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    fill_interference,
    job_table,
    model,
    overdue_first,
    preemption,
    step_placement,
    worker_table,
)

WORKERS = 100
ROUND_MS = 50
STOP_MS = (50, 300)
# The platform lets a task wait this long after a run, and then for a while
# beside room for two of them.
MAX_IDLE_S = 6.0
MAX_IDLE_BESIDE_ROOM_S = 3.0
LAST_MS = 35_000


class FullService:
    """Long-running tasks on all processors, and short jobs beside them.

    Attributes:
      unserved: Tasks that waited for too long beside room for two of them.
      longest_s: The longest wait for a next run.
      took_ms: How long each short job took.
    """

    def __init__(self, seed):
        self.unserved = set()
        self.longest_s = 0.0
        self.took_ms = []
        self._rng = random.Random(seed)
        self._jobs = job_table.JobTable()
        self._pool = worker_table.WorkerTable()
        self._begin_ms = self._now_ms = 1_000_000
        self._ends = {}
        self._idle_since_s = {}
        self._beside_room_since_s = {}
        self._workers = [
            pools.add_worker(
                self._pool, f"w{number}", 16_000 + number % 3 // 2 * 8000
            )
            for number in range(WORKERS)
        ]
        room = sum(w.free().cpu_millicores for w in self._workers)
        while room > 0:
            count = max(1, round(self._rng.gauss(14, 5)))
            millicores = self._millicores(3200, 800, 5100)
            self._submit(count, millicores, long_running=True)
            room -= count * millicores

    def play(self):
        """Plays the service for a while."""
        while self._now_ms < self._begin_ms + LAST_MS:
            self._end_runs()
            self._submit_short()
            self._note_waits()
            self._place()
            if self._now_ms % 100 == 0:
                self._make_room()
            self._now_ms += ROUND_MS

    def _millicores(self, mean, deviation, most):
        drawn = self._rng.gauss(mean, deviation)
        return round(min(most, max(1000, drawn)), -2)

    def _submit(self, count, millicores, **fields):
        policy = workflow_pb2.Policy(
            service="app", max_attempts=3, stretch=1.5, target_latency_ms=250
        )
        job = workflow_pb2.Job(
            id=f"{len(self._jobs.jobs)}",
            accepted_ms=self._now_ms,
            policy=policy,
        )
        job.steps.add(
            count=count,
            cpu_millicores=int(millicores),
            memory_mib=100,
            estimate_ms=640,
            **fields,
        )
        self._jobs.add(job)

    def _submit_short(self):
        count = 1 + int(self._rng.expovariate(1 / 9.5))
        self._submit(count, self._millicores(2800, 1260, 8500))

    def _end_runs(self):
        due = [key for key, end in self._ends.items() if end[0] <= self._now_ms]
        for key in due:
            _, end = self._ends.pop(key)
            task, step = self._jobs.task(key), self._jobs.step(key)
            entry, worker = self._jobs.jobs[key.job], task.worker
            self._jobs.end(task, end, "", self._now_ms)
            self._pool.release(task, worker, step)
            if step.long_running:
                self._idle_since_s[key] = self._now_ms / 1000
            if entry.final:
                self.took_ms.append(self._now_ms - entry.job.accepted_ms)

    def _note_waits(self):
        now_s = self._now_ms / 1000
        free = [w.free().cpu_millicores for w in self._workers]
        room = collections.Counter()
        for key, idle_since_s in self._idle_since_s.items():
            need = self._jobs.step(key).cpu_millicores
            if need not in room:
                room[need] = sum(f // need for f in free)
            self.longest_s = max(self.longest_s, now_s - idle_since_s)
            if now_s - idle_since_s <= MAX_IDLE_S or room[need] < 2:
                self._beside_room_since_s.pop(key, None)
                continue
            since_s = self._beside_room_since_s.setdefault(key, now_s)
            if now_s - since_s >= MAX_IDLE_BESIDE_ROOM_S:
                self.unserved.add(key)

    def _place(self):
        for start in step_placement.plan(
            self._jobs,
            self._pool,
            fill_interference.InterferenceModel(),
            self._now_ms / 1000,
            self._now_ms,
        ):
            key = start.task.key
            start.task.phase = model.Phase.RUNNING
            if self._jobs.step(key).long_running:
                self._idle_since_s.pop(key, None)
                self._beside_room_since_s.pop(key, None)
                continue
            run_ms = max(ROUND_MS, round(self._rng.gauss(640, 200)))
            self._ends[key] = self._now_ms + run_ms, model.RunEnd.DONE

    def _make_room(self):
        for task in preemption.select(
            self._jobs, self._pool, self._now_ms / 1000, self._now_ms
        ):
            task.phase = model.Phase.STOPPING
            end_ms = self._now_ms + self._rng.randint(*STOP_MS)
            self._ends[task.key] = end_ms, model.RunEnd.STOPPED


class StoppedTaskTest(testtools.TestCase):
    """Long-running tasks are stopped for short ones, again and again."""

    def test_stopped_task_does_not_wait_beside_room(self):
        for seed in (1, 2):
            service = FullService(seed)
            service.play()
            self.assertEqual(0, len(service.unserved))
            self.assertLess(service.longest_s, MAX_IDLE_S)


class OverdueTest(testtools.TestCase):
    def overdue(self, *ended_ms, now_ms=20_000, **fields):
        """Returns the indexes of the tasks that go first."""
        jobs = job_table.JobTable()
        step = workflow_pb2.Step(count=len(ended_ms), **fields)
        entry = jobs.add(workflow_pb2.Job(id="j", steps=[step]))
        group = model.GroupKey("j", 0, 0)
        tasks = entry.group(group)
        for task, end_ms in zip(tasks, ended_ms, strict=True):
            task.last_run_end_ms = end_ms
        return [
            task.key.index
            for _, task in overdue_first.select([(group, tasks)], jobs, now_ms)
        ]

    def test_the_longest_wait_after_a_run_goes_first(self):
        ended_ms = 14_000, 19_000, 9000, 15_000, 15_001
        self.assertEqual([2, 0, 3], self.overdue(*ended_ms, long_running=True))

    def test_tasks_that_have_not_run_wait_their_turn(self):
        self.assertEqual([1], self.overdue(0, 9000, long_running=True))

    def test_finite_tasks_and_gangs_are_left_out(self):
        self.assertEqual([], self.overdue(9000))
        self.assertEqual([], self.overdue(9000, long_running=True, gang=True))


class RejectedStartTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.jobs = job_table.JobTable()
        job = workflow_pb2.Job(id="1")
        job.steps.add(count=1, cpu_millicores=1000, long_running=True)
        entry = self.jobs.add(job)
        (self.task,) = entry.group(model.GroupKey("1", 0, 0))
        self.jobs.start(self.task, "w1", 1, 0.0)
        self.task.phase = model.Phase.RUNNING
        self.jobs.end(self.task, model.RunEnd.STOPPED, "", 1000)
        self.jobs.start(self.task, "w2", 2, 1.0)

    def test_rejected_start_counts_as_a_run(self):
        self.jobs.end(self.task, model.RunEnd.LOST, "", 6000)
        self.assertEqual(1000, self.task.last_run_end_ms)

    def test_start_that_is_stopped_before_it_is_answered_counts_as_a_run(self):
        self.task.orders.send(2000)
        self.task.phase = model.Phase.STOPPING
        self.jobs.end(self.task, model.RunEnd.LOST, "", 6000)
        self.assertEqual(1000, self.task.last_run_end_ms)

    def test_run_that_was_seen_counts_though_it_was_stopped_and_lost(self):
        self.task.orders.confirm(1.5)
        self.task.phase = model.Phase.STOPPING
        self.jobs.end(self.task, model.RunEnd.LOST, "", 6000)
        self.assertEqual(6000, self.task.last_run_end_ms)
