"""Tests of the assignment of workers and new jobs to shards."""

import collections
import random

import testtools

from wisterialug_core.decisions import resources
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import layouts, model, ownership


def report(name, rack, data_centre="d0", service="app", labels=()):
    return model.WorkerReport(
        id=name,
        address="10.0.0.1:1",
        service=service,
        data_centre=data_centre,
        state=model.WorkerState.READY,
        capacity=resources.Amount(16_000, 64_000, 0),
        labels=(*labels, rack),
        remaining_ms=0,
    )


def fleet(workers, rack_size=12, data_centres=3, **fields):
    """Returns workers in racks, each rack in one data centre."""
    reports = []
    for number in range(workers):
        rack = number // rack_size
        reports.append(
            report(
                f"w{number}", f"r{rack}", f"d{rack % data_centres}", **fields
            )
        )
    return reports


def job(service="app", **fields):
    return workflow_pb2.Job(
        id="j",
        policy=workflow_pb2.Policy(service=service),
        steps=[workflow_pb2.Step(count=1, estimate_ms=1000, **fields)],
    )


def loads(*waits_s, rooms=(500_000,) * 9, unowned=()):
    return {
        number: layouts.ShardLoad(
            700_000, room, int(wait_s * room), number not in unowned
        )
        for number, (wait_s, room) in enumerate(
            zip(waits_s, rooms, strict=False)
        )
    }


class ExtendTest(testtools.TestCase):
    def test_few_workers_stay_in_one_shard(self):
        layout = layouts.Layout(layouts.extend(layouts.Layout(), fleet(33, 11)))
        self.assertEqual(1, layout.shards)

    def test_each_data_centre_is_split_evenly(self):
        reports = fleet(3 * ownership.WORKERS_PER_SHARD)
        layout = layouts.Layout(layouts.extend(layouts.Layout(), reports))
        self.assertEqual(3, layout.shards)
        sizes = collections.Counter(layout.shard_of(r) for r in reports)
        self.assertLessEqual(max(sizes.values()), 1.5 * min(sizes.values()))
        for data_centre in ("d0", "d1", "d2"):
            here = {
                layout.shard_of(r)
                for r in reports
                if r.data_centre == data_centre
            }
            self.assertEqual(3, len(here))

    def test_a_rack_never_changes_its_shard(self):
        total = 4 * ownership.WORKERS_PER_SHARD
        reports = fleet(total)
        layout = layouts.Layout()
        seen = {}
        for count in range(10, total + 1, 10):
            extended = layouts.extend(layout, reports[:count])
            if extended is not None:
                layout = layouts.Layout(extended)
            for worker in reports[:count]:
                shard = layout.shard_of(worker)
                self.assertLess(shard, layout.shards)
                self.assertEqual(shard, seen.setdefault(worker.id, shard))
        self.assertGreater(len(set(seen.values())), 1)

    def test_known_racks_change_nothing(self):
        reports = fleet(24)
        layout = layouts.Layout(layouts.extend(layouts.Layout(), reports))
        self.assertIsNone(layouts.extend(layout, reports[:10]))

    def test_small_service_beside_a_large_one_stays_whole(self):
        # The widest jobs of the small service need all of its workers.
        reports = fleet(3 * ownership.WORKERS_PER_SHARD) + [
            report(f"x{n}", f"x{n // 4}", service="small") for n in range(12)
        ]
        layout = layouts.Layout(layouts.extend(layouts.Layout(), reports))
        shards = {layout.shard_of(r) for r in reports if r.service == "small"}
        self.assertEqual(1, len(shards))


class ChooseTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.rng = random.Random(1)
        self.reports = fleet(4 * ownership.WORKERS_PER_SHARD, labels=("a",))
        self.layout = layouts.Layout(
            layouts.extend(layouts.Layout(), self.reports)
        )
        self.assertEqual(4, self.layout.shards)

    def choose(self, new_job, known, times=200):
        return collections.Counter(
            self.layout.choose(new_job, known, self.rng) for _ in range(times)
        )

    def test_burst_is_spread(self):
        # Burst that arrives before loads are refreshed.
        chosen = self.choose(job(), loads(0, 0, 0, 0), 400)
        self.assertGreater(min(chosen.values()), 50)

    def test_shard_with_longest_wait_gets_few_jobs(self):
        chosen = self.choose(job(), loads(5, 1, 1, 1))
        self.assertLess(chosen[0], 0.15 * 200)

    def test_burst_of_long_running_jobs_is_spread_by_room(self):
        # At the start of a day, all VMs see the same empty shards, which
        # differ in size.
        rooms = [400_000, 500_000, 500_000, 600_000]
        known = loads(0, 0, 0, 0, rooms=rooms)
        chosen = self.choose(job(long_running=True), known, 1000)
        for shard, room in enumerate(rooms):
            self.assertAlmostEqual(room / 2000, chosen[shard], delta=60)

    def test_shard_full_of_long_running_tasks_gets_few_jobs(self):
        known = loads(0, 0, 0, 0, rooms=[-50_000, 90_000, 90_000, 90_000])
        self.assertLess(self.choose(job(), known)[0], 0.1 * 200)
        new_job = job(long_running=True)
        self.assertLess(self.choose(new_job, known)[0], 0.1 * 200)

    def test_shard_without_owner_gets_nothing(self):
        chosen = self.choose(job(), loads(0, 1, 1, 1, unowned={0}))
        self.assertNotIn(0, chosen)
        chosen = self.choose(job(), loads(0, 0, 0, 0, unowned={0, 1, 2, 3}))
        self.assertGreater(len(chosen), 1)

    def test_job_goes_near_its_data(self):
        near = self.layout.shard_of(self.reports[0])
        chosen = self.choose(job(data_rack="r0"), loads(0, 0, 0, 0))
        self.assertEqual({near}, set(chosen))

    def test_long_wait_outweighs_data_locality(self):
        # Many jobs have their data on the same rack.
        near = self.layout.shard_of(self.reports[0])
        waits = [0.0] * 4
        waits[near] = 3.0
        chosen = self.choose(job(data_rack="r0"), loads(*waits))
        self.assertLess(chosen[near], 0.15 * 200)

    def test_slower_far_runs_outweigh_a_longer_wait(self):
        # Away from its data the task takes 2 s more, beside a wait of 1.5 s.
        near = self.layout.shard_of(self.reports[0])
        waits = [0.0] * 4
        waits[near] = 1.5
        new_job = job(data_rack="r0")
        self.assertLess(self.choose(new_job, loads(*waits))[near], 0.2 * 200)
        self.layout = layouts.Layout(self.layout.message, remote_slowdown=3.0)
        self.assertEqual({near}, set(self.choose(new_job, loads(*waits))))

    def test_job_goes_to_shard_with_its_label(self):
        reports = [*self.reports, report("x", "x0", labels=("gpu",))]
        layout = layouts.Layout(layouts.extend(self.layout, reports))
        only = layout.shard_of(reports[-1])
        for _ in range(50):
            chosen = layout.choose(
                job(required_label="gpu"), loads(0, 0, 0, 0), self.rng
            )
            self.assertEqual(only, chosen)

    def test_job_goes_to_rack_required_by_label(self):
        # Such a job never started with seed 31 of MixedShardsTest.
        only = self.layout.shard_of(self.reports[0])
        known = loads(0, 0, 0, 0)
        chosen = self.choose(job(required_label="r0"), known)
        self.assertEqual({only}, set(chosen))

    def test_unknown_service(self):
        self.assertEqual({0}, set(self.choose(job("other"), loads(0, 0, 0, 0))))
