"""Division of each instance's slots among a data centre's entry VMs.

The roster is a row of the table service with an increasing epoch.  Until
every other member has acknowledged the newest epoch, a VM uses at most the
smallest share of all epochs that it has seen; only then may its share grow.
So the shares of all VMs never add up to more than an instance has,
whichever epoch each of them knows.
"""

from __future__ import annotations

import dataclasses
import hashlib
from typing import TYPE_CHECKING

from wisterialug_core.schema import work_pb2

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisterialug_core import ids


def share(
    roster: work_pb2.Roster, session: ids.SessionId, instance: str, slots: int
) -> int:
    """Returns how many of an instance's slots a session has in a roster.

    Slots are assigned in turn, from a member that depends on the instance,
    so that the remainders are spread over the members.
    """
    sessions = [
        member.session
        for member in sorted(roster.members, key=lambda m: m.place)
    ]
    if session not in sessions:
        return 0
    count = len(sessions)
    digest = hashlib.blake2b(instance.encode(), digest_size=4).digest()
    offset = int.from_bytes(digest, "big") % count
    place = (sessions.index(session) - offset) % count
    return slots // count + (1 if place < slots % count else 0)


def with_member(
    roster: work_pb2.Roster, vm: ids.VmId, session: ids.SessionId
) -> work_pb2.Roster:
    """Returns the next roster, with a member added at the first free place."""
    new = work_pb2.Roster(epoch=roster.epoch + 1, members=roster.members)
    taken = {member.place for member in new.members}
    place = next(n for n in range(len(taken) + 1) if n not in taken)
    new.members.add(vm=vm, session=session, place=place, joined_epoch=new.epoch)
    return new


def without(
    roster: work_pb2.Roster, sessions: set[ids.SessionId]
) -> work_pb2.Roster:
    """Returns the next roster, without the given sessions."""
    kept = [m for m in roster.members if m.session not in sessions]
    return work_pb2.Roster(epoch=roster.epoch + 1, members=kept)


def knows_other_member(
    roster: work_pb2.Roster, member: work_pb2.RosterMember, acknowledged: int
) -> bool:
    """Returns whether a member cannot take itself for the sole member.

    A sole member uses its slots without a valid session. A member that cannot
    read the table may not have seen that others have joined.

    Args:
      roster: The newest roster.
      member: One of its members.
      acknowledged: Highest epoch that the member is known to have
        acknowledged; 0 if unknown.
    """
    seen_epoch = max(acknowledged, member.joined_epoch)
    return any(
        other.session != member.session and other.joined_epoch <= seen_epoch
        for other in roster.members
    )


@dataclasses.dataclass
class _Quarantine:
    """A period in which a removed member may still use its slots."""

    epoch: int
    until: float


class SlotShares:
    """The slots of each instance that this VM may use now."""

    def __init__(
        self, session: ids.SessionId, grant_s: float, quarantine_s: float
    ) -> None:
        self._grant_s = grant_s
        self._quarantine_s = quarantine_s
        self.reset(session)

    def reset(self, session: ids.SessionId) -> None:
        """Starts over as a new session, which has no slots yet."""
        self._session = session
        self._roster = work_pb2.Roster()
        # The smallest share among these rosters is this VM's limit.
        self._limiting_rosters: list[work_pb2.Roster] = [work_pb2.Roster()]
        self._granted: dict[ids.SessionId, float] = {}
        self._received: dict[ids.SessionId, float] = {}
        self._quarantines: list[_Quarantine] = []
        self._acknowledged = 0
        self._limits: dict[tuple[str, int], int] = {}

    @property
    def roster(self) -> work_pb2.Roster:
        """The newest roster known."""
        return self._roster

    @property
    def acknowledged_epoch(self) -> int:
        """The newest epoch that this VM acknowledges to its peers."""
        return self._acknowledged

    def update_roster(self, roster: work_pb2.Roster, now: float) -> bool:
        """Applies a roster read from the table; ignores older ones."""
        if roster.epoch <= self._roster.epoch:
            return False
        kept = {member.session for member in roster.members}
        for member in self._roster.members:
            if member.session in kept or member.session == self._session:
                continue
            until = max(now, self._granted.get(member.session, now))
            self._quarantines.append(
                _Quarantine(roster.epoch, until + self._quarantine_s)
            )
        self._roster = roster
        self._limiting_rosters.append(roster)
        self._limits.clear()
        return True

    def is_member(self) -> bool:
        """Returns whether the newest roster has this VM's session."""
        return any(
            member.session == self._session for member in self._roster.members
        )

    def limit(self, instance: str, slots: int) -> int:
        """Returns how many slots of an instance this VM may use."""
        limit = self._limits.get((instance, slots))
        if limit is None:
            limit = min(
                share(roster, self._session, instance, slots)
                for roster in self._limiting_rosters
            )
            self._limits[instance, slots] = limit
        return limit

    def acknowledge(
        self, in_flight: Mapping[str, int], slots: int, now: float
    ) -> int:
        """Acknowledges the newest epoch once this VM complies with it.

        Args:
          in_flight: Requests in flight of this VM by instance.
          slots: Slots of each instance.
          now: Monotonic time in seconds.

        Returns:
          The newest acknowledged epoch.
        """
        self._quarantines = [q for q in self._quarantines if q.until > now]
        blocked = bool(self._quarantines) or any(
            count > self.limit(instance, slots)
            for instance, count in in_flight.items()
        )
        if not blocked:
            self._acknowledged = self._roster.epoch
        return self._acknowledged

    def on_peer_epochs(self, epochs: Mapping[ids.SessionId, int]) -> bool:
        """Drops older rosters' limits once all members acknowledge the newest.

        Args:
          epochs: Highest acknowledged epoch by session.

        Returns:
          Whether all members have acknowledged the newest epoch.
        """
        if self._acknowledged < self._roster.epoch:
            return False
        for member in self._roster.members:
            if member.session == self._session:
                continue
            if epochs.get(member.session, 0) < self._roster.epoch:
                return False
        if len(self._limiting_rosters) > 1:
            self._limiting_rosters = [self._roster]
            self._limits.clear()
        return True

    def grant(self, session: ids.SessionId, now: float) -> float:
        """Grants a member its slots; returns the duration in seconds."""
        members = {member.session for member in self._roster.members}
        if session not in members or self._session not in members:
            return 0.0
        self._granted[session] = now + self._grant_s
        return self._grant_s

    def on_grant(
        self, session: ids.SessionId, seconds: float, sent_at: float
    ) -> None:
        """Records a peer's grant, which counts from when it was asked for."""
        until = sent_at + seconds
        self._received[session] = max(until, self._received.get(session, until))

    def usable(self, session_valid: bool, now: float) -> bool:
        """Returns whether this VM's slots cannot have been reassigned.

        A member is removed only after its session and all grants that the
        other members gave it have expired.  A member that may take itself for
        the sole one is removed only when the VM list no longer has it.
        """
        if not self.is_member():
            return False
        if session_valid or len(self._roster.members) == 1:
            return True
        members = {member.session for member in self._roster.members}
        return any(
            until > now
            for session, until in self._received.items()
            if session in members
        )
