"""Times of the attempts to learn a config add up to less than the bound."""

import testtools

from wisterialug_core.workflow import config_timing

# The bounds of all deployments, in seconds.
BOUNDS_S = (2.0, 3.0, 4.0)


class ConfigTimingTest(testtools.TestCase):
    def test_attempts_add_up_past_the_bound(self):
        for within_s in BOUNDS_S:
            timing = config_timing.ConfigTiming(within_s)
            # The rest is for the answer to arrive.
            self.assertLessEqual(timing.answered_within_s, within_s * 0.8)
            self.assertLessEqual(timing.answered_after_stall_s, within_s * 0.95)
            self.assertLessEqual(timing.stall_s, within_s / 2)

    def test_slow_store_is_never_given_time(self):
        timing = config_timing.ConfigTiming(2.0)
        times_s = [timing.quiet_s(failures) for failures in range(100)]
        self.assertEqual(times_s, sorted(times_s))
        self.assertEqual(config_timing.MAX_QUIET_S, times_s[-1])
