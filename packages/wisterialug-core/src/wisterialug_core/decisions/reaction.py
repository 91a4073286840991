"""What to do for a service in trouble: throttle, then move, then evict.

Each step waits until a sample that was taken after the last step's effect
has come, so that no step is taken twice on the same late news.  A throttle
is eased when the ratio is predicted to stay within the target.
"""

from __future__ import annotations

import dataclasses
import enum

# Time from an action until a sample can show its effect.
EFFECT_MS = 2_000
# Weight of a new sample; one noisy sample alone asks for nothing.
SMOOTHING = 0.5
# Samples in a row that must be good before a throttle is eased.
GOOD_SAMPLES = 2
THROTTLE_STEPS = (100, 50, 25)


class Step(enum.Enum):
    """An action for one worker."""

    NONE = "none"
    THROTTLE = "throttle"
    EASE = "ease"
    MOVE = "move"


@dataclasses.dataclass
class ThrottleController:
    """The state of the reaction on one worker.

    "Move" stops the task that is predicted to harm most, with a checkpoint;
    it is placed again elsewhere if another worker is predicted to bear it,
    and waits otherwise, which makes the move an eviction.
    """

    target_ratio: float
    level: int = 0
    acted_ms: int = -EFFECT_MS
    good: int = 0
    smoothed: float | None = None

    def on_sample(self, ratio: float, taken_ms: int, now_ms: int) -> Step:
        """Returns the step that a sample asks for.

        Args:
          ratio: Latency relative to alone.
          taken_ms: When the sample was taken, by the worker's clock.
          now_ms: The worker's clock now.
        """
        if taken_ms < self.acted_ms + EFFECT_MS:
            return Step.NONE
        if self.smoothed is None:
            self.smoothed = ratio
        self.smoothed += SMOOTHING * (ratio - self.smoothed)
        if self.smoothed > self.target_ratio:
            return self._worsened(now_ms)
        if self.level == 0 or self._eased_ratio() > self.target_ratio:
            self.good = 0
            return Step.NONE
        self.good += 1
        if self.good < GOOD_SAMPLES:
            return Step.NONE
        self.level -= 1
        self._acted(now_ms)
        return Step.EASE

    def _worsened(self, now_ms: int) -> Step:
        self._acted(now_ms)
        if self.level + 1 < len(THROTTLE_STEPS):
            self.level += 1
            return Step.THROTTLE
        return Step.MOVE

    def _acted(self, now_ms: int) -> None:
        self.acted_ms = now_ms
        self.smoothed = None
        self.good = 0

    def _eased_ratio(self) -> float:
        """Predicts the ratio one step of speed higher."""
        faster = THROTTLE_STEPS[self.level - 1] / THROTTLE_STEPS[self.level]
        return 1.0 + (self.smoothed - 1.0) * faster

    @property
    def percent(self) -> int:
        """The speed that batch tasks may have."""
        return THROTTLE_STEPS[self.level]
