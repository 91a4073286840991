"""Tests of what owners pass on about leases that they wait for."""

import random

import testtools

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import awaited_workers, leases, model


def row(worker, left_ms):
    return workflow_pb2.WorkerLeases(worker=worker, left_ms=left_ms)


class EarlierLeasesTest(testtools.TestCase):
    def test_listed_worker_is_waited_for_no_longer_than_is_left(self):
        earlier = awaited_workers.EarlierLeases(
            10.0, workflow_pb2.Ownership(awaited=[row("w1", 1500)])
        )
        self.assertEqual(11.5, earlier.expiry_s(model.Incarnation("w1")))
        self.assertEqual(
            leases.earlier_expiry_s(10.0),
            earlier.expiry_s(model.Incarnation("w2")),
        )

    def test_wait_does_not_begin_anew_with_each_owner(self):
        # Owners change each half a second, each sees the row late.
        rng = random.Random(1)
        now_s = 0.0
        claim = workflow_pb2.Ownership(
            awaited=[row("w1", 4000)], restarted=[row("w2", 9000)]
        )
        for _ in range(7):
            seen_s = now_s + rng.uniform(0, 0.05)
            earlier = awaited_workers.EarlierLeases(seen_s, claim)
            now_s = seen_s + 0.5
            claim = workflow_pb2.Ownership()
            earlier.add_to(claim, now_s)
        left_s = claim.awaited[0].left_ms / 1000
        self.assertLess(now_s + left_s, 4.5)
        self.assertGreater(now_s + left_s, 4.0)
        left_s = claim.restarted[0].left_ms / 1000
        self.assertLess(now_s + left_s, 9.5)
        self.assertGreater(now_s + left_s, 9.0)

    def test_restarted_worker_is_waited_for_longer(self):
        claim = workflow_pb2.Ownership(restarted=[row("w1", 16_000)])
        earlier = awaited_workers.EarlierLeases(10.0, claim)
        self.assertEqual(26.0, earlier.expiry_s(model.Incarnation("w1")))


class WithheldTest(testtools.TestCase):
    def withheld(self, *names):
        return awaited_workers.Withheld(self.renewal(*names))

    def renewal(self, *names):
        rows = [row(name, 1000) for name in names]
        return workflow_pb2.Ownership(awaited=rows)

    def test_nothing_is_granted_until_a_renewal_without_it_is_recorded(self):
        withheld = self.withheld("w1")
        self.assertIn("w1", withheld)
        withheld.note_sent(self.renewal("w2"))
        self.assertIn("w1", withheld)
        self.assertIn("w2", withheld)
        # That renewal has no answer; the next one is recorded.
        withheld.note_sent(self.renewal())
        self.assertIn("w2", withheld)
        withheld.note_recorded(self.renewal())
        self.assertNotIn("w1", withheld)
        self.assertNotIn("w2", withheld)
