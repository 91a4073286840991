"""Times of the attempts to learn a change add up to less than the bound."""

import testtools

from wisterialug_core.workflow import read_timing
from wisterialug_daemon.workflow import shard_feeds

# The bounds of all deployments, in seconds.
BOUNDS_S = (2.0, 3.0, 4.0)


class ReadTimingTest(testtools.TestCase):
    def test_attempts_add_up_past_the_bound(self):
        for within_s in BOUNDS_S:
            timing = read_timing.ReadTiming(within_s)
            wait_s = timing.wait_s
            # The rest is for the answer to arrive.
            self.assertLessEqual(
                timing.answered_within_s(wait_s), within_s * 0.8
            )
            self.assertLessEqual(
                timing.answered_after_stall_s(wait_s), within_s * 0.95
            )
            self.assertLessEqual(timing.stall_s, within_s / 2)

    def test_waits_of_an_owner_add_up_past_its_bounds(self):
        # Workers drain within 2 s, cancels count within 3 s.
        drained = read_timing.ReadTiming(2.0)
        drained_s = drained.answered_within_s(
            min(drained.wait_s, shard_feeds.WATCH_WAIT_S),
            shard_feeds.REGISTRY_SPACING_S,
        )
        self.assertLessEqual(drained_s, 2.0 * 0.95)
        cancelled = read_timing.ReadTiming(3.0)
        cancelled_s = cancelled.answered_within_s(
            min(cancelled.wait_s, shard_feeds.WATCH_WAIT_S)
        )
        self.assertLessEqual(cancelled_s, 3.0 * 0.8)

    def test_slow_store_is_never_given_time(self):
        timing = read_timing.ReadTiming(2.0)
        times_s = [timing.quiet_s(failures) for failures in range(100)]
        self.assertEqual(times_s, sorted(times_s))
        self.assertEqual(read_timing.MAX_QUIET_S, times_s[-1])
