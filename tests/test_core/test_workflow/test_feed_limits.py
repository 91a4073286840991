"""Tests of how much of a feed is read."""

import testtools

from wisterialug_core.workflow import feed_limits


class MostBytesTest(testtools.TestCase):
    def test_one_change_of_a_large_row_is_read_from_the_feed(self):
        # 245, 1,645, 3,045 and 4,445 routes.
        sizes = ((64, 427), (427, 789), (789, 1152), (1152, 1152))
        for before, after in sizes:
            most = feed_limits.most_bytes(before * 1000)
            self.assertGreaterEqual(most, after * 1000)

    def test_two_changes_of_a_large_row_are_not(self):
        for size in (427_000, 600_000, 1_152_000, 10_000_000):
            self.assertLess(feed_limits.most_bytes(size), 2 * size)

    def test_many_changes_of_a_small_row_are_read_from_the_feed(self):
        self.assertGreaterEqual(feed_limits.most_bytes(0), 100 * 2000)
