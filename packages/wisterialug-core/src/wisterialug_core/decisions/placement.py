"""Choice of a worker for a task."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from wisterialug_core.decisions import resources

# How much slack on a worker counts against a unit of predicted slowdown.
SLACK_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A worker that has room for the task."""

    worker: str
    free: resources.Amount
    capacity: resources.Amount
    services: tuple[str, ...] = ()
    load: float = 0.0


class Placement(abc.ABC):
    """Chooses one of the workers that have room."""

    @abc.abstractmethod
    def choose(
        self,
        need: resources.Amount,
        kind: str,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        """Returns one of the candidates, which are at least one.

        Args:
          need: What the task takes.
          kind: Kind of batch work, as the job names it.
          candidates: Workers with enough room, ordered by id.
        """


class FirstFit(Placement):
    """Takes the first worker with room."""

    def choose(
        self,
        need: resources.Amount,
        kind: str,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        """Returns the first candidate."""
        del need, kind
        return candidates[0]


class BestFit(Placement):
    """Takes the worker that the task fills most, by dominant resource."""

    def choose(
        self,
        need: resources.Amount,
        kind: str,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        """Returns the candidate with the least left over."""
        del kind
        return min(candidates, key=lambda one: _left_over(need, one))


class LeastInterference(Placement):
    """Takes the worker whose services the task is predicted to slow least."""

    def __init__(self, predict: Callable[[str, str, float], float]) -> None:
        self._predict = predict

    def choose(
        self,
        need: resources.Amount,
        kind: str,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        """Returns the candidate with the least slowdown, then the fullest."""

        def cost(one: Candidate) -> float:
            slowdown = sum(
                self._predict(service, kind, one.load) - 1.0
                for service in one.services
            )
            return slowdown + SLACK_WEIGHT * _left_over(need, one)

        return min(candidates, key=cost)


def _left_over(need: resources.Amount, one: Candidate) -> float:
    return one.free.minus(need).dominant_share(one.capacity)


def _no_interference(service: str, kind: str, load: float) -> float:
    del service, kind, load
    return 1.0


def make(
    name: str,
    predict: Callable[[str, str, float], float] = _no_interference,
) -> Placement:
    """Returns the placement policy that a setting names."""
    makers: Mapping[str, Callable[[], Placement]] = {
        "first-fit": FirstFit,
        "best-fit": BestFit,
        "least-interference": lambda: LeastInterference(predict),
    }
    return makers[name]()
