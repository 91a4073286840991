"""Tests of the assignment of workers to shards."""

import random

import eventlet
import testtools

from tests.test_core.test_workflow import test_layouts
from tests.test_daemon import workflow_base
from wisterialug_core.workflow import ownership
from wisterialug_daemon.workflow import layout_keeper, records, row_store
from wisterialug_standins import memory_store


class LayoutKeeperTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = memory_store.MemoryStore(random.Random(1))
        self.vms = workflow_base.members_of("n0", self.store, processors=4)
        self.keeper = layout_keeper.LayoutKeeper(self.store, self.vms)
        self.reports = test_layouts.fleet(4 * ownership.WORKERS_PER_SHARD)

    def extend_settled(self, keeper, reports):
        keeper.extend(reports)
        eventlet.sleep(layout_keeper.SETTLE_S + 0.1)
        return keeper.extend(reports)

    def test_gradually_registering_fleet_is_sharded_by_its_full_size(self):
        shuffled = list(self.reports)
        random.Random(2).shuffle(shuffled)
        for count in range(80, len(shuffled) + 1, 80):
            self.assertFalse(self.keeper.extend(shuffled[:count]))
            eventlet.sleep(0.15)
        eventlet.sleep(layout_keeper.SETTLE_S)
        self.assertTrue(self.keeper.extend(shuffled))
        self.assertEqual(4, self.keeper.layout.shards)

    def test_steadily_growing_list_is_sharded_eventually(self):
        count = 10
        placed = False
        pause_s = layout_keeper.SETTLE_S / 2
        for _ in range(int(layout_keeper.MAX_SETTLE_S / pause_s) + 2):
            placed = placed or self.keeper.extend(self.reports[:count])
            count += 10
            eventlet.sleep(pause_s)
        self.assertTrue(placed)

    def test_concurrent_keepers_converge(self):
        other = layout_keeper.LayoutKeeper(self.store, self.vms)
        other.extend(self.reports[:100])
        self.assertTrue(self.extend_settled(self.keeper, self.reports))
        # The stale keeper must not overwrite the newer layout.
        self.assertFalse(other.extend(self.reports[:100]))
        row = self.row()
        self.assertTrue(other.apply(row))
        for worker in self.reports:
            self.assertEqual(
                self.keeper.layout.shard_of(worker),
                other.layout.shard_of(worker),
            )

    def test_unreadable_and_old_rows_are_ignored(self):
        self.extend_settled(self.keeper, self.reports)
        row = self.row()
        before = self.keeper.layout
        self.assertFalse(self.keeper.apply(row))
        broken = row._replace(version=row.version + 1, value=b"\xff")
        self.assertFalse(self.keeper.apply(broken))
        self.assertIs(before, self.keeper.layout)

    def break_row(self):
        """Overwrites the row in the store; returns what is read from there."""
        ref = records.layout()
        self.store.commit(
            row_store.Transaction(
                conditions=((ref, self.row().version),),
                writes=((ref, b"\xff"),),
            ),
            1.0,
        )
        return self.row()

    def test_owner_that_knows_the_layout_replaces_an_unreadable_row(self):
        self.extend_settled(self.keeper, self.reports)
        before = self.keeper.layout.message
        broken = self.break_row()
        self.assertFalse(self.keeper.rewrite())
        self.keeper.apply(broken)
        self.assertTrue(self.keeper.rewrite())
        late = layout_keeper.LayoutKeeper(self.store, self.vms)
        self.assertTrue(late.apply(self.row()))
        self.assertEqual(before, late.layout.message)
        self.assertFalse(self.keeper.rewrite())

    def test_unreadable_row_that_nobody_knows_is_drawn_up_anew(self):
        self.extend_settled(self.keeper, self.reports)
        late = layout_keeper.LayoutKeeper(self.store, self.vms)
        late.apply(self.break_row())
        self.assertFalse(late.rewrite())
        self.assertTrue(self.extend_settled(late, self.reports))
        self.assertFalse(late.damaged)
        for worker in self.reports:
            self.assertIsNotNone(late.layout.shard_of(worker))

    def row(self):
        ref = records.layout()
        read = self.store.scan(ref.table, ref.part, timeout_s=1.0)
        return read.ok_value.rows[0]
