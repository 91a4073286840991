"""Session leases that VMs hold in the table service.

The holder counts its lease from the moment it sent the renewal.  An
observer counts from its own first read of an unchanged row, and starts
over when a read fails.  So no clocks are compared between VMs, and no
session lapses because of an outage of the table service.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisterialug_core import ids

# Fraction of a lease kept as a margin for clock drift.
DRIFT_MARGIN_RATIO = 0.1


def lapse_after_s(lease_s: float) -> float:
    """Returns how long an observer must see no renewal of a session."""
    return lease_s * (1 + DRIFT_MARGIN_RATIO)


@dataclasses.dataclass
class OwnSession:
    """The session that this VM holds."""

    lease_s: float
    valid_until: float = float("-inf")
    ended: bool = False

    def mark_renewed(self, sent_at: float) -> None:
        """Extends the lease by a renewal that the table service confirmed."""
        if not self.ended:
            usable_s = self.lease_s * (1 - DRIFT_MARGIN_RATIO)
            self.valid_until = max(self.valid_until, sent_at + usable_s)

    def mark_ended(self) -> None:
        """Marks the session as ended by another VM."""
        self.ended = True
        self.valid_until = float("-inf")

    def valid(self, now: float) -> bool:
        """Returns whether the lease still holds, clock drift allowed for."""
        return now < self.valid_until


@dataclasses.dataclass
class _Observation:
    version: int
    since: float


class SessionWatch:
    """Detects sessions that their holders no longer renew."""

    def __init__(self, lease_s: float) -> None:
        self._lapse_after_s = lapse_after_s(lease_s)
        self._seen: dict[ids.SessionId, _Observation] = {}
        self._last_read: float | None = None

    def observe(
        self, versions: Mapping[ids.SessionId, int], sent_at: float, now: float
    ) -> None:
        """Records a read of all sessions; a long gap restarts observation.

        Args:
          versions: Row version by session.
          sent_at: When the read was sent, monotonic seconds.
          now: When the answer came.
        """
        if self._last_read is not None and (
            sent_at - self._last_read > self._lapse_after_s / 2
        ):
            self._seen.clear()
        self._last_read = now
        for session in self._seen.keys() - versions.keys():
            del self._seen[session]
        for session, version in versions.items():
            seen = self._seen.get(session)
            if seen is None or seen.version != version:
                self._seen[session] = _Observation(version, now)

    def read_failed(self) -> None:
        """Restarts all observations after a failed read."""
        self._seen.clear()
        self._last_read = None

    def lapsed(self, session: ids.SessionId, sent_at: float) -> bool:
        """Returns whether the session had lapsed when a read was sent."""
        seen = self._seen.get(session)
        return seen is not None and sent_at - seen.since >= self._lapse_after_s
