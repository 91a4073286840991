"""What to do for a service in trouble: throttle, then move, then evict.

Each step waits until a sample that was taken after the last step's effect
has come, so that no step is taken twice on the same late news, and a step
back needs a wider margin than a step forward.
"""

from __future__ import annotations

import dataclasses
import enum

# Time from an action until a sample can show its effect.
EFFECT_MS = 2_000
# A throttle is eased when the ratio is under this part of the target.
EASE_RATIO = 0.9
# Samples in a row that must be good before a throttle is eased.
GOOD_SAMPLES = 3
THROTTLE_STEPS = (100, 50, 25)


class Step(enum.Enum):
    """An action for one worker."""

    NONE = "none"
    THROTTLE = "throttle"
    EASE = "ease"
    MOVE = "move"


@dataclasses.dataclass
class WorkerReaction:
    """The state of the reaction on one worker.

    "Move" stops the task that is predicted to harm most, with a checkpoint;
    it is placed again elsewhere if another worker is predicted to bear it,
    and waits otherwise, which makes the move an eviction.
    """

    target_ratio: float
    level: int = 0
    acted_ms: int = -EFFECT_MS
    good: int = 0

    def on_sample(self, ratio: float, taken_ms: int, now_ms: int) -> Step:
        """Returns the step that a sample asks for.

        Args:
          ratio: Latency relative to alone.
          taken_ms: When the sample was taken, by the worker's clock.
          now_ms: The worker's clock now.
        """
        if taken_ms < self.acted_ms + EFFECT_MS:
            return Step.NONE
        if ratio > self.target_ratio:
            self.good = 0
            self.acted_ms = now_ms
            if self.level + 1 < len(THROTTLE_STEPS):
                self.level += 1
                return Step.THROTTLE
            return Step.MOVE
        if ratio > EASE_RATIO * self.target_ratio or self.level == 0:
            self.good = 0
            return Step.NONE
        self.good += 1
        if self.good < GOOD_SAMPLES:
            return Step.NONE
        self.good = 0
        self.level -= 1
        self.acted_ms = now_ms
        return Step.EASE

    @property
    def percent(self) -> int:
        """The speed that batch tasks may have."""
        return THROTTLE_STEPS[self.level]
