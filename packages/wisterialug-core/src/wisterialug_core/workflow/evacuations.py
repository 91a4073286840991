"""Data centres that an operator has taken out of service.

Made for a data centre that is emptied under load and taken back: its workers
look ready all the while, so that only this tells them from the others.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Changes:
    """Evacuations that an operator has begun or ended.

    Attributes:
      begun: Data centres taken out of service.
      ended: Data centres taken back.
      complete: `begun` is the whole list, not only what changed.
      version: Version of the store that it was read at.
    """

    begun: frozenset[str]
    ended: frozenset[str]
    complete: bool
    version: int


@dataclasses.dataclass(frozen=True)
class Evacuations:
    """The data centres that get no new runs.

    Attributes:
      version: Version of the store that they were read at.
      known: They are known; if not, any data centre may be out of service.
    """

    data_centres: frozenset[str] = frozenset()
    version: int = 0
    known: bool = True

    def covers(self, data_centre: str) -> bool:
        """Returns whether no run may start in a data centre."""
        return not self.known or data_centre in self.data_centres

    def apply(self, changes: Changes) -> Evacuations:
        """Returns the evacuations after changes; older ones are ignored."""
        if changes.version < self.version:
            return self
        if changes.complete:
            data_centres = changes.begun
        elif self.known:
            data_centres = (self.data_centres - changes.ended) | changes.begun
        else:
            return self
        return Evacuations(data_centres, changes.version)


NONE = Evacuations()
UNKNOWN = Evacuations(known=False)
