"""Faults of calls to emulated workers."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping


class OrderFault(enum.Enum):
    """What happens to one call."""

    # Carried out seconds later, without a reply.
    LATE = "late"
    # Never carried out, without a reply.
    LOST = "lost"
    # Carried out at once, without a reply.
    UNANSWERED = "unanswered"
    # Carried out at once, with a reply, and again seconds later.
    REPEATED = "repeated"
    # Not carried out, and the reply says so.
    REFUSED = "refused"
    # The same for a start, for want of room.
    NO_ROOM = "no room"


def draw(
    rates: Mapping[OrderFault, float], rng: random.Random
) -> OrderFault | None:
    """Draws the fault of one call; None for a call without one.

    Args:
      rates: Fraction of calls with each fault; at most 1 in all.
      rng: Source of the draw.
    """
    number = rng.random()
    for fault, rate in rates.items():
        if number < rate:
            return fault
        number -= rate
    return None
