"""Tests of an owner's view of a worker's clock and lease."""

import testtools

from wisterialug_core.workflow import leases


class LeaseTest(testtools.TestCase):
    def test_nothing_is_granted_before_the_first_answer(self):
        self.assertIsNone(leases.LeaseView().grant(10.0, 4000))

    def test_grant_counts_from_the_send_time(self):
        lease = leases.LeaseView()
        lease.record_clock(5000, sent_s=10.0, received_s=10.4)
        self.assertEqual(5000 + 1000 + 4000, lease.grant(11.0, 4000))

    def test_expiry_allows_for_a_slow_clock(self):
        lease = leases.LeaseView()
        lease.record_clock(5000, sent_s=10.0, received_s=10.1)
        lease.grant(10.0, 4900)
        self.assertAlmostEqual(10.1 + 5.0, lease.latest_expiry_s())

    def test_older_answers_do_not_turn_the_clock_back(self):
        lease = leases.LeaseView()
        lease.record_clock(5000, 10.0, 10.1)
        lease.record_clock(4000, 9.0, 10.2)
        self.assertEqual(5000, lease.clock_ms)

    def test_shorter_grant_does_not_lower_the_deadline(self):
        lease = leases.LeaseView()
        lease.record_clock(0, 0.0, 0.0)
        lease.grant(0.0, 4000)
        lease.grant(0.0, 1000)
        self.assertEqual(4000, lease.deadline_ms)
