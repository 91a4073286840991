"""Tests of changes to a shard's rows under one epoch."""

import random

import result
import testtools

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import awaited_workers
from wisterialug_daemon.workflow import (
    clock,
    records,
    row_store,
    shard_store,
)
from wisterialug_standins import memory_store

SHARD = "s0"


class DifferingRowsStore(memory_store.MemoryStore):
    """Lists only the rows that do not have the expected version."""

    def commit(self, transaction, timeout_s):
        outcome = super().commit(transaction, timeout_s)
        if outcome.is_ok() or not isinstance(
            outcome.err_value, row_store.ConflictError
        ):
            return outcome
        expected = dict(transaction.conditions)
        rows = [
            row
            for row in outcome.err_value.rows
            if row.version != expected[row.ref]
        ]
        return result.Err(row_store.ConflictError(tuple(rows)))


class LostReplyTest(testtools.TestCase):
    """A change is made without a reply; it is sent again seconds later."""

    store_class = memory_store.MemoryStore

    def setUp(self):
        super().setUp()
        self.store = self.store_class(random.Random(1))
        version = self.claim(0, 1)
        self.rows = shard_store.ShardStore(
            self.store,
            SHARD,
            self.ownership(1),
            version,
            clock.now_s(),
            awaited_workers.EarlierLeases(
                clock.now_s(), workflow_pb2.Ownership()
            ),
        )

    def ownership(self, epoch):
        return workflow_pb2.Ownership(owner=f"vm{epoch}", epoch=epoch)

    def claim(self, version, epoch):
        """Writes the owner's row; returns its version."""
        ref = records.owner(SHARD)
        value = self.ownership(epoch).SerializeToString()
        outcome = self.store.commit(
            row_store.Transaction(((ref, version),), ((ref, value),)), 1.0
        )
        return outcome.unwrap()

    def change(self, renewal, claimed):
        """Makes a change; before it is repeated, the shard may be claimed."""
        attempts = []

        def before_attempt():
            attempts.append(None)
            self.store.lost_reply_rate = 0.0
            if len(attempts) == 1:
                self.store.lost_reply_rate = 1.0
            elif claimed:
                ref = records.owner(SHARD)
                rows = row_store.scan_row(self.store, ref, 1.0).unwrap().rows
                self.claim(rows[0].version, 2)
            return len(attempts) <= 2

        return self.rows.change([], [], renewal, before_attempt)

    def check_claimed(self, renewal):
        before_s = self.rows.renewed_s
        outcome = self.change(renewal, claimed=True)
        self.assertIsInstance(outcome.err_value, shard_store.OwnershipLostError)
        self.assertEqual(before_s, self.rows.renewed_s)

    def test_replaced_owner_takes_its_earlier_change_for_its_ownership(self):
        self.check_claimed(None)

    def test_replaced_owner_takes_its_earlier_renewal_for_its_ownership(self):
        self.check_claimed(self.ownership(1))

    def test_renewal_counts_from_after_it_was_made(self):
        # A candidate may have seen the row before the second attempt.
        before_s = clock.now_s()
        self.assertTrue(self.change(self.ownership(1), claimed=False).is_ok())
        self.assertLess(
            self.rows.renewed_s, before_s + shard_store.FIRST_RETRY_S
        )

    def test_change_that_was_made_is_found(self):
        for renewal in (None, self.ownership(1), None):
            self.assertTrue(self.change(renewal, claimed=False).is_ok())


class LostReplyOfTerseStoreTest(LostReplyTest):
    """The same with a store that lists only the rows that differ."""

    store_class = DifferingRowsStore
