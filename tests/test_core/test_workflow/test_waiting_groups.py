"""Groups that wait, of jobs with many occurrences."""

import random

import testtools

from tests.test_core.test_workflow import pools
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    job_entry,
    job_table,
    model,
    placement_queue,
    waiting_groups,
    worker_table,
)

NOW_MS = 1_000_000


def job(name, steps, **fields):
    policy = workflow_pb2.Policy(
        max_attempts=9, service="app", stretch=2, target_latency_ms=500
    )
    return workflow_pb2.Job(
        id=name, accepted_ms=NOW_MS, steps=steps, policy=policy, **fields
    )


def step(**fields):
    fields = {"count": 1, "cpu_millicores": 1000, "estimate_ms": 700} | fields
    return workflow_pb2.Step(**fields)


class OccurrencesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.jobs = job_table.JobTable()
        self.pool = worker_table.WorkerTable()
        self.workers = [
            pools.add_worker(self.pool, f"w{n}", cpu=2000, rack=f"r{n}")
            for n in range(2)
        ]

    def names(self, limit, **fields):
        queue = waiting_groups.pending_groups(self.jobs, 1.0, NOW_MS, **fields)
        queue = placement_queue.placeable(queue, self.jobs, self.workers, limit)
        return [(group, len(waiting)) for group, waiting in queue]

    def add_jobs(self, rng):
        for number in range(4):
            steps = [
                step(
                    count=rng.randint(1, 2),
                    cpu_millicores=rng.choice([500, 1000, 4000]),
                    estimate_ms=rng.choice([0, 700, 20_000]),
                    required_label=rng.choice(["", "r1", "r9"]),
                    long_running=rng.random() < 0.2,
                    after=[a for a in range(n) if rng.random() < 0.5],
                )
                for n in range(rng.randint(1, 3))
            ]
            fields = {}
            if rng.random() < 0.8:
                interval_ms = rng.choice([0, 100, 3000])
                fields = {
                    "repeats": rng.randint(1, 40),
                    "interval_ms": interval_ms,
                    "start_at_ms": rng.choice([0, NOW_MS - 15 * interval_ms]),
                }
            asked = job(f"j{number}", steps, **fields)
            if rng.random() < 0.8:
                self.jobs.add(asked)
            else:
                self.jobs.add_borrowed(asked)

    def change(self, rng, tasks):
        """Lets something happen to a task that waits."""
        task = rng.choice(tasks)
        kind = rng.choice([*model.RunEnd, "runs", "rests", "lent"])
        if kind == "rests":
            task.not_before_s = rng.choice([0.5, 2.0])
        elif kind == "lent":
            task.lent_to = "s1"
            self.jobs.dirty.add(task.key.job)
        else:
            self.jobs.start(task, "w0", task.run + 1, 0.0)
            if kind != "runs":
                self.jobs.end(task, kind, "", NOW_MS)

    def test_rounds_consider_the_same_groups_as_if_all_were_listed(self):
        for seed in range(40):
            rng = random.Random(seed)
            self.jobs = job_table.JobTable()
            self.add_jobs(rng)
            limit = rng.choice([1, 5, 20])
            for _ in range(25):
                bounded = self.names(limit, occurrences=limit)
                complete = waiting_groups.pending_groups(
                    self.jobs, 1.0, NOW_MS, occurrences=None
                )
                self.assertEqual(self.names(limit, occurrences=None), bounded)
                tasks = [t for _, waiting in complete for t in waiting]
                if tasks:
                    self.change(rng, tasks)

    def test_rounds_look_at_few_of_the_occurrences_that_are_due(self):
        for number in range(25):
            self.jobs.add(
                job(
                    f"j{number}",
                    [step(required_label="r1")],
                    repeats=4000,
                    interval_ms=100,
                )
            )
        looked_at = []
        startable_tasks = job_entry.JobEntry.startable_tasks
        self.patch(
            job_entry.JobEntry,
            "startable_tasks",
            lambda *args: looked_at.append(args) or startable_tasks(*args),
        )
        limit = placement_queue.MAX_GROUPS_PER_ROUND
        for _ in range(3):
            looked_at.clear()
            queue = waiting_groups.pending_groups(self.jobs, 1.0, NOW_MS)
            self.assertEqual(limit + 1, len(queue))
            self.assertLessEqual(len(looked_at), 2 * limit)
            # Runs go on being found as the first ones end.
            for _, (task,) in queue[:50]:
                self.jobs.start(task, "w0", 1, 0.0)
                self.jobs.end(task, model.RunEnd.DONE, "", NOW_MS)
        created = sum(len(e.groups) for e in self.jobs.jobs.values())
        self.assertLessEqual(created, 2 * limit)
