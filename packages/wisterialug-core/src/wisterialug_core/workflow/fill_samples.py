"""Samples of serving tasks and of the fill runs beside them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisterialug_core.workflow import fill_claims

FULL_PERCENT = 100
# A run at this pace or below would do better on another worker.
THROTTLED_PERCENT = 40
# Time after an alarm in which no fill run is sped up: runs that are harmless
# one by one may interfere together.
ALARM_COOLDOWN_S = 2.0


class ServingTail(NamedTuple):
    """Tail latency of a serving task."""

    image: str
    tail_ms: float
    target_ms: float


@dataclasses.dataclass(slots=True)
class FillRun:
    """One fill run on a worker.

    Attributes:
      share: Part of the worker's processors that it requests.
      used: Part that it used in the latest sample.
      percent: Pace that was ordered last.
      slow_since_s: Since when it is throttled; 0 if it is not.
      claim: What its progress means to its job; None if that is not known.
    """

    image: str
    share: float
    used: float = 0.0
    percent: int = FULL_PERCENT
    slow_since_s: float = 0.0
    claim: fill_claims.Claim | None = None

    @property
    def value(self) -> float:
        """Returns what its progress is worth to its job, per second."""
        return self.claim.value if self.claim else 1.0

    def set_pace(self, percent: int, now_s: float) -> None:
        """Records the pace that is ordered."""
        self.percent = percent
        if percent > THROTTLED_PERCENT:
            self.slow_since_s = 0.0
        elif not self.slow_since_s:
            self.slow_since_s = now_s


@dataclasses.dataclass(slots=True)
class WorkerSamples:
    """Latest samples of one worker and the reactions to them.

    Attributes:
      loads: Utilisation by serving image, without fill runs.
      mean_loads: The same, as an exponential moving average.
      targets: Utilisation by image at which the tail meets its target.
      alarm_s: When the last alarm was raised.
      over_target_since_s: Since when a tail is over its target; 0 if none is.
    """

    loads: dict[str, float] = dataclasses.field(default_factory=dict)
    mean_loads: dict[str, float] = dataclasses.field(default_factory=dict)
    targets: dict[str, float] = dataclasses.field(default_factory=dict)
    sampled_s: float = 0.0
    utilisation: dict[str, float] = dataclasses.field(default_factory=dict)
    used: dict[str, float] = dataclasses.field(default_factory=dict)
    paced_s: float = 0.0
    over_target_since_s: float = 0.0
    alarm_s: float = 0.0

    @property
    def alarmed(self) -> bool:
        """Returns whether an alarm was raised just before the latest sample."""
        return bool(
            self.alarm_s and self.sampled_s - self.alarm_s < ALARM_COOLDOWN_S
        )
