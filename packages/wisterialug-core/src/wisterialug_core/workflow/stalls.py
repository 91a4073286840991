"""Decides when a run whose percent stands still has stalled.

Made for workers on which tasks stand still: a stalled run is to be started again
elsewhere soon. Percents are whole, so that a task of minutes keeps one for seconds,
and declared times are rough.
"""

from __future__ import annotations

# Runs are not taken for stalled sooner: reports may be late.
MIN_TIMEOUT_S = 1.8
# A run may take this many times as long as expected for one percent.
SLOWNESS = 4.0
# Each run of a task that was stopped as stalled doubles the time for the next:
# the task may just be slow.
MAX_DOUBLINGS = 10


def timeout_s(expected_s: float, stalls: int) -> float:
    """Returns how long a percent may stand still.

    Args:
      expected_s: Expected time of the whole run.
      stalls: Runs of the task that were stopped as stalled.
    """
    percent_s = expected_s / 100
    least_s = max(MIN_TIMEOUT_S, SLOWNESS * percent_s)
    return least_s * 2 ** min(stalls, MAX_DOUBLINGS)
