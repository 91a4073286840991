"""Tests of data centres that are out of service.

Each replays a load: a data centre is emptied and taken back while more work
waits than the others hold.
"""

import testtools

from wisterialug_core.decisions import resources
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    evacuated_work,
    evacuations,
    fill_interference,
    job_table,
    model,
    preemption,
    step_placement,
    waiting_groups,
    worker_table,
)

NOW_S = 100.0
NOW_MS = 1_000_000


def changes(version, begun=(), ended=(), *, complete=False):
    return evacuations.Changes(
        frozenset(begun), frozenset(ended), complete, version
    )


class EvacuationsTest(testtools.TestCase):
    def test_any_data_centre_may_be_out_of_service_until_all_are_read(self):
        view = evacuations.UNKNOWN
        self.assertTrue(view.covers("dc1"))
        view = view.apply(changes(3, ["dc2"]))
        self.assertTrue(view.covers("dc1"))
        view = view.apply(changes(4, ["dc2"], complete=True))
        self.assertEqual(
            [False, True], [view.covers(name) for name in ("dc1", "dc2")]
        )

    def test_an_older_list_changes_nothing(self):
        view = evacuations.NONE.apply(changes(9, ["dc1", "dc2"]))
        for stale in (
            changes(8, complete=True),
            changes(8, ended=["dc1"]),
        ):
            self.assertIs(view, view.apply(stale))
        view = view.apply(changes(10, ended=["dc1"]))
        self.assertEqual({"dc2"}, view.data_centres)

    def test_a_list_read_anew_replaces_what_was_known(self):
        view = evacuations.NONE.apply(changes(2, ["dc1"]))
        view = view.apply(changes(5, ["dc2"], complete=True))
        self.assertEqual({"dc2"}, view.data_centres)


class EvacuatedWorkersTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.jobs = job_table.JobTable()
        self.pool = worker_table.WorkerTable()

    def worker(self, name, data_centre="dc1", cpu=4000, label="a", cold_ms=0):
        worker = self.pool.update(
            model.WorkerReport(
                id=name,
                address="10.0.0.1:1",
                service="app",
                data_centre=data_centre,
                state=model.WorkerState.READY,
                capacity=resources.Amount(cpu, 64_000, 0),
                labels=(label, "r1"),
                remaining_ms=0,
                cold_ms=cold_ms,
            )
        )
        worker.fenced = True
        return worker

    def job(self, name, count=1, cpu=1000, **fields):
        self.jobs.add(
            workflow_pb2.Job(
                id=name,
                steps=[
                    workflow_pb2.Step(
                        count=count,
                        cpu_millicores=cpu,
                        memory_mib=100,
                        estimate_ms=800,
                        **fields,
                    )
                ],
                accepted_ms=NOW_MS,
                policy=workflow_pb2.Policy(
                    service="app",
                    max_attempts=2,
                    stretch=2.0,
                    target_latency_ms=500,
                ),
            )
        )

    def evacuate(self, *data_centres):
        self.pool.set_evacuated(
            evacuations.Evacuations(frozenset(data_centres))
        )

    def plan(self, now_ms=NOW_MS):
        placed = step_placement.plan(
            self.jobs,
            self.pool,
            fill_interference.InterferenceModel(),
            NOW_S,
            now_ms,
        )
        return [placement.worker.report.id for placement in placed]

    def held_back(self):
        queue = waiting_groups.pending_groups(self.jobs, NOW_S, NOW_MS)
        tasks = evacuated_work.held_back(queue, self.jobs, self.pool)
        return sorted({task.key.job for task in tasks})

    def test_no_kind_of_work_starts_there(self):
        self.worker("w1")
        self.worker("w2", "dc2")
        self.evacuate("dc1")
        self.job("fill", count=9, fills=True, image="f")
        self.job("gang", count=2, gang=True)
        self.job("lasting", count=9, long_running=True)
        self.job("finite", count=9)
        # A fill job that has waited for long starts even if throttled.
        self.assertEqual({"w2"}, set(self.plan(NOW_MS + 10_000)))
        self.worker("late", "dc1")
        self.assertEqual([], self.plan())
        self.evacuate()
        self.assertIn("late", self.plan())

    def test_its_room_is_not_offered_to_new_jobs(self):
        self.worker("w1")
        self.worker("w2", "dc2", cpu=3000)
        self.evacuate("dc1")
        self.assertEqual(3000, self.pool.room_millicores(NOW_S))
        self.assertEqual(3000, self.pool.capacity_millicores(NOW_S))
        self.evacuate("dc1", "dc2")
        self.assertEqual(0, self.pool.room_millicores(NOW_S))
        self.assertEqual([], self.plan())

    def test_what_lasts_there_is_not_stopped_for_short_tasks(self):
        self.worker("w1", cpu=8000)
        self.job("lasting", count=8, long_running=True)
        self.assertEqual(["w1"] * 8, self.plan())
        for index in range(8):
            task = self.jobs.task(model.TaskKey("lasting", 0, 0, index))
            task.phase = model.Phase.RUNNING
        self.job("short")
        due_ms = NOW_MS + 1000
        self.evacuate("dc1")
        chosen = preemption.select(self.jobs, self.pool, NOW_S, due_ms)
        self.assertEqual([], chosen)
        self.evacuate()
        chosen = preemption.select(self.jobs, self.pool, NOW_S, due_ms)
        self.assertEqual(1, len(chosen))

    def test_work_that_fits_nowhere_else_is_told_from_work_without_room(self):
        self.worker("w1", cpu=16_000, label="b")
        self.worker("w2", "dc2")
        self.job("large", cpu=8000)
        self.job("labelled", required_label="b")
        self.job("many", count=9)
        self.job("impossible", cpu=32_000)
        self.assertEqual([], self.held_back())
        self.evacuate("dc1")
        self.assertEqual(["labelled", "large"], self.held_back())
        self.evacuate("dc1", "dc2")
        self.assertEqual(["labelled", "large", "many"], self.held_back())

    def test_cold_workers_of_a_data_centre_taken_back_are_loaded_evenly(self):
        for kind in ({}, {"long_running": True}, {"fills": True, "image": "f"}):
            self.pool = worker_table.WorkerTable()
            self.jobs = job_table.JobTable()
            self.worker("warm", "dc2")
            cold = [self.worker(f"c{n}", cold_ms=3000) for n in range(3)]
            self.job("wave", count=10, **kind)
            placed = self.plan()
            self.assertEqual(["warm"] * 4, placed[:4], kind)
            self.assertEqual({"c0", "c1", "c2"}, set(placed[4:7]), kind)
            self.assertEqual([2, 2, 2], [len(w.runs) for w in cold], kind)
