"""Tells workers that have crashed from those that have only lost touch.

A worker that is cut off answers nothing, as one that has crashed, and runs on: its
runs end with their leases. The list of workers goes by another path, and drops an
entry soon after its worker has stopped.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, NamedTuple

from wisterialug_core.workflow import model

if TYPE_CHECKING:
    from collections.abc import Collection

# A worker that is neither listed nor answers for this long does not come back
# soon; entries that a store's outage has removed are back earlier.
GONE_AFTER_S = 10.0


class Fate(enum.Enum):
    """What is known of a worker that fell silent under runs."""

    OPEN = "open"
    # It has not restarted since.
    RAN_ON = "ran on"
    CRASHED = "crashed"
    # Neither listed nor heard of: crashed, or cut off from everything.
    GONE = "gone"


class Sighting(NamedTuple):
    """What an owner sees of a worker that fell silent.

    Attributes:
      listed: The incarnation in the list of workers; None if there is none.
      list_read_s: When the owner asked for the list that it has.
      answered_s: When the worker has last answered; 0 if it has not.
      restarted: Another incarnation has answered in its place.
    """

    listed: model.Incarnation | None
    list_read_s: float
    answered_s: float = 0.0
    restarted: bool = False


@dataclasses.dataclass(slots=True)
class _Loss:
    since_s: float
    unlisted_since_s: float = 0.0


class WorkerLosses:
    """Workers that fell silent under runs, until it is known why.

    Args:
      unlisted_after_s: The longest that the list keeps a crashed worker.
    """

    def __init__(self, unlisted_after_s: float) -> None:
        self._unlisted_after_s = unlisted_after_s
        self._losses: dict[str, _Loss] = {}

    def judge(self, worker: str, seen: Sighting, now_s: float) -> Fate:
        """Returns what is known of a worker; its first call begins its loss.

        Args:
          worker: Incarnation of the worker.
          seen: What is seen of it now.
          now_s: Monotonic time.
        """
        loss = self._losses.setdefault(worker, _Loss(now_s))
        if seen.restarted or (
            seen.listed is not None
            and seen.listed != worker
            and model.born_ms(seen.listed) >= model.born_ms(worker)
        ):
            return Fate.CRASHED
        if seen.answered_s > loss.since_s:
            return Fate.RAN_ON
        if seen.listed == worker:
            loss.unlisted_since_s = 0.0
            listed_s = seen.list_read_s - loss.since_s
            return (
                Fate.RAN_ON if listed_s > self._unlisted_after_s else Fate.OPEN
            )
        loss.unlisted_since_s = loss.unlisted_since_s or now_s
        unlisted_s = seen.list_read_s - loss.unlisted_since_s
        return Fate.GONE if unlisted_s > GONE_AFTER_S else Fate.OPEN

    def keep(self, workers: Collection[str]) -> None:
        """Forgets all but these workers."""
        self._losses = {
            worker: loss
            for worker, loss in self._losses.items()
            if worker in workers
        }
