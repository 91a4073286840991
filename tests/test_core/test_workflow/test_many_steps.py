"""Rounds on jobs with as many steps as a caller may ask for."""

import random
import time

import testtools

from tests.test_core.test_workflow import pools
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    fill_interference,
    job_entry,
    job_table,
    model,
    step_placement,
    urgency,
    waiting_groups,
    worker_table,
)

STEPS = 4000
NOW_MS = 1_000_000
# Owners renew at this interval, between two rounds.
MAX_ROUND_S = 0.5


def job(steps, name="j"):
    return workflow_pb2.Job(
        id=name,
        accepted_ms=NOW_MS,
        steps=steps,
        policy=workflow_pb2.Policy(
            max_attempts=2, service="app", stretch=2, target_latency_ms=1000
        ),
    )


def step(**fields):
    fields = {"count": 1, "cpu_millicores": 1000, "estimate_ms": 7} | fields
    return workflow_pb2.Step(**fields)


def plain_times(entry, group):
    """Returns the time and the work after a group, from the job alone."""
    steps = entry.job.steps
    after = [0.0] * len(steps)
    for number in reversed(range(len(steps))):
        if not entry.step_done(group.repetition, number):
            after[number] += steps[number].estimate_ms
        for earlier in steps[number].after:
            after[earlier] = max(after[earlier], after[number])
    later = {group.step}
    core_ms = 0
    for number, other in enumerate(steps):
        if later.intersection(other.after):
            later.add(number)
            if not other.long_running:
                task_ms = other.cpu_millicores * other.estimate_ms // 1000
                core_ms += other.count * task_ms
    return after[group.step], core_ms


class GroupTimesTest(testtools.TestCase):
    def check(self, entry, groups):
        objective_ms = urgency.objective_ms(entry.job)
        for group in groups:
            if entry.job.steps[group.step].long_running:
                continue
            left_ms, later_core_ms = plain_times(entry, group)
            begin_ms = entry.due_ms(group.repetition) or NOW_MS
            times = urgency.group_times(entry, group)
            self.assertEqual(begin_ms + objective_ms - left_ms, times.latest_ms)
            self.assertEqual(later_core_ms, times.later_core_ms)

    def test_times_are_those_worked_out_from_the_job_alone(self):
        # Steps of a borrowed job end in any order, as far as its shard knows.
        for seed in range(60):
            rng = random.Random(seed)
            steps = [
                step(
                    count=rng.randint(0, 3),
                    estimate_ms=rng.choice([0, 1, 900, 2**32 - 1]),
                    long_running=rng.random() < 0.1,
                    after=[a for a in range(number) if rng.random() < 0.2],
                )
                for number in range(12)
            ]
            asked = job(steps)
            asked.repeats = rng.randint(0, 2)
            asked.start_at_ms = 5
            entry = job_entry.JobEntry(asked, home=rng.random() < 0.5)
            groups = [
                model.GroupKey("j", repetition, number)
                for repetition in range(entry.repetitions)
                for number in range(len(steps))
            ]
            for group in rng.sample(groups, len(groups)):
                self.check(entry, rng.sample(groups, 4))
                self.assertFalse(entry.all_done())
                for _ in entry.group(group):
                    entry.note_done(group)
            self.check(entry, groups)
            self.assertTrue(entry.all_done())


class ManyStepsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.jobs = job_table.JobTable()
        self.pool = worker_table.WorkerTable()

    def look(self):
        return waiting_groups.pending_groups(self.jobs, 1.0, NOW_MS)

    def check_rounds(self, steps):
        """Plays the first rounds and two ends; counts what they look at."""
        self.jobs.add(job(steps))
        looked_at = []
        step_done = job_entry.JobEntry.step_done
        self.patch(
            job_entry.JobEntry,
            "step_done",
            lambda *args: looked_at.append(args) or step_done(*args),
        )
        first = self.look()
        for _, (task, *_) in (first[0], first[-1]):
            self.jobs.start(task, "w", 1, 0.0)
            self.jobs.end(task, model.RunEnd.DONE, "", NOW_MS)
            self.look()
        edges = sum(len(s.after) for s in steps)
        # A few passes over the job, whatever its number of steps.
        self.assertLess(len(looked_at), 8 * (len(steps) + edges))

    def test_rounds_look_at_each_independent_step_a_few_times(self):
        self.check_rounds([step() for _ in range(STEPS)])

    def test_rounds_look_at_each_step_of_pairs_a_few_times(self):
        pairs = [
            step(after=[number - 1] if number % 2 else [])
            for number in range(STEPS)
        ]
        self.check_rounds(pairs)

    def test_round_ends_before_the_renewal_is_due(self):
        # The steps before a hub and those after it all have work behind them.
        half = STEPS // 2
        steps = [step(estimate_ms=n + 1) for n in range(half)]
        steps.append(step(after=list(range(half))))
        steps += [step(after=[half]) for _ in range(STEPS - half - 1)]
        self.jobs.add(job(steps))
        for number in range(6):
            pools.add_worker(self.pool, f"w{number}")
        interference = fill_interference.InterferenceModel()
        begun_s = time.process_time()
        placed = step_placement.plan(
            self.jobs, self.pool, interference, 1.0, NOW_MS
        )
        self.assertLess(time.process_time() - begun_s, MAX_ROUND_S)
        self.assertEqual(6 * 16, len(placed))
