"""Tests of lending tasks to other shards."""

import testtools

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import lending, model


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
