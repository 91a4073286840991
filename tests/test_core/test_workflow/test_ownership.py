"""Tests of the number of shards and of the choice of their owners."""

import collections
import random

import testtools

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import ownership

STRONG = workflow_pb2.Member(millicores=2150, link_kbps=200_000)
USUAL = workflow_pb2.Member(millicores=1070, link_kbps=1_000_000)
WEAK = workflow_pb2.Member(millicores=120, link_kbps=2000)


def named(*groups):
    """Returns VMs by name from pairs of a count and a kind."""
    kinds = [kind for count, kind in groups for _ in range(count)]
    return {f"n{number}": kind for number, kind in enumerate(kinds)}


class ShardsNeededTest(testtools.TestCase):
    def needed(self, workers, *groups):
        return ownership.shards_needed(workers, named(*groups).values())

    def test_small_site_stays_in_one_shard(self):
        self.assertEqual(1, self.needed(33, (9, USUAL)))

    def test_strong_vms_keep_large_shards(self):
        weak = workflow_pb2.Member(millicores=516, link_kbps=20_000)
        self.assertEqual(2, self.needed(246, (6, STRONG), (25, weak)))
        self.assertEqual(3, self.needed(445, (15, STRONG), (82, weak)))

    def test_no_more_shards_than_the_vms_need(self):
        # In two shards, fill work found fewer workers beside which it does no
        # harm: 0.92 of its worth in one, 0.72 in two.
        weak = workflow_pb2.Member(millicores=516, link_kbps=10_000)
        self.assertEqual(1, self.needed(176, (8, STRONG), (35, weak)))

    def test_weak_vms_get_small_shards(self):
        # One owner had 70 workers on a twentieth of all processors, missed its
        # leases, and so did each VM that replaced it.
        shards = self.needed(70, (18, WEAK))
        self.assertGreaterEqual(shards * ownership.worker_capacity(WEAK), 70)
        self.assertLessEqual(shards, 18)

    def test_a_slow_link_counts(self):
        slow = workflow_pb2.Member(millicores=1070, link_kbps=2000)
        self.assertGreater(self.needed(70, (18, slow)), 4)

    def test_a_single_strong_vm_does_not_decide(self):
        one = self.needed(70, (1, STRONG), (17, WEAK))
        self.assertEqual(self.needed(70, (18, WEAK)), one)

    def test_no_vm_is_known(self):
        self.assertEqual(2, ownership.shards_needed(300, []))

    def test_size_of_letter_1(self):
        # 54 VMs of one processor: each carries what it can.
        shards = self.needed(4200, (54, USUAL))
        self.assertLessEqual(4200 / shards, ownership.worker_capacity(USUAL))


class ClaimDelayTest(testtools.TestCase):
    def delays(self, vms, owned, shard="s0"):
        return {
            name: ownership.claim_delay_s(name, shard, vms, owned)
            for name in vms
        }

    def test_few_of_many_vms_claim_at_once(self):
        # All VMs see the loss of an owner at the same moment.
        vms = named((97, USUAL))
        counts = collections.Counter(self.delays(vms, {}).values())
        self.assertEqual(1, counts[0.0])
        self.assertEqual(1, counts[ownership.CLAIM_STEP_S])

    def test_first_candidates_differ_between_shards(self):
        vms = named((18, WEAK))
        first = {
            min(delays, key=delays.get)
            for delays in (
                self.delays(vms, {}, f"s{number}") for number in range(10)
            )
        }
        self.assertGreater(len(first), 4)

    def test_vm_without_shards_goes_first(self):
        vms = named((3, USUAL))
        delays = self.delays(vms, {"n0": 1, "n1": 2})
        self.assertEqual(["n2", "n0", "n1"], sorted(delays, key=delays.get))

    def test_strong_vm_carries_more(self):
        vms = named((1, STRONG), (3, WEAK))
        delays = self.delays(vms, {"n0": 3})
        self.assertEqual(0.0, delays["n0"])


class ShardToReleaseTest(testtools.TestCase):
    def test_first_vm_up_gives_the_smallest_shard_away(self):
        # It claimed two shards before the others were up.
        vms = named((3, USUAL))
        released = ownership.shard_to_release(
            "n0", {"s0": 61, "s1": 59}, vms, {"n0": 2}
        )
        self.assertEqual("s1", released)

    def test_vm_keeps_what_it_can_carry(self):
        vms = named((3, STRONG))
        shards = {"s0": 61, "s1": 59}
        self.assertIsNone(
            ownership.shard_to_release("n0", shards, vms, {"n0": 2})
        )

    def test_vm_keeps_its_shards_if_all_others_own_some(self):
        vms = named((2, USUAL))
        shards = {"s0": 61, "s1": 59}
        owned = {"n0": 2, "n1": 1}
        self.assertIsNone(ownership.shard_to_release("n0", shards, vms, owned))

    def test_weak_vm_hands_its_only_shard_to_a_strong_one(self):
        vms = named((3, WEAK), (1, STRONG))
        self.assertEqual(
            "s0", ownership.shard_to_release("n0", {"s0": 89}, vms, {"n0": 1})
        )
        weak_only = named((4, WEAK))
        self.assertIsNone(
            ownership.shard_to_release("n0", {"s0": 89}, weak_only, {"n0": 1})
        )

    def test_owners_are_counted_by_vm(self):
        counts = ownership.count_owned(["n0/a", "n1/b", "n0/a", ""])
        self.assertEqual({"n0": 2, "n1": 1}, counts)


class CutOffTest(testtools.TestCase):
    WORKERS = 33
    # Share of polls without a response on days of late orders.
    LOST = 0.4
    ROUNDS = 2000

    def test_lost_polls_do_not_cut_a_vm_off(self):
        rng = random.Random(4104)
        polls = [0] * self.WORKERS
        for _ in range(self.ROUNDS):
            for number in range(self.WORKERS):
                lost = rng.random() < self.LOST
                polls[number] = polls[number] + 1 if lost else 0
            self.assertFalse(ownership.is_cut_off(polls))

    def test_vm_that_reaches_few_workers_is_cut_off(self):
        reached = int(0.4 * self.WORKERS)
        for unanswered, cut_off in ((1, False), (2, True)):
            polls = [0] * reached + [unanswered] * (self.WORKERS - reached)
            self.assertEqual(cut_off, ownership.is_cut_off(polls))

    def test_vm_without_workers_is_not_cut_off(self):
        self.assertFalse(ownership.is_cut_off([]))
