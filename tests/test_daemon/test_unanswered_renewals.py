"""Tests of renewals of a session whose calls got no response."""

from unittest import mock

import result
import testtools

from tests.test_daemon import test_presence_machine
from wisterialug_daemon import errors


class UnansweredRenewalTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = test_presence_machine.PresenceMachine()
        self.addCleanup(self.fleet.teardown)
        self.fleet.start_all()
        self.node = self.fleet.nodes["vm-1"]

    def renew(self):
        self.node.presence.renew()
        self.fleet.pass_time(0.5)

    def test_session_goes_on_after_renewal_without_response(self):
        session = self.node.presence.session
        self.node.client.lose_answer = True
        self.renew()
        self.node.client.lose_answer = False
        self.renew()
        self.renew()
        self.assertFalse(session.ended)
        self.assertTrue(session.valid(self.fleet.now))
        self.fleet.pass_time(test_presence_machine.LEASE_S)
        self.assertFalse(session.valid(self.fleet.now))

    def test_session_that_another_vm_ended_is_over(self):
        session = self.node.presence.session
        for _ in range(8):
            for vm in ("vm-2", "vm-3"):
                self.fleet.renew(vm)
                self.fleet.watch(vm)
            self.fleet.heartbeat("vm-2", "vm-3", 0.0)
            self.fleet.heartbeat("vm-3", "vm-2", 0.0)
            self.fleet.pass_time(1.0)
        self.renew()
        self.assertTrue(session.ended)

    def test_session_is_not_renewed_while_its_row_is_unreadable(self):
        session = self.node.presence.session
        self.node.client.lose_answer = True
        self.renew()
        self.node.client.lose_answer = False
        self.node.client.read_one = mock.Mock(
            return_value=result.Err(errors.TableUnansweredError("no response"))
        )
        self.renew()
        self.assertFalse(session.ended)
        self.fleet.pass_time(test_presence_machine.LEASE_S)
        self.assertFalse(session.valid(self.fleet.now))
