"""Tests of the facts that end a run."""

import testtools

from wisterialug_core.workflow import run_proofs


class AbsenceTest(testtools.TestCase):
    """A report, asked for at 10 s, does not list a run."""

    ASKED_S = 10.0
    CLOCK_MS = 5000

    def absence(self, **fields):
        orders = run_proofs.StartOrders(**fields)
        return orders.note_absence(self.ASKED_S, self.CLOCK_MS)

    def test_run_without_any_response_may_still_begin(self):
        self.assertIsNone(self.absence(open=2))

    def test_run_that_was_known_before_has_ended(self):
        proof = self.absence(open=1, confirmed_s=9.9)
        self.assertIs(run_proofs.Proof.NO_LONGER_LISTED, proof)

    def test_run_may_have_begun_after_the_report_was_asked_for(self):
        self.assertIsNone(self.absence(confirmed_s=10.0))

    def test_acknowledged_stop_rules_out_open_orders(self):
        proof = self.absence(open=2, stop_acked_s=9.9)
        self.assertIs(run_proofs.Proof.STOP_ACKNOWLEDGED, proof)

    def test_end_of_a_stopped_run_may_be_in_the_next_report(self):
        self.assertIsNone(self.absence(open=1, stop_acked_s=10.0))

    def test_orders_of_an_earlier_owner_are_rejected(self):
        proof = self.absence(earlier_epoch=True)
        self.assertIs(run_proofs.Proof.EARLIER_EPOCH, proof)

    def test_worker_rejects_orders_after_their_deadline(self):
        proof = self.absence(open=1, deadline_ms=4999)
        self.assertIs(run_proofs.Proof.DEADLINE_PASSED, proof)
        self.assertIsNone(self.absence(open=1, deadline_ms=5000))

    def test_latest_deadline_counts(self):
        orders = run_proofs.StartOrders()
        orders.send(6000)
        orders.send(4000)
        self.assertEqual(2, orders.open)
        self.assertIsNone(orders.note_absence(self.ASKED_S, self.CLOCK_MS))

    def test_first_sign_of_the_run_counts(self):
        orders = run_proofs.StartOrders()
        orders.confirm(9.0)
        orders.confirm(11.0)
        self.assertEqual(9.0, orders.confirmed_s)


class NextIncarnationTest(testtools.TestCase):
    def orders(self):
        """Returns orders with an open start, moved to the next incarnation."""
        orders = run_proofs.StartOrders()
        orders.send(deadline_ms=5000, expires_s=10.0)
        return orders.for_next_incarnation()

    def test_open_order_may_begin_on_the_incarnation_after_the_next(self):
        orders = self.orders()
        self.assertIsNone(orders.note_absence(9.0, 100))
        expected = run_proofs.Proof.EARLIER_EPOCH
        self.assertIs(expected, orders.note_absence(10.5, 1600))

    def test_incarnation_without_the_run_did_not_crash_under_it(self):
        orders = self.orders()
        self.assertTrue(orders.may_have_begun)
        orders.note_absence(9.0, 100)
        self.assertFalse(orders.may_have_begun)
        self.assertTrue(orders.for_next_incarnation().may_have_begun)

    def test_answered_orders_end_with_the_next_report(self):
        orders = run_proofs.StartOrders(deadline_ms=5000, expires_s=10.0)
        moved = orders.for_next_incarnation()
        expected = run_proofs.Proof.EARLIER_EPOCH
        self.assertIs(expected, moved.note_absence(9.0, 100))


class AnsweredStartsTest(testtools.TestCase):
    def answered(self, **fields):
        orders = run_proofs.StartOrders(**fields)
        return orders.for_next_incarnation().answered

    def test_unanswered_start_is_taken_for_one_that_can_not_arrive(self):
        self.assertFalse(self.answered(open=1, deadline_ms=5))
        self.assertFalse(self.answered(open=1, deadline_ms=5, confirmed_s=1.0))
        # Rejected, or not known to have begun.
        self.assertFalse(self.answered(deadline_ms=5))
        # What an earlier owner has sent is not known.
        self.assertFalse(self.answered(earlier_epoch=True, confirmed_s=1.0))
        self.assertTrue(self.answered(deadline_ms=5, confirmed_s=1.0))

    def test_worker_may_restart_once_more(self):
        orders = run_proofs.StartOrders(deadline_ms=5, confirmed_s=1.0)
        twice = orders.for_next_incarnation().for_next_incarnation()
        self.assertTrue(twice.answered)
