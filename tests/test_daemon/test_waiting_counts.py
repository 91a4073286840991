"""Tests that counts of waiting jobs are not too low, whatever an owner does."""

import dataclasses

import eventlet
import result

from tests.test_daemon import workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_daemon.workflow import (
    clock,
    errors,
    intake,
    owner,
    records,
    row_store,
)

step = workflow_base.step
# The platform's promise: visible after three seconds, counts two seconds old.
PROMISED_S = 5.0


class PathStore(row_store.RowStore):
    """The store as one VM reaches it.

    Attributes:
      blocked: Tables of which nothing is read or watched.
      layout_value: Replaces the layout's row if set.
      delay_s: Time that answers of watches take to arrive.
      commit_delay_s: The same of commits, from the call to the answer.
    """

    def __init__(self, store):
        self._store = store
        self.blocked = set()
        self.layout_value = None
        self.delay_s = 0.0
        self.commit_delay_s = 0.0

    def commit(self, transaction, timeout_s):
        eventlet.sleep(self.commit_delay_s / 2)
        outcome = self._store.commit(transaction, timeout_s)
        eventlet.sleep(self.commit_delay_s / 2)
        return outcome

    def scan(self, table, part, first_key="", end_key="", *, timeout_s):
        if table in self.blocked:
            eventlet.sleep(0.05)
            return result.Err(errors.StoreRefusedError("blocked"))
        scanned = self._store.scan(
            table, part, first_key, end_key, timeout_s=timeout_s
        )
        return scanned.map(
            lambda snapshot: dataclasses.replace(
                snapshot, rows=self._replaced(snapshot.rows)
            )
        )

    def watch(self, table, after, wait_s, max_bytes=None):
        if table in self.blocked:
            eventlet.sleep(wait_s)
            return result.Err(errors.StoreUnknownError("blocked"))
        watched = self._store.watch(table, after, wait_s, max_bytes)
        eventlet.sleep(self.delay_s)
        return watched.map(
            lambda changes: dataclasses.replace(
                changes, rows=self._replaced(changes.rows)
            )
        )

    def _replaced(self, rows):
        if self.layout_value is None:
            return rows
        return tuple(
            row._replace(value=self.layout_value)
            if row.ref == records.layout()
            else row
            for row in rows
        )


class CountsTestCase(workflow_base.ShardsTestCase):
    """Provides VMs whose paths to the store fail, and checks their answers."""

    def setUp(self):
        super().setUp()
        self.paths = {}
        self.accepted_s = {}

    def reach(self, name):
        self.paths[name] = PathStore(self.store)
        return self.paths[name], self.fleet, self.fleet

    def submit_jobs(self, count):
        for _ in range(count):
            self.accepted_s[self.submit(step(1))] = clock.now_s()

    def block(self, *tables):
        for path in self.paths.values():
            path.blocked.update(tables)

    def answers(self, names=None):
        return [
            self.nodes[name].intake.waiting(workflow_base.ROUTE)
            for name in names or self.nodes
        ]

    def check_counts(self, for_s, names=None):
        """Checks all answers of some seconds; returns them.

        No job of these tests begins.
        """
        answers = []
        until_s = clock.now_s() + for_s
        while clock.now_s() < until_s:
            before_s = clock.now_s() - PROMISED_S
            due = sum(at_s < before_s for at_s in self.accepted_s.values())
            for answer in self.answers(names):
                answers.append(answer)
                if answer.outcome is intake.Outcome.OK:
                    self.assertGreaterEqual(2 * answer.waiting, due)
                else:
                    self.assertGreater(answer.retry_after_s, 0)
            eventlet.sleep(0.1)
        return answers

    def assert_refused(self, answers):
        outcomes = {answer.outcome for answer in answers}
        self.assertIn(intake.Outcome.REFUSED, outcomes)


class OneShardTest(CountsTestCase):
    def start(self, nodes=3):
        self.start_nodes(nodes, workers=0)
        self.owner()
        self.submit_jobs(2)
        self.wait_for(
            lambda: all(answer.waiting == 2 for answer in self.answers()), 5
        )

    def test_calm_counts_are_neither_refused_nor_old(self):
        self.start()
        answers = self.check_counts(4)
        self.assertEqual({2}, {answer.waiting for answer in answers})
        self.submit_jobs(3)
        self.wait_for(
            lambda: all(answer.waiting == 5 for answer in self.answers()), 2.5
        )

    def test_new_owner_that_leaves_the_counts_of_the_earlier_one(self):
        self.start()
        self.kill_node(self.owner())
        ref = records.owner(records.FIRST_SHARD)

        def row():
            return workflow_pb2.Ownership.FromString(self.store.value(ref))

        self.wait_for(lambda: row().epoch == 2, 6)
        claimed_s = clock.now_s()
        self.wait_for(lambda: row().renewal > 1, 2)
        self.assertLess(clock.now_s() - claimed_s, 0.35)

    def test_owner_that_does_not_hear_of_new_jobs(self):
        self.start()
        self.block(records.inbox_table(records.FIRST_SHARD))
        self.submit_jobs(6)
        self.assert_refused(self.check_counts(7))

    def test_owners_that_are_replaced_before_they_have_loaded(self):
        self.start()
        self.block(records.PROGRESS_TABLE)
        self.kill_node(self.owner())
        self.submit_jobs(6)
        self.assert_refused(self.check_counts(10))

    def test_answers_that_arrive_late_are_no_news(self):
        self.start()
        reader = next(name for name in self.nodes if name != self.owner())
        self.paths[reader].delay_s = 7.0
        # Until the store has answered the watch with the earlier count.
        eventlet.sleep(1)
        self.submit_jobs(6)
        eventlet.sleep(5)
        self.assert_refused(self.check_counts(4, [reader]))

    def test_renewals_that_are_recorded_without_counts(self):
        self.start()
        invalid = self.store.invalid

        def rejects_counts(transaction):
            owner_row = records.owner(records.FIRST_SHARD)
            for ref, value in transaction.writes:
                if ref == owner_row:
                    renewal = workflow_pb2.Ownership.FromString(value)
                    if renewal.waiting:
                        return "too large"
            return invalid(transaction)

        self.store.invalid = rejects_counts
        eventlet.sleep(1.5)
        self.assert_refused(self.check_counts(6))


class TwoShardsTest(CountsTestCase):
    def test_vm_that_can_not_read_which_shards_there_are(self):
        self.duration_s = 60
        self.start_shards()
        self.paths.clear()
        self.reach = self.reach_without_layout
        self.start_node("late")
        self.submit_jobs(8)
        self.assert_refused(self.check_counts(7, ["late"]))

    def reach_without_layout(self, name):
        path = PathStore(self.store)
        path.layout_value = b"\xff"
        return path, self.fleet, self.fleet

    def submit_jobs(self, count):
        for _ in range(count):
            job = self.submit(step(1, required_label="no-such-label"))
            self.accepted_s[job] = clock.now_s()


class BusyStoreTest(CountsTestCase):
    """Other VMs, workers and shards change rows too; all is well.

    Counts are less than two seconds old here, by the sum of the owner's
    interval, its commit and the reader's spacing, and are not to be refused.
    """

    # Of changes of other tables, as of heartbeats and of other shards.
    CHANGE_INTERVAL_S = 0.02

    def setUp(self):
        super().setUp()
        busy = eventlet.spawn(self.change_other_rows)
        self.addCleanup(busy.kill)

    def change_other_rows(self):
        ref = row_store.RowRef("heartbeats", "", "other")
        while True:
            self.store.commit(row_store.Transaction(writes=((ref, b"x"),)), 1.0)
            eventlet.sleep(self.CHANGE_INTERVAL_S)

    def start(self):
        self.start_nodes(3, workers=0)
        self.owner()
        self.submit_jobs(2)
        self.wait_for(
            lambda: all(answer.waiting == 2 for answer in self.answers()), 5
        )

    def check_not_refused(self, for_s=10):
        answers = self.check_counts(for_s)
        refused = [
            answer.detail
            for answer in answers
            if answer.outcome is intake.Outcome.REFUSED
        ]
        self.assertEqual([], refused, f"{len(refused)} of {len(answers)}")

    def test_calm_counts_of_one_shard(self):
        self.start()
        self.check_not_refused()

    def test_calm_counts_of_two_shards(self):
        self.start_shards()
        self.submit(step(1, required_label="no-such-label"))
        self.wait_for(
            lambda: all(answer.waiting == 1 for answer in self.answers()), 5
        )
        self.check_not_refused()

    def test_counts_where_the_store_takes_two_tenths_of_a_second(self):
        self.start()
        for path in self.paths.values():
            path.delay_s = path.commit_delay_s = 0.2
        eventlet.sleep(2)
        self.check_not_refused()

    def test_counts_of_an_owner_whose_cycles_are_long(self):
        self.patch(owner, "COMMIT_SPACING_S", 0.35)
        self.start()
        self.check_not_refused()


class NewShardTest(CountsTestCase):
    def test_vm_that_splits_the_workers_answers_meanwhile(self):
        problems = []

        def ask():
            while True:
                try:
                    self.answers()
                except KeyError as exc:
                    problems.append(exc)
                eventlet.sleep(0.005)

        asking = eventlet.spawn(ask)
        self.addCleanup(asking.kill)
        self.start_shards()
        self.assertEqual([], problems)
