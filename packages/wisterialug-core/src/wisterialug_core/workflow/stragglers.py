"""Finds runs that fall behind the other tasks of their step.

Some workers turn several times slower while they report themselves well, and a
step waits for its last task. Some tasks take several times as long as the others
of their step wherever they run. One run does not tell which it is: it is started
again elsewhere once, if that is expected to end much sooner, and its worker is
rated last until a run there has taken the usual time.
"""

from __future__ import annotations

import statistics

# Other tasks of the step whose times must be known.
MIN_SIBLINGS = 3
# A stop, its end and the next start.
RESTART_S = 0.3
# Part of the usual time that must have passed before progress is compared.
MIN_ELAPSED_FACTOR = 1.2
# What is left, over the time of a new run, from which a restart pays though the
# task itself may be long.
MIN_GAIN_FACTOR = 2.0
# Runs that take up to this many times the usual time show a worker to be well.
USUAL_FACTOR = 2.0


class StepTimes:
    """Times that the finished tasks of one step took."""

    def __init__(self) -> None:
        self._durations_s: dict[int, float] = {}

    def note(self, index: int, duration_s: float) -> None:
        """Records how long a task took, from its start to its end."""
        self._durations_s[index] = duration_s

    def usual_s(self, index: int) -> float | None:
        """Returns the median of the others; None if too few are known."""
        others = [
            duration_s
            for other, duration_s in self._durations_s.items()
            if other != index
        ]
        if len(others) < MIN_SIBLINGS:
            return None
        return statistics.median(others)


def remaining_s(elapsed_s: float, progress: int) -> float:
    """Returns how long a run still takes at the speed that it had so far.

    Args:
      elapsed_s: Time since the run began, by the worker's clock.
      progress: Percent done of its work; 0 counts as less than 1.
    """
    done = max(progress, 1) / 100
    return elapsed_s * (1 - done) / done


def is_better_elsewhere(
    elapsed_s: float, progress: int, usual_s: float
) -> bool:
    """Returns whether a new run on another worker is expected to end sooner."""
    if elapsed_s < MIN_ELAPSED_FACTOR * usual_s:
        return False
    new_run_s = usual_s + RESTART_S
    return remaining_s(elapsed_s, progress) > MIN_GAIN_FACTOR * new_run_s
