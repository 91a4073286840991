"""Tests of forecasts of when jobs end."""

import testtools

from wisterialug_core.decisions import forecast

NOW = 1_000_000


class ForecastTest(testtools.TestCase):
    def test_expected_end(self):
        cases = [
            (0, 0, NOW),
            (0, 4, NOW + 100),
            (4, 4, NOW + 200),
            (5, 4, NOW + 300),
            (3, 0, NOW + 400),
        ]
        for waiting, running, expected in cases:
            self.assertEqual(
                expected,
                forecast.expected_end_unix_ms(waiting, running, 100, NOW),
            )

    def test_deadline_state(self):
        states = forecast.DeadlineState
        cases = [
            (0, NOW, False, states.NONE),
            (NOW + 50, NOW + 40, False, states.EXPECTED),
            (NOW + 50, NOW + 60, False, states.AT_RISK),
            (NOW - 1, NOW + 60, False, states.MISSED),
            (NOW - 1, NOW, True, states.ENDED),
        ]
        for deadline, expected, ended, state in cases:
            got = forecast.deadline_state(deadline, expected, NOW, ended=ended)
            self.assertIs(state, got)
