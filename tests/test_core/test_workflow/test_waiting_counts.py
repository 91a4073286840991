"""Tests of when the count of a queue's waiting jobs can be returned."""

import math

import testtools

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import version_times, waiting_counts

ACCEPTED_WITHIN_S = 3.0
# Callers are promised counts of two seconds ago, of jobs accepted before.
PROMISED_S = ACCEPTED_WITHIN_S + 2.0


class VersionTimesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.times = version_times.VersionTimes()

    def test_unknown_version_is_as_old_as_can_be(self):
        self.assertEqual(-math.inf, self.times.newest_at_s(7))
        self.times.note(10, 1.0)
        self.assertEqual(-math.inf, self.times.newest_at_s(9))

    def test_content_is_as_old_as_the_last_answer_without_newer_versions(self):
        self.times.note(10, 1.0)
        self.times.note(20, 2.0)
        self.assertEqual(1.0, self.times.newest_at_s(19))
        self.assertEqual(2.0, self.times.newest_at_s(20))
        self.assertEqual(2.0, self.times.newest_at_s(99))

    def test_store_without_changes_is_as_new_as_its_last_answer(self):
        self.times.note(10, 1.0)
        self.times.note(10, 3.0)
        self.assertEqual(3.0, self.times.newest_at_s(10))

    def test_answer_of_an_earlier_version_is_no_news(self):
        self.times.note(10, 1.0)
        self.times.note(8, 3.0)
        self.assertEqual(-math.inf, self.times.newest_at_s(9))
        self.assertEqual(1.0, self.times.newest_at_s(10))

    def test_old_answers_are_dropped(self):
        for version in range(1, 10 * version_times.MAX_KEPT):
            self.times.note(version, float(version))
        self.assertEqual(-math.inf, self.times.newest_at_s(1))


class ShardCountTest(testtools.TestCase):
    """Replays a reader beside renewals, takeovers and an owner that is behind."""

    def setUp(self):
        super().setUp()
        self.times = version_times.VersionTimes()
        # One version each 0.1 s, seen by the reader each 0.5 s.
        for tick in range(0, 200, 5):
            self.times.note(100 + tick, tick / 10)

    def problem(self, accepted_s, counted_s, now_s, **fields):
        ownership = workflow_pb2.Ownership(
            accepted_version=100 + int(accepted_s * 10),
            counted_version=100 + int(counted_s * 10),
            waiting={"r": 3},
            **fields,
        )
        count = waiting_counts.of_shard("s0", ownership, "r", self.times, now_s)
        self.assertEqual(3, count.waiting)
        return count.problem(ACCEPTED_WITHIN_S)

    def test_new_count_is_returned(self):
        self.assertEqual("", self.problem(9.5, 10.0, 10.5))

    def test_queue_without_jobs_is_counted(self):
        ownership = workflow_pb2.Ownership(
            accepted_version=200, counted_version=200
        )
        count = waiting_counts.of_shard("s0", ownership, "r", self.times, 10.5)
        self.assertEqual(0, count.waiting)
        self.assertEqual("", count.problem(ACCEPTED_WITHIN_S))

    def test_row_without_counts_is_not_zero(self):
        count = waiting_counts.of_shard(
            "s0", workflow_pb2.Ownership(owner="n"), "r", self.times, 10.5
        )
        self.assertIsNone(count.waiting)
        self.assertIn("not counted", count.problem(ACCEPTED_WITHIN_S))

    def test_returned_count_includes_all_jobs_accepted_before_the_promise(self):
        # For any age of the inbox and of the count that is returned.
        for accepted in range(0, 100):
            for counted in range(accepted, 100):
                for now in range(counted, 160, 7):
                    if not self.problem(accepted / 10, counted / 10, now / 10):
                        self.assertLess(now - accepted, PROMISED_S * 10)
                        self.assertLess(now - counted, 20)

    def test_owner_that_is_behind_with_its_inbox_is_found_out(self):
        self.assertIn("lacks", self.problem(5.0, 10.0, 10.4))

    def test_count_that_a_claim_carries_on_is_as_old_as_before(self):
        self.assertIn("out of date", self.problem(8.0, 8.0, 10.4, epoch=4))
