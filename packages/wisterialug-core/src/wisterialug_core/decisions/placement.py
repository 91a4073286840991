"""Choice of a worker for a task."""

from __future__ import annotations

import abc
import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from wisterialug_core.decisions import resources

# Cost of leaving a worker's whole capacity free, in units of slowdown.
SLACK_WEIGHT = 0.1
# Fraction of a service's latency target up to which workers are filled.
TARGET_FRACTION = 0.94


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A worker that has room for the task.

    Attributes:
      slowdown: Largest predicted slowdown of a service with the task added.
    """

    worker: str
    free: resources.Amount
    capacity: resources.Amount
    slowdown: float = 1.0


class Placement(abc.ABC):
    """Chooses one of the workers that have room."""

    @abc.abstractmethod
    def choose(
        self,
        need: resources.Amount,
        candidates: Sequence[Candidate],
        *,
        exempt: bool,
    ) -> Candidate | None:
        """Returns one of the candidates, or None if the task should wait.

        Args:
          need: Resources of the task.
          candidates: Workers with enough room; at least one.
          exempt: Whether the task is exempt from latency targets.
        """


class FirstFit(Placement):
    """Takes the first worker with room."""

    def choose(
        self,
        need: resources.Amount,
        candidates: Sequence[Candidate],
        *,
        exempt: bool,
    ) -> Candidate | None:
        """Returns the first candidate."""
        del need, exempt
        return candidates[0]


class BestFit(Placement):
    """Takes the worker that the task fills most, by dominant resource."""

    def choose(
        self,
        need: resources.Amount,
        candidates: Sequence[Candidate],
        *,
        exempt: bool,
    ) -> Candidate | None:
        """Returns the candidate with the least left over."""
        del exempt
        return min(candidates, key=lambda option: _leftover(need, option))


class LeastInterference(Placement):
    """Keeps services within their latency target, then fills workers.

    A task waits if the best candidate's services would exceed the target,
    unless it is exempt.
    """

    def __init__(self, target_ratio: float) -> None:
        self._target_ratio = target_ratio

    def choose(
        self,
        need: resources.Amount,
        candidates: Sequence[Candidate],
        *,
        exempt: bool,
    ) -> Candidate | None:
        """Returns the candidate with the least cost, or None."""

        def cost(option: Candidate) -> float:
            return option.slowdown + SLACK_WEIGHT * _leftover(need, option)

        best = min(candidates, key=cost)
        if best.slowdown > TARGET_FRACTION * self._target_ratio and not exempt:
            return None
        return best


def _leftover(need: resources.Amount, option: Candidate) -> float:
    return option.free.minus(need).dominant_share(option.capacity)


def make(name: str, target_ratio: float = math.inf) -> Placement:
    """Returns the placement policy that a setting names.

    Args:
      name: Name of the policy.
      target_ratio: Highest allowed slowdown of a service.
    """
    factories: Mapping[str, Callable[[], Placement]] = {
        "first-fit": FirstFit,
        "best-fit": BestFit,
        "least-interference": lambda: LeastInterference(target_ratio),
    }
    return factories[name]()
