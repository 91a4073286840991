"""Decides when callers that were refused are told to return.

Made for many callers that are refused within a moment, by a burst or by an
outage of the store: told the same time, they would return together.
"""

from __future__ import annotations

import math
import zlib

# Answers carry whole seconds.
MIN_RETURN_S = 1
MAX_RETURN_S = 600
# Callers are spread over this part of their wait, and over a second at least.
SPREAD_SHARE = 0.5
MIN_SPREAD_S = 1.0
# Expected length of an outage that has just begun, and its part that is left
# of one that has lasted longer: long outages last longer still.
SHORTEST_OUTAGE_S = 1.0
OUTAGE_LEFT_SHARE = 0.5
MAX_OUTAGE_LEFT_S = 5.0


def after_load(
    job_id: str, wait_s: float, spare_s: float, useful_s: float
) -> int:
    """Returns when a caller refused for load should return, in seconds.

    Small and urgent jobs have less work ahead of them, and return earlier.

    Args:
      job_id: The job; callers are spread by it.
      wait_s: Time that the work ahead of the job takes.
      spare_s: Time that the job can wait for its turn.
      useful_s: Time after which a return is of no use.
    """
    room_s = max(0.0, wait_s - spare_s)
    return _spread(job_id, room_s, useful_s)


def after_outage(job_id: str, outage_s: float, useful_s: float) -> int:
    """Returns when a caller refused in an outage should return, in seconds.

    Args:
      job_id: The job; callers are spread by it.
      outage_s: How long the outage has lasted.
      useful_s: Time after which a return is of no use.
    """
    left_s = max(SHORTEST_OUTAGE_S, OUTAGE_LEFT_SHARE * outage_s)
    return _spread(job_id, min(MAX_OUTAGE_LEFT_S, left_s), useful_s)


def _spread(job_id: str, earliest_s: float, latest_s: float) -> int:
    """Returns a whole time after `earliest_s`, by the job's id.

    Times between two whole seconds become one of these, in proportion.
    """
    share = zlib.crc32(job_id.encode()) / 2**32
    earliest_s = min(earliest_s, latest_s, MAX_RETURN_S)
    spread_s = max(MIN_SPREAD_S, SPREAD_SHARE * earliest_s)
    due_s = min(earliest_s + spread_s * share, latest_s)
    return max(MIN_RETURN_S, math.floor(due_s + share))
