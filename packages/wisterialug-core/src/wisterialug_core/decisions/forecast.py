"""When a job is expected to end, from the states of its tasks."""

from __future__ import annotations

import enum
import math


class DeadlineState(enum.Enum):
    """How a job stands to its deadline."""

    NONE = "no deadline"
    EXPECTED = "expected to be met"
    AT_RISK = "expected to be missed"
    MISSED = "missed"
    ENDED = "all tasks have ended"


def expected_end_unix_ms(
    waiting: int, running: int, run_ms: int, now_unix_ms: int
) -> int:
    """Returns when a job ends if as many tasks run at once as now.

    Args:
      waiting: Tasks that wait.
      running: Tasks that have started.
      run_ms: Declared run time of a task.
      now_unix_ms: The time now.
    """
    if not waiting and not running:
        return now_unix_ms
    at_once = max(1, running)
    rounds = math.ceil(waiting / at_once) + 1
    return now_unix_ms + rounds * run_ms


def deadline_state(
    deadline_unix_ms: int, expected_ms: int, now_unix_ms: int, *, ended: bool
) -> DeadlineState:
    """Tells how a job that is expected to end at a time stands."""
    if not deadline_unix_ms:
        return DeadlineState.NONE
    if ended:
        return DeadlineState.ENDED
    if now_unix_ms > deadline_unix_ms:
        return DeadlineState.MISSED
    if expected_ms > deadline_unix_ms:
        return DeadlineState.AT_RISK
    return DeadlineState.EXPECTED
