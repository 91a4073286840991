"""Tests of the choice of relays."""

import collections
import random

import testtools

from wisterialug_core.workflow import relay_choice

THIN_KBPS = 5000
WIDE_KBPS = 100_000
PEERS = [
    relay_choice.Peer(f"thin{number}", THIN_KBPS) for number in range(34)
] + [relay_choice.Peer(f"wide{number}", WIDE_KBPS) for number in range(8)]


class RelayChoiceTest(testtools.TestCase):
    def choice(self, seed=1):
        return relay_choice.RelayChoice(random.Random(seed))

    def test_wide_links_are_tried_first(self):
        for seed in range(20):
            chosen = self.choice(seed).candidates(PEERS, 0.0, 3)
            self.assertTrue(all(c.startswith("wide") for c in chosen), chosen)

    def test_vms_spread_over_the_wide_links(self):
        first = collections.Counter(
            self.choice(seed).candidates(PEERS, 0.0, 1)[0] for seed in range(80)
        )
        self.assertEqual(8, len(first))
        self.assertLess(max(first.values()), 25)

    def test_failed_relays_come_last_for_a_while(self):
        choice = self.choice()
        for peer in PEERS:
            if peer.link_kbps == WIDE_KBPS:
                choice.note(peer.address, 0.0, responded=False)
        chosen = choice.candidates(PEERS, 1.0, 3)
        self.assertTrue(all(c.startswith("thin") for c in chosen), chosen)
        later_s = relay_choice.FAILED_S + 0.1
        chosen = choice.candidates(PEERS, later_s, 3)
        self.assertTrue(all(c.startswith("wide") for c in chosen), chosen)

    def test_relay_that_responded_is_tried_first_among_its_like(self):
        choice = self.choice()
        latest = choice.candidates(PEERS, 0.0, 3)[2]
        choice.note(latest, 0.0, responded=True)
        self.assertEqual(latest, choice.candidates(PEERS, 0.1, 1)[0])
        choice.note("thin1", 0.2, responded=True)
        chosen = choice.candidates(PEERS, 0.3, 1)[0]
        self.assertTrue(chosen.startswith("wide"), chosen)

    def test_all_links_that_are_not_known_are_alike(self):
        peers = [relay_choice.Peer(f"vm{n}", 0) for n in range(5)]
        self.assertEqual(3, len(self.choice().candidates(peers, 0.0, 3)))
        self.assertEqual([], self.choice().candidates([], 0.0, 3))

    def test_all_relays_that_are_tried_stand_in_one_data_centre(self):
        peers = [
            relay_choice.Peer(f"{'near' if nearby else 'far'}{n}", 0, nearby)
            for nearby, count in ((True, 2), (False, 6))
            for n in range(count)
        ]
        for seed in range(20):
            chosen = self.choice(seed).candidates(peers, 0.0, 2)
            self.assertEqual(
                1, sum(address.startswith("near") for address in chosen), chosen
            )
