"""Tests of the emulated workers."""

import random

import eventlet
import testtools

from wisterialug_core.workflow import model
from wisterialug_daemon.workflow import clock, errors, worker_calls
from wisterialug_standins import emulated_workers, order_faults

LEASE_MS = 5000
TIMEOUT_S = 1.0


class GangTest(testtools.TestCase):
    """Gangs on two workers, as the platform runs them."""

    duration_s = 0.2

    def setUp(self):
        super().setUp()
        self.fleet = emulated_workers.EmulatedFleet(
            random.Random(1), lambda _: self.duration_s
        )
        self.addCleanup(self.fleet.close)
        self.fleet.gang_size = lambda _: 2
        for name in ("w0", "w1"):
            self.fleet.add(name)

    def start(self, worker, task):
        deadline_ms = int(clock.now_s() * 1000) + LEASE_MS
        order = worker_calls.StartOrder(task, 1, "x", "", deadline_ms, 1)
        report = self.fleet.workers[worker].report
        self.assertTrue(self.fleet.start(report, order, TIMEOUT_S).is_ok())

    def test_members_end_together_after_all_have_begun(self):
        self.start("w0", "j.0.0.0")
        eventlet.sleep(2 * self.duration_s)
        self.assertIsNone(self.fleet.history[0].end)
        self.start("w1", "j.0.0.1")
        eventlet.sleep(2 * self.duration_s)
        first, second = self.fleet.history
        self.assertIs(model.RunEnd.DONE, first.end)
        self.assertIs(model.RunEnd.DONE, second.end)
        self.assertLess(abs(first.ended_s - second.ended_s), 0.01)

    def test_end_of_one_member_breaks_the_others(self):
        self.start("w0", "j.0.0.0")
        self.start("w1", "j.0.0.1")
        report = self.fleet.workers["w0"].report
        self.fleet.stop(report, "j.0.0.0", 1, 1, TIMEOUT_S)
        ends = [record.end for record in self.fleet.history]
        self.assertEqual([model.RunEnd.STOPPED, model.RunEnd.BROKEN], ends)


class CrashTest(testtools.TestCase):
    """Orders that are on their way while their worker crashes."""

    def test_late_order_to_a_crashed_worker_begins_no_run(self):
        fleet = emulated_workers.EmulatedFleet(random.Random(1), lambda _: 1.0)
        self.addCleanup(fleet.close)
        worker = fleet.add("w0")
        worker.fault_rates = {order_faults.OrderFault.LATE: 1.0}
        deadline_ms = int(clock.now_s() * 1000) + LEASE_MS
        order = worker_calls.StartOrder("j.0.0.0", 1, "x", "", deadline_ms, 1)
        fleet.start(worker.report, order, 0.01)
        fleet.crash("w0")
        eventlet.sleep(emulated_workers.ORDER_DELAY_S[1] + 0.1)
        self.assertEqual([], fleet.history)


class AcknowledgementTest(testtools.TestCase):
    """An end counts as noted if it is acknowledged before the lease lapses."""

    def run_and_acknowledge(self, lease_ms, after_s):
        fleet = emulated_workers.EmulatedFleet(random.Random(1), lambda _: 0.1)
        self.addCleanup(fleet.close)
        report = fleet.add("w0").report
        deadline_ms = int(clock.now_s() * 1000) + lease_ms
        order = worker_calls.StartOrder("j.0.0.0", 1, "x", "", deadline_ms, 1)
        self.assertTrue(fleet.start(report, order, TIMEOUT_S).is_ok())
        eventlet.sleep(after_s)
        self.assertIs(model.RunEnd.DONE, fleet.history[0].end)
        fleet.poll(report, 1, 1, None, 0, TIMEOUT_S)
        return fleet.history[0].acked

    def test_end_is_noted_under_the_lease(self):
        self.assertTrue(self.run_and_acknowledge(LEASE_MS, 0.3))

    def test_end_is_not_noted_after_the_lease(self):
        self.assertFalse(self.run_and_acknowledge(200, 0.4))


class FaultTest(testtools.TestCase):
    """Faults of single starts."""

    def start(self, fault):
        fleet = emulated_workers.EmulatedFleet(random.Random(1), lambda _: 9.0)
        self.addCleanup(fleet.close)
        fleet.order_delay_s = (0.1, 0.1)
        fleet.next_start_faults.append(fault)
        report = fleet.add("w0").report
        deadline_ms = int(clock.now_s() * 1000) + LEASE_MS
        order = worker_calls.StartOrder("j.0.0.0", 1, "x", "", deadline_ms, 1)
        outcome = fleet.start(report, order, 0.01)
        at_once = len(fleet.history)
        eventlet.sleep(0.2)
        return outcome, at_once, len(fleet.history)

    def check_error(self, error, runs, fault):
        outcome, *counts = self.start(fault)
        self.assertIsInstance(outcome.err_value, error)
        self.assertEqual(runs, counts)

    def test_orders_without_a_reply(self):
        fault = order_faults.OrderFault
        self.check_error(errors.NoAnswerError, [0, 1], fault.LATE)
        self.check_error(errors.NoAnswerError, [0, 0], fault.LOST)
        self.check_error(errors.NoAnswerError, [1, 1], fault.UNANSWERED)

    def test_rejected_orders(self):
        fault = order_faults.OrderFault
        self.check_error(errors.UnwellError, [0, 0], fault.REFUSED)
        self.check_error(errors.RejectedError, [0, 0], fault.NO_ROOM)

    def test_repeated_order_begins_one_run(self):
        outcome, *counts = self.start(order_faults.OrderFault.REPEATED)
        self.assertTrue(outcome.is_ok())
        self.assertEqual([1, 1], counts)
