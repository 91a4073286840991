"""Division of the room beside serving tasks among the fill runs of a worker.

Made for a serving load that rises while several fill runs are under way: not
all of them fit at full pace any more. Those that matter most to their jobs go
first, for the room that they take up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from wisterialug_core.workflow import fill_samples

if TYPE_CHECKING:
    from collections.abc import Mapping

# Room below which a serving image counts as full.
MIN_ROOM = 1e-3


class Demand(NamedTuple):
    """What one fill run takes up at full pace, and what that is worth.

    Attributes:
      costs: Utilisation that it adds, by serving image that it disturbs.
      value: Value of its progress to its job, per second.
    """

    costs: Mapping[str, float]
    value: float


def divide(
    room: Mapping[str, float], demands: Mapping[str, Demand]
) -> dict[str, int]:
    """Returns the paces of fill runs in percent, those that go first first.

    Args:
      room: Utilisation that each serving image leaves.
      demands: Demands of the fill runs, by name.
    """
    left = dict(room)
    paces: dict[str, int] = {}
    for name in sorted(demands, key=lambda name: _rank(room, demands[name])):
        costs = demands[name].costs
        part = 1.0
        for image, cost in costs.items():
            part = min(part, max(0.0, left[image]) / cost)
        for image, cost in costs.items():
            left[image] -= part * cost
        paces[name] = int(part * fill_samples.FULL_PERCENT)
    return paces


def _rank(room: Mapping[str, float], demand: Demand) -> float:
    """Returns the room that a run takes up for its value; the least is best."""
    used = max(
        (
            cost / max(MIN_ROOM, room[image])
            for image, cost in demand.costs.items()
        ),
        default=0.0,
    )
    return used / demand.value
