"""Moves of fill runs that are held to workers where they can proceed.

Made for a step whose last runs stand still beside serving tasks at the peak of
their load, while other workers have room: nothing else of the job can go on. A
step with many tasks left waits for others anyway, and the load may fall again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.workflow import fill_samples

if TYPE_CHECKING:
    from wisterialug_core.workflow import fill_claims

# Time of throttling after which a run is moved, at most and by task that is
# left of its step.
MAX_WAIT_S = 1.0
WAIT_PER_TASK_S = 0.1
# Time that a move takes: the stop, the report of the end, the next start and
# reading the progress back.
MOVE_MS = 700.0
# Least fraction of full pace that a held run may count on where it is.
MIN_EXPECTED_PACE = 0.1


def is_due(fill: fill_samples.FillRun, now_s: float) -> bool:
    """Returns whether a run would do better on another worker."""
    if not fill.slow_since_s:
        return False
    if now_s - fill.slow_since_s < _wait_s(fill.claim):
        return False
    return fill.claim is None or _pays(fill.claim, fill.percent)


def _wait_s(claim: fill_claims.Claim | None) -> float:
    if claim is None:
        return MAX_WAIT_S
    return min(MAX_WAIT_S, WAIT_PER_TASK_S * claim.tasks_left)


def _pays(claim: fill_claims.Claim, percent: int) -> bool:
    """Returns whether a move takes less time than to stay."""
    pace = max(MIN_EXPECTED_PACE, percent / fill_samples.FULL_PERCENT)
    return claim.work_left_ms / pace > MOVE_MS + claim.work_left_ms
