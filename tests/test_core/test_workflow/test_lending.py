"""Tests of lending tasks to other shards."""

import testtools

from tests.test_core.test_workflow import pools
from wisterialug_core.decisions import resources
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import job_table, lending, model, worker_table


def tasks(count):
    return [
        (model.Task(model.TaskKey("j", 0, 0, index)), 3000)
        for index in range(count)
    ]


class ChooseTest(testtools.TestCase):
    def test_shard_with_most_room_gets_tasks_while_it_has_room(self):
        # A full shard has lost a rack; a loan takes ROOM_FACTOR * 3,000 free.
        chosen = lending.choose(tasks(10), {"s1": 21_000, "s2": 5000})
        self.assertEqual({"s1"}, {shard for _, shard in chosen})
        self.assertEqual(5, len(chosen))

    def test_full_shards_get_nothing(self):
        self.assertEqual([], lending.choose(tasks(3), {"s1": -4000}))
        self.assertEqual([], lending.choose(tasks(3), {}))

    def test_task_that_was_lent_too_often_stays(self):
        waiting = tasks(1)
        waiting[0][0].loans = lending.MAX_LOANS
        self.assertEqual([], lending.choose(waiting, {"s1": 90_000}))


class FiniteTest(testtools.TestCase):
    """A step wider than its shard, beside shards with room."""

    def waiting(self, count, cpu=4000, eligible=("s1", "s2"), **fields):
        step = workflow_pb2.Step(cpu_millicores=cpu, **fields)
        return [
            (model.Task(model.TaskKey("j", 0, 0, n)), step, set(eligible))
            for n in range(count)
        ]

    def offer(self, slots=(0, 0, 0, 0, 0), fill_room=0):
        return lending.Offer(lending.SpareCapacity(slots, fill_room))

    def chosen(self, waiting, **offers):
        return [shard for _, shard in lending.choose_finite(waiting, offers)]

    def test_wide_step_is_spread_over_shards_with_room(self):
        chosen = self.chosen(
            self.waiting(160),
            s1=self.offer((400, 200, 100, 40, 20)),
            s2=self.offer((200, 100, 50, 20, 10)),
        )
        self.assertEqual(50, chosen.count("s1"))
        self.assertEqual(25, chosen.count("s2"))

    def test_fragmented_room_is_no_room(self):
        # 80 workers with three processors left each: nothing of four fits.
        offer = self.offer((240, 80, 0, 0, 0))
        self.assertEqual([], self.chosen(self.waiting(5), s1=offer))

    def test_offer_is_not_used_twice(self):
        offers = {"s1": self.offer((40, 20, 10, 0, 0))}
        lending.choose_finite(self.waiting(4), offers)
        again = lending.choose_finite(self.waiting(4), offers)
        self.assertEqual(1, len(again))

    def test_fill_work_uses_the_room_for_fill_work(self):
        waiting = self.waiting(10, cpu=2000, fills=True)
        full = self.offer((400, 200, 100, 40, 20))
        self.assertEqual([], self.chosen(waiting, s1=full))
        offer = self.offer(fill_room=24_000)
        self.assertEqual(6, len(self.chosen(waiting, s2=offer)))

    def test_only_eligible_shards(self):
        waiting = self.waiting(3, eligible=["s2"])
        offer = self.offer((400, 200, 100, 40, 20))
        self.assertEqual([], self.chosen(waiting, s1=offer))

    def test_task_larger_than_all_sizes(self):
        offer = self.offer((400, 200, 100, 40, 20))
        self.assertEqual([], self.chosen(self.waiting(1, cpu=20_000), s1=offer))


class LargeTasksTest(testtools.TestCase):
    """A shard whose workers differ in size, beside large tasks that wait."""

    def setUp(self):
        super().setUp()
        self.jobs = job_table.JobTable()
        self.pool = worker_table.WorkerTable()

    def worker(self, name, cpu, used=0):
        worker = pools.add_worker(self.pool, name, cpu, memory_mib=256_000)
        worker.reserved = resources.Amount(used, 0, 0)

    def spare(self, chosen=()):
        return lending.spare_capacity(self.jobs, self.pool, 9.0, 9000, chosen)

    def lent(self, count, cpu, slots):
        step = workflow_pb2.Step(cpu_millicores=cpu)
        waiting = [
            (model.Task(model.TaskKey("j", 0, 0, n)), step, {"s1"})
            for n in range(count)
        ]
        offer = lending.Offer(lending.SpareCapacity(slots))
        return len(lending.choose_finite(waiting, {"s1": offer}))

    def test_task_of_34_cores_is_lent_to_a_free_worker_of_64(self):
        self.worker("busy", 32_000, used=31_000)
        self.worker("large", 64_000)
        self.assertEqual(1, self.lent(3, 34_000, self.spare().free_slots))

    def test_task_is_not_lent_to_fragments_of_its_size(self):
        for number in range(9):
            self.worker(f"w{number}", 64_000, used=32_000)
        self.assertEqual(0, self.lent(3, 34_000, self.spare().free_slots))

    def test_no_sizes_are_offered_that_no_worker_has(self):
        self.worker("w", 32_000)
        self.assertEqual(7, len(self.spare().free_slots))

    def test_first_sizes_stay_as_earlier_owners_read_them(self):
        self.worker("w", 64_000)
        self.assertEqual((64, 32, 16, 8, 4), self.spare().free_slots[:5])
        # What an earlier owner offers ends there.
        self.assertEqual(2, self.lent(3, 16_000, (64, 32, 16, 8, 4)))
        self.assertEqual(0, self.lent(3, 17_000, (64, 32, 16, 8, 4)))

    def test_tasks_that_wait_by_choice_leave_the_room_to_others(self):
        self.worker("w", 16_000)
        step = workflow_pb2.Step(count=1, cpu_millicores=500, data_rack="r9")
        self.jobs.add(workflow_pb2.Job(id="j", steps=[step]))
        self.assertEqual(set(), {n for n in self.spare().free_slots if n})
        chosen = {model.TaskKey("j", 0, 0, 0)}
        self.assertEqual(16, self.spare(chosen).free_slots[0])
