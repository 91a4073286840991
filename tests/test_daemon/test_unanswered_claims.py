"""Tests of claims of shards whose calls to the table got no response."""

from unittest import mock

import testtools

from tests.test_daemon import test_presence_machine


class UnansweredClaimTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = test_presence_machine.PresenceMachine()
        self.addCleanup(self.fleet.teardown)
        self.fleet.start_all()
        for node in self.fleet.nodes.values():
            node.members.alive_in_own_centre = lambda: [
                mock.Mock(vm=name) for name in test_presence_machine.NAMES
            ]
        self.one = self.fleet.nodes["vm-1"]
        self.two = self.fleet.nodes["vm-2"]

    def claim(self, node):
        """Claims the shard, if the VM may, as one that doesn't run it."""
        for _ in range(2):
            wanted = node.presence.claimable({"s"})
            self.fleet.pass_time(1.0)
        return node.presence.claim("s") if wanted else None

    def test_shard_is_claimed_again_after_claim_without_response(self):
        self.one.client.lose_answer = True
        self.assertIsNone(self.claim(self.one))
        self.one.client.lose_answer = False
        self.fleet.healthy_round()
        self.assertIsNone(self.claim(self.two))
        epoch, _ = self.claim(self.one)
        self.assertEqual(2, epoch)

    def test_shard_claimed_first_by_another_vm_is_left_alone(self):
        self.one.client.down = True
        self.assertIsNone(self.claim(self.one))
        self.assertIsNotNone(self.claim(self.two))
        self.one.client.down = False
        self.fleet.healthy_round()
        self.assertIsNone(self.claim(self.one))
