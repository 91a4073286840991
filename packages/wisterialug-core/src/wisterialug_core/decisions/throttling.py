"""Control of batch tasks that slow services: throttle, then move them.

Each step waits for a sample taken after the previous step took effect, so
that no step is repeated because of a stale sample.  A throttle is eased when
the slowdown is predicted to stay within the target.
"""

from __future__ import annotations

import dataclasses
import enum

# Time from a step until samples show its effect.
EFFECT_DELAY_MS = 2_000
# Weight of a new sample in the moving average that damps noise.
SMOOTHING = 0.5
# Consecutive good samples before a throttle is eased.
EASE_AFTER_SAMPLES = 2
SPEED_PERCENTS = (100, 50, 25)


class Step(enum.Enum):
    """An action on the batch tasks of one worker."""

    NONE = "none"
    THROTTLE = "throttle"
    EASE = "ease"
    MOVE = "move"


@dataclasses.dataclass
class ThrottleController:
    """Throttles and moves the batch tasks of one worker.

    MOVE stops the task with the largest predicted effect, with a checkpoint.
    The task restarts on another worker if services there are predicted to
    stay within the target; otherwise it waits, which makes MOVE an eviction.
    """

    target_ratio: float
    level: int = 0
    last_step_ms: int = -EFFECT_DELAY_MS
    good_samples: int = 0
    smoothed_ratio: float | None = None

    def on_sample(self, ratio: float, taken_ms: int, now_ms: int) -> Step:
        """Returns the step to take after a sample.

        Args:
          ratio: Measured latency relative to the baseline.
          taken_ms: When the sample was taken, by the worker's clock.
          now_ms: The worker's clock now.
        """
        if taken_ms < self.last_step_ms + EFFECT_DELAY_MS:
            return Step.NONE
        if self.smoothed_ratio is None:
            self.smoothed_ratio = ratio
        self.smoothed_ratio += SMOOTHING * (ratio - self.smoothed_ratio)
        if self.smoothed_ratio > self.target_ratio:
            return self._escalate(now_ms)
        if self.level == 0 or self._eased_ratio() > self.target_ratio:
            self.good_samples = 0
            return Step.NONE
        self.good_samples += 1
        if self.good_samples < EASE_AFTER_SAMPLES:
            return Step.NONE
        self.level -= 1
        self._record_step(now_ms)
        return Step.EASE

    def _escalate(self, now_ms: int) -> Step:
        self._record_step(now_ms)
        if self.level + 1 < len(SPEED_PERCENTS):
            self.level += 1
            return Step.THROTTLE
        return Step.MOVE

    def _record_step(self, now_ms: int) -> None:
        self.last_step_ms = now_ms
        self.smoothed_ratio = None
        self.good_samples = 0

    def _eased_ratio(self) -> float:
        """Predicts the slowdown at the next higher speed."""
        faster = SPEED_PERCENTS[self.level - 1] / SPEED_PERCENTS[self.level]
        return 1.0 + (self.smoothed_ratio - 1.0) * faster

    @property
    def speed_percent(self) -> int:
        """Allowed speed of batch tasks, in percent of full speed."""
        return SPEED_PERCENTS[self.level]
