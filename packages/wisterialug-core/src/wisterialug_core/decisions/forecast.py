"""Estimates of when jobs end, from the states of their tasks."""

from __future__ import annotations

import enum
import math


class DeadlineState(enum.Enum):
    """State of a job with respect to its deadline."""

    NONE = "no deadline"
    EXPECTED = "expected to be met"
    AT_RISK = "expected to be missed"
    MISSED = "missed"
    ENDED = "all tasks have ended"


def expected_end_unix_ms(
    waiting: int, running: int, run_ms: int, now_unix_ms: int
) -> int:
    """Returns when a job ends if its parallelism stays as it is.

    Args:
      waiting: Number of waiting tasks.
      running: Number of started tasks.
      run_ms: Declared run time of a task.
      now_unix_ms: The current time.
    """
    if not waiting and not running:
        return now_unix_ms
    parallelism = max(1, running)
    rounds = math.ceil(waiting / parallelism) + 1
    return now_unix_ms + rounds * run_ms


def deadline_state(
    deadline_unix_ms: int, expected_ms: int, now_unix_ms: int, *, ended: bool
) -> DeadlineState:
    """Returns the deadline state of a job with an expected end."""
    if not deadline_unix_ms:
        return DeadlineState.NONE
    if ended:
        return DeadlineState.ENDED
    if now_unix_ms > deadline_unix_ms:
        return DeadlineState.MISSED
    if expected_ms > deadline_unix_ms:
        return DeadlineState.AT_RISK
    return DeadlineState.EXPECTED
