"""Choice of a worker for a task."""

from __future__ import annotations

import abc
import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from wisterialug_core.decisions import resources

# How much slack on a worker counts against a unit of predicted slowdown.
SLACK_WEIGHT = 0.1
# Part of a service's target up to which workers are filled.
TARGET_MARGIN = 0.94


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A worker that has room for the task.

    Attributes:
      slowdown: Predicted latency of the worker's worst service with the task
        beside it, relative to alone.
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
        pressing: bool,
    ) -> Candidate | None:
        """Returns one of the candidates, or None if the task had better wait.

        Args:
          need: What the task takes.
          candidates: Workers with enough room; at least one.
          pressing: Whether the task goes before latency targets.
        """


class FirstFit(Placement):
    """Takes the first worker with room."""

    def choose(
        self,
        need: resources.Amount,
        candidates: Sequence[Candidate],
        *,
        pressing: bool,
    ) -> Candidate | None:
        """Returns the first candidate."""
        del need, pressing
        return candidates[0]


class BestFit(Placement):
    """Takes the worker that the task fills most, by dominant resource."""

    def choose(
        self,
        need: resources.Amount,
        candidates: Sequence[Candidate],
        *,
        pressing: bool,
    ) -> Candidate | None:
        """Returns the candidate with the least left over."""
        del pressing
        return min(candidates, key=lambda one: _left_over(need, one))


class LeastInterference(Placement):
    """Keeps services within their target, then fills workers.

    A task that would bring each candidate's service over its target waits,
    unless it is pressing.
    """

    def __init__(self, target_ratio: float) -> None:
        self._target_ratio = target_ratio

    def choose(
        self,
        need: resources.Amount,
        candidates: Sequence[Candidate],
        *,
        pressing: bool,
    ) -> Candidate | None:
        """Returns the candidate with the least slowdown and slack."""

        def cost(one: Candidate) -> float:
            return one.slowdown + SLACK_WEIGHT * _left_over(need, one)

        best = min(candidates, key=cost)
        if best.slowdown > TARGET_MARGIN * self._target_ratio and not pressing:
            return None
        return best


def _left_over(need: resources.Amount, one: Candidate) -> float:
    return one.free.minus(need).dominant_share(one.capacity)


def make(name: str, target_ratio: float = math.inf) -> Placement:
    """Returns the placement policy that a setting names.

    Args:
      name: Name of the policy.
      target_ratio: Latency relative to alone that services may have.
    """
    makers: Mapping[str, Callable[[], Placement]] = {
        "first-fit": FirstFit,
        "best-fit": BestFit,
        "least-interference": lambda: LeastInterference(target_ratio),
    }
    return makers[name]()
