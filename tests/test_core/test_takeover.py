"""Tests that running tasks outlive a change of shard owner."""

import testtools

from wisterialug_core.decisions import (
    placement,
    resources,
    shard,
    takeover,
    task_order,
)
from wisterialug_core.schema import work_pb2
from wisterialug_standins import worker_model

CAPACITY = resources.Amount(4000, 8000, 0)
STEP_S = 0.05
RUN_MS = 60_000
# Session lease, task lease and longest interval between syncs, in seconds.
SETTINGS = (
    (5.0, 11.0, 2.0),
    (5.0, 10.0, 2.0),
    (3.0, 6.0, 2.0),
    (1.0, 3.0, 2.0),
    (5.0, 20.0, 30.0),
)


class Timeline:
    """One worker and its shard's owners, in virtual time."""

    def __init__(self, task_lease_s):
        self.now = 100.0
        self.task_lease_s = task_lease_s
        self.model = worker_model.WorkerModel("inc", CAPACITY)
        self.job = work_pb2.Job(
            id="j",
            customer="c",
            team="t",
            tasks=1,
            each=work_pb2.Resources(cpu_millicores=1000, memory_mib=100),
            run_ms=RUN_MS,
        )
        self.chunk = work_pb2.Chunk(job="j", tasks=[work_pb2.Task(index=0)])

    def new_owner(self, epoch):
        scheduler = shard.ShardScheduler(
            "s",
            epoch,
            "vm",
            self.task_lease_s,
            placement.make("best-fit"),
            lambda group: task_order.Limits(),
        )
        scheduler.load(self.job, self.chunk)
        vm = work_pb2.Vm(id="w", resources=resources.to_message(CAPACITY))
        scheduler.set_workers([vm], set(), self.now)
        return scheduler

    def commit(self, scheduler):
        scheduler.plan(self.now, int(self.now * 1000))
        commit = scheduler.next_commit()
        if commit is not None:
            for chunk in commit.chunks:
                self.chunk = chunk
            scheduler.commit_done(commit)

    def sync(self, scheduler):
        req = scheduler.sync_request("w")
        resp = self.model.sync(req, int(self.now * 1000))
        scheduler.on_sync("w", req, resp, self.now)
        self.commit(scheduler)

    def run(self, scheduler, seconds, interval_s):
        """Syncs periodically, the last time one interval before the end."""
        end = self.now + seconds
        while self.now < end:
            self.sync(scheduler)
            self.wait(interval_s)

    def wait(self, seconds):
        end = self.now + seconds
        while self.now < end:
            step_s = min(STEP_S, end - self.now)
            self.now += step_s
            self.model.advance(step_s * 1000, int(self.now * 1000))


class TakeoverTest(testtools.TestCase):
    def test_task_outlives_its_owner(self):
        for session_lease_s, task_lease_s, longest_s in SETTINGS:
            timeline = Timeline(task_lease_s)
            interval_s = takeover.renewal_interval_s(
                task_lease_s, session_lease_s, longest_s
            )
            first = timeline.new_owner(1)
            timeline.sync(first)
            timeline.run(first, 10.0, interval_s)
            self.assertEqual(1, len(timeline.model.running))
            timeline.wait(takeover.longest_s(session_lease_s))
            second = timeline.new_owner(2)
            timeline.sync(second)
            timeline.run(second, 10.0, interval_s)
            attempts = [(run.attempt, run.end) for run in timeline.model.log]
            self.assertEqual([(1, "")], attempts, session_lease_s)

    def test_interval_is_the_one_set_if_leases_allow(self):
        self.assertEqual(0.4, takeover.renewal_interval_s(60.0, 5.0, 0.4))
        self.assertEqual(2.0, takeover.renewal_interval_s(11.0, 5.0, 2.0))

    def test_shortest_task_lease_leaves_time_for_two_syncs(self):
        for session_lease_s in (1.0, 3.0, 60.0):
            lease_s = takeover.shortest_task_lease_s(session_lease_s)
            interval_s = takeover.renewal_interval_s(
                lease_s, session_lease_s, 30.0
            )
            self.assertAlmostEqual(
                takeover.MIN_RENEWAL_INTERVAL_S, interval_s, places=9
            )
            self.assertTrue(
                lease_s - 2 * interval_s
                >= takeover.longest_s(session_lease_s) - 1e-9
            )
