"""Pauses between scheduling rounds.

Made for a backlog that fits nowhere: a round takes tens of milliseconds then,
and each run that begins or ends asks for the next one.
"""

from __future__ import annotations

# A round is followed by a pause of this many times its length, so that planning
# takes at most a quarter of a VM; calls to workers need the rest.
PAUSE_FACTOR = 3.0
# Bounds how much later a start, a stop or the release of a shard becomes.
MAX_PAUSE_S = 0.1


def pause_s(round_s: float) -> float:
    """Returns the pause after a round that took so long."""
    return min(MAX_PAUSE_S, PAUSE_FACTOR * max(0.0, round_s))
