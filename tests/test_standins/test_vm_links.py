"""Tests of the links of single VMs to shared stand-ins."""

import random

import eventlet
import testtools

from wisterialug_daemon.workflow import (
    clock,
    errors,
    row_store,
    worker_calls,
)
from wisterialug_standins import (
    emulated_workers,
    frozen_greenlets,
    memory_store,
    vm_links,
)

LEASE_MS = 5000
TIMEOUT_S = 0.3
REF = row_store.RowRef("table", "part", "key")
Cut = vm_links.Cut


class LinkTest(testtools.TestCase):
    """Provides a VM with links to a store and a worker."""

    def setUp(self):
        super().setUp()
        rng = random.Random(1)
        self.fleet = emulated_workers.EmulatedFleet(rng, lambda _: 9.0)
        self.addCleanup(self.fleet.close)
        self.report = self.fleet.add("w0").report
        self.shared_store = memory_store.MemoryStore(rng)
        self.link = vm_links.VmLink(rng)
        self.workers = vm_links.LinkedWorkers(self.fleet, self.link)
        self.store = vm_links.LinkedStore(self.shared_store, self.link)

    def start(self, epoch=1):
        deadline_ms = int(clock.now_s() * 1000) + LEASE_MS
        order = worker_calls.StartOrder(
            "j.0.0.0", 1, "x", "", deadline_ms, epoch
        )
        return self.workers.start(self.report, order, TIMEOUT_S)

    def write(self):
        return self.store.commit(
            row_store.Transaction(writes=((REF, b"1"),)), TIMEOUT_S
        )


class FreezeTest(LinkTest):
    """Calls of a frozen VM."""

    FREEZE_S = 0.5

    def test_order_arrives_after_the_thaw(self):
        begun_s = clock.now_s()
        self.link.freeze(self.FREEZE_S)
        reply = self.start().ok_value
        began_s = self.fleet.history[0].began_s
        self.assertGreaterEqual(began_s - begun_s, self.FREEZE_S)
        self.assertLess(reply.sent_s - begun_s, self.FREEZE_S)
        self.assertGreaterEqual(reply.received_s, began_s)

    def test_order_after_the_thaw_is_fenced_by_a_new_owner(self):
        self.link.freeze(self.FREEZE_S)
        order = eventlet.spawn(self.start)
        eventlet.sleep(self.FREEZE_S / 2)
        self.fleet.poll(self.report, 2, 0, None, 0, TIMEOUT_S)
        self.assertIs(errors.Rejection.FENCED, order.wait().err_value.reason)
        self.assertEqual([], self.fleet.history)

    def test_freeze_begins_before_an_order_is_sent(self):
        self.link.freeze_at(vm_links.Boundary.BEFORE_START, self.FREEZE_S)
        begun_s = clock.now_s()
        self.assertTrue(self.write().is_ok())
        self.start()
        began_s = self.fleet.history[0].began_s
        self.assertGreaterEqual(began_s - begun_s, self.FREEZE_S)

    def test_freeze_begins_before_a_reply_is_received(self):
        self.link.freeze_at(vm_links.Boundary.AFTER_START, TIMEOUT_S / 2)
        begun_s = clock.now_s()
        reply = self.start().ok_value
        began_s = self.fleet.history[0].began_s
        self.assertLess(began_s - begun_s, TIMEOUT_S / 4)
        self.assertGreaterEqual(reply.received_s - begun_s, TIMEOUT_S / 2)

    def test_reply_under_way_is_received_after_the_thaw(self):
        write = eventlet.spawn(self.write)
        eventlet.sleep(0)
        begun_s = clock.now_s()
        self.link.freeze(TIMEOUT_S / 2)
        eventlet.sleep(TIMEOUT_S / 4)
        self.assertEqual(b"1", self.shared_store.value(REF))
        self.assertTrue(write.wait().is_ok())
        self.assertGreaterEqual(clock.now_s() - begun_s, TIMEOUT_S / 2)

    def test_reply_may_be_found_too_late_after_the_thaw(self):
        outcomes = set()
        for _ in range(10):
            write = eventlet.spawn(self.write)
            eventlet.sleep(0)
            self.link.freeze(TIMEOUT_S * 1.5)
            outcomes.add(write.wait().is_ok())
        self.assertEqual({True, False}, outcomes)


class CutTest(LinkTest):
    """Calls over a link that is cut in one or both directions."""

    def check_order(self, cut, runs):
        self.link.worker_cuts["w0"] = cut
        outcome = self.start()
        self.assertIsInstance(outcome.err_value, errors.NoAnswerError)
        self.assertEqual(runs, len(self.fleet.history))

    def test_order_takes_effect_though_its_reply_is_lost(self):
        self.check_order(Cut.REPLIES, 1)

    def test_lost_order_has_no_effect(self):
        self.check_order(Cut.REQUESTS, 0)
        self.check_order(Cut.BOTH, 0)

    def check_write(self, cut, value):
        self.link.store_cut = cut
        outcome = self.write()
        self.assertIsInstance(outcome.err_value, errors.StoreUnknownError)
        self.assertEqual(value, self.shared_store.value(REF))

    def test_change_takes_effect_though_its_reply_is_lost(self):
        self.check_write(Cut.REPLIES, b"1")

    def test_lost_change_has_no_effect(self):
        self.check_write(Cut.REQUESTS, None)

    def test_reply_is_lost_if_the_link_is_cut_meanwhile(self):
        write = eventlet.spawn(self.write)
        eventlet.sleep(0)
        self.check_write(Cut.REPLIES, b"1")
        self.assertTrue(write.wait().is_err())

    def test_cut_of_one_vm_leaves_the_others(self):
        self.link.store_cut = Cut.BOTH
        other = vm_links.LinkedStore(
            self.shared_store, vm_links.VmLink(random.Random(1))
        )
        self.assertTrue(other.scan("t", "", timeout_s=TIMEOUT_S).is_ok())


class FrozenGreenletsTest(LinkTest):
    """A VM whose greenlets are held back as well."""

    FREEZE_S = 0.4

    def setUp(self):
        super().setUp()
        self.frozen = frozen_greenlets.FrozenGreenlets()
        self.addCleanup(self.frozen.close)
        self.link.spawn = self.frozen.spawn_apart
        self.times_s = []

    def tick(self):
        while True:
            eventlet.sleep(0.01)
            self.times_s.append(clock.now_s())

    def spawn_ticks(self):
        eventlet.spawn(self.tick)
        eventlet.sleep(9)

    def test_timers_wait_for_the_thaw(self):
        with self.frozen.begin(self.link):
            thread = eventlet.spawn(self.spawn_ticks)
        eventlet.sleep(0.1)
        begun_s = clock.now_s()
        self.link.freeze(self.FREEZE_S)
        eventlet.sleep(self.FREEZE_S + 0.1)
        during = [
            t for t in self.times_s if begun_s < t < begun_s + self.FREEZE_S
        ]
        after = [t for t in self.times_s if t >= begun_s + self.FREEZE_S]
        self.assertEqual([], during)
        self.assertTrue(after)
        thread.kill()

    def test_event_beats_a_timeout_that_comes_later_in_the_freeze(self):
        sent = eventlet.event.Event()
        results = []

        def wait():
            with eventlet.Timeout(0.2, False):
                results.append(sent.wait())
            eventlet.sleep(0.2)
            results.append("went on")

        with self.frozen.begin(self.link):
            eventlet.spawn(wait)
        eventlet.sleep(0.05)
        self.link.freeze(self.FREEZE_S)
        sent.send("event")
        eventlet.sleep(self.FREEZE_S + 0.3)
        self.assertEqual(["event", "went on"], results)

    def test_call_that_has_left_is_carried_out_in_the_freeze(self):
        outcomes = []
        with self.frozen.begin(self.link):
            eventlet.spawn(lambda: outcomes.append(self.start()))
        eventlet.sleep(0)
        self.link.freeze(self.FREEZE_S)
        eventlet.sleep(self.FREEZE_S / 2)
        self.assertEqual((1, 0), (len(self.fleet.history), len(outcomes)))
        eventlet.sleep(self.FREEZE_S)
        self.assertEqual(1, len(outcomes))
