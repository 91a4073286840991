"""Expected time left of runs, from declared times and progress.

Declared times may be off by half, and a few runs take several times as long as
the others of their step.
"""

from __future__ import annotations

import dataclasses
import math
import statistics

# Standard deviation of the logarithm of a run's time, given its declared time.
DECLARED_SPREAD = 0.5
# The same given its pace so far.
MEASURED_SPREAD = 0.15
# A pace is known once a run has got on by this much between two reports.
MIN_MEASURED_PERCENT = 5
# Probability that a run has ended by the time returned. Above one half, so that
# uncertainty counts against waiting for it.
CONFIDENCE = 0.75
# Beyond this many standard deviations the distribution says nothing.
MAX_DEVIATIONS = 5.0

_NORMAL = statistics.NormalDist()
# Ratio of the lower quartile of a run's time to its declared time.
SHORT_RUN_RATIO = math.exp(DECLARED_SPREAD * _NORMAL.inv_cdf(1 - CONFIDENCE))


@dataclasses.dataclass(slots=True)
class ProgressTrack:
    """Progress of a run at its first and its latest report, in monotonic time.

    Attributes:
      first_s: Time of the first known progress; 0 if there is none.
      latest_s: Time of the latest one.
    """

    first_percent: int = 0
    first_s: float = 0.0
    latest_percent: int = 0
    latest_s: float = 0.0

    def note(self, percent: int, now_s: float) -> None:
        """Notes a report."""
        if not self.first_s:
            self.first_percent = percent
            self.first_s = now_s
        self.latest_percent = percent
        self.latest_s = now_s

    def left_s(self, declared_s: float, now_s: float) -> float:
        """Returns the time until the run has ended, with `CONFIDENCE`."""
        if not self.latest_s:
            return declared_s / SHORT_RUN_RATIO
        gained = self.latest_percent - self.first_percent
        open_percent = max(0, 100 - self.latest_percent)
        if gained >= MIN_MEASURED_PERCENT:
            pace_s = (self.latest_s - self.first_s) / gained
            expected_s, spread = pace_s * open_percent, MEASURED_SPREAD
        else:
            expected_s = declared_s * open_percent / 100
            spread = DECLARED_SPREAD
        return _left_s(expected_s, spread, now_s - self.latest_s)


def _left_s(expected_s: float, spread: float, passed_s: float) -> float:
    """Returns the time left of a log-normal duration of which part has passed.

    Args:
      expected_s: The median of the duration.
      spread: Standard deviation of its logarithm.
      passed_s: How long it has taken already.
    """
    if expected_s <= 0:
        return 0.0
    deviations = -math.inf
    if passed_s > 0:
        deviations = math.log(passed_s / expected_s) / spread
    if deviations > MAX_DEVIATIONS:
        return passed_s
    longer = 1.0 - _NORMAL.cdf(deviations)
    quantile = _NORMAL.inv_cdf(1.0 - (1.0 - CONFIDENCE) * longer)
    return max(0.0, expected_s * math.exp(spread * quantile) - passed_s)
