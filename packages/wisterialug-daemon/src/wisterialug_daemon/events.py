"""Events between the components of one VM."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Event(enum.Enum):
    """Events to which listeners can be connected."""

    CONFIG_APPLIED = "config-applied"
    VM_LIST_READ = "vm-list-read"
    ROSTER_CHANGED = "roster-changed"
    DRAINING = "draining"


class EventRegistry:
    """Calls listeners in the order in which they were connected."""

    def __init__(self) -> None:
        self._listeners: dict[Event, list[Callable[[], None]]] = (
            collections.defaultdict(list)
        )

    def connect(self, event: Event, listener: Callable[[], None]) -> None:
        """Adds a listener to an event."""
        self._listeners[event].append(listener)

    def emit(self, event: Event) -> None:
        """Calls all listeners of an event."""
        for listener in self._listeners[event]:
            listener()
