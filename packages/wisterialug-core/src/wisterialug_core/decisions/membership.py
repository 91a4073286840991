"""Membership of entry VMs: gossiped heartbeats and failure detection.

Each member increments its own sequence number; records of one incarnation
are merged by the highest sequence, so that loss, duplication and reordering
of messages do no harm.  A silent member is first suspected and later
declared dead; any later heartbeat refutes both.  Records passed on by a peer
carry how long the member has been silent, so that members detect a failure
at the same time whichever way they heard last.
"""

from __future__ import annotations

import dataclasses
import enum
import math
import zlib
from typing import TYPE_CHECKING

from wisterialug_core.schema import peer_pb2

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from wisterialug_core import ids


# How long records of other data centres are relayed to local peers.
REMOTE_RELAY_S = 1.0
# How long a changed record is sent in full instead of as a beat.
FULL_RECORD_S = 2.0


class MemberState(enum.Enum):
    """State of a member as seen by this VM."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Timeouts:
    """Silence, in seconds, after which a member changes state."""

    suspect_s: float
    dead_s: float


@dataclasses.dataclass(frozen=True)
class Digest:
    """Content of a gossip message: full records, or beats if unchanged."""

    members: list[peer_pb2.Member]
    beats: list[peer_pb2.Beat]


@dataclasses.dataclass
class _Entry:
    record: peer_pb2.Member
    # When the member sent the newest sequence, by this VM's clock.
    heard_at: float
    # When the newest sequence reached this VM, from the member or a peer.
    received_at: float
    # When anything but the sequence last changed.
    changed_at: float = 0.0
    # Peer address according to the VM list.
    listed_address: tuple[str, int] | None = None

    def mark_heard(self, heard_at: float, now: float) -> None:
        """Records the arrival of a newer sequence."""
        self.heard_at = max(self.heard_at, heard_at)
        self.received_at = now


class MemberTable:
    """The members known to one VM, itself included."""

    def __init__(
        self, own: peer_pb2.Member, timeouts: Timeouts, now: float
    ) -> None:
        self.own = own
        self._timeouts = timeouts
        self._entries: dict[ids.VmId, _Entry] = {
            own.vm: _Entry(own, now, now, now)
        }
        self._own_content = b""

    def increment_sequence(self, now: float) -> None:
        """Increments the own sequence, before the own record is sent."""
        sequence, self.own.sequence = self.own.sequence, 0
        content = self.own.SerializeToString()
        self.own.sequence = sequence + 1
        if content != self._own_content:
            self._own_content = content
            self._entries[self.own.vm].changed_at = now

    def merge(self, records: Iterable[peer_pb2.Member], now: float) -> None:
        """Merges records received from a peer."""
        for record in records:
            if record.vm == self.own.vm:
                self._raise_own_sequence(record)
                continue
            entry = self._entries.get(record.vm)
            heard_at = _heard_at(record, now)
            record.silence_ms = 0
            if entry is None:
                self._entries[record.vm] = _Entry(record, heard_at, now, now)
            elif _newer(record, entry.record):
                entry.record.sequence = record.sequence
                if entry.record != record:
                    entry.record = record
                    entry.changed_at = now
                entry.mark_heard(heard_at, now)

    def merge_beats(self, beats: Iterable[peer_pb2.Beat], now: float) -> None:
        """Merges beats of members whose records have not changed."""
        for beat in beats:
            entry = self._entries.get(beat.vm)
            if entry is None or beat.vm == self.own.vm:
                continue
            record = entry.record
            if beat.life == _life(record) and record.sequence < beat.sequence:
                record.sequence = beat.sequence
                entry.mark_heard(_heard_at(beat, now), now)

    def apply_vm_list(self, vms: Iterable[peer_pb2.Member], now: float) -> None:
        """Sets addresses from the VM list; drops dead unlisted members.

        Args:
          vms: Records made from the VM list, with sequence 0.
          now: Monotonic time in seconds.
        """
        listed = {record.vm: record for record in vms}
        for vm, entry in list(self._entries.items()):
            if vm not in listed:
                entry.listed_address = None
            if (
                vm != self.own.vm
                and vm not in listed
                and self.state(vm, now) is MemberState.DEAD
            ):
                del self._entries[vm]
        for vm, record in listed.items():
            entry = self._entries.get(vm)
            if entry is None:
                entry = self._entries[vm] = _Entry(record, now, now)
            elif entry.record.sequence == 0:
                entry.record = record
            entry.listed_address = (record.ip, record.peer_port)

    def state(self, vm: ids.VmId, now: float) -> MemberState:
        """Returns the state of a member at a time."""
        entry = self._entries.get(vm)
        if entry is None:
            return MemberState.DEAD
        silence = now - entry.heard_at
        if vm != self.own.vm and silence >= self._timeouts.dead_s:
            return MemberState.DEAD
        if entry.record.leaving:
            return MemberState.LEAVING
        if vm != self.own.vm and silence >= self._timeouts.suspect_s:
            return MemberState.SUSPECT
        return MemberState.ALIVE

    def address(self, vm: ids.VmId) -> tuple[str, int] | None:
        """Returns a member's peer address; the VM list takes precedence."""
        entry = self._entries.get(vm)
        if entry is None:
            return None
        advertised = (entry.record.ip, entry.record.peer_port)
        return entry.listed_address or advertised

    def record(self, vm: ids.VmId) -> peer_pb2.Member | None:
        """Returns the newest record of a member."""
        entry = self._entries.get(vm)
        return None if entry is None else entry.record

    def records(self, data_centre: str | None = None) -> list[peer_pb2.Member]:
        """Returns the records of all members, or of one data centre."""
        return [
            entry.record
            for entry in self._entries.values()
            if data_centre in (None, entry.record.data_centre)
        ]

    def reports(self, data_centre: str, now: float) -> list[peer_pb2.Member]:
        """Returns copies of a data centre's records to send to a peer."""
        return [
            self._report(entry, now)
            for entry in self._entries.values()
            if entry.record.data_centre == data_centre
        ]

    def peers(
        self, now: float, states: frozenset[MemberState]
    ) -> list[peer_pb2.Member]:
        """Returns the records of other members in the given states."""
        return [
            entry.record
            for vm, entry in self._entries.items()
            if vm != self.own.vm and self.state(vm, now) in states
        ]

    def local_targets(self) -> list[peer_pb2.Member]:
        """Returns the peers of the own data centre, dead ones included."""
        return [
            record
            for record in self.records(self.own.data_centre)
            if record.vm != self.own.vm
        ]

    def remote_target(
        self, now: float, rng: random.Random
    ) -> peer_pb2.Member | None:
        """Picks a random member of a random other data centre.

        With one remote target a round, a VM's traffic does not grow with
        the number of data centres.
        """
        by_centre: dict[str, list[peer_pb2.Member]] = {}
        for record in self.records():
            if record.data_centre != self.own.data_centre:
                by_centre.setdefault(record.data_centre, []).append(record)
        if not by_centre:
            return None
        members = by_centre[rng.choice(sorted(by_centre))]
        alive = [
            record
            for record in members
            if self.state(record.vm, now) is not MemberState.DEAD
        ]
        return rng.choice(alive or members)

    def digest(
        self, peer_data_centre: str, now: float, *, full: bool = False
    ) -> Digest:
        """Returns the records and beats to send to a peer.

        A remote peer gets the members of the own data centre; a local peer
        also gets recently heard members of others.  Records that have not
        changed for a while are sent as beats.

        Args:
          peer_data_centre: Data centre of the peer.
          now: Monotonic time in seconds.
          full: Whether unchanged records are sent in full too.
        """
        digest = Digest([], [])
        for entry in self._entries.values():
            record = entry.record
            if record.data_centre != self.own.data_centre and (
                peer_data_centre != self.own.data_centre
                or now - entry.received_at > REMOTE_RELAY_S
            ):
                continue
            if full or now - entry.changed_at <= FULL_RECORD_S:
                digest.members.append(self._report(entry, now))
            elif record.sequence:
                digest.beats.append(
                    peer_pb2.Beat(
                        vm=record.vm,
                        life=_life(record),
                        sequence=record.sequence,
                        silence_ms=self._silence_ms(entry, now),
                    )
                )
        return digest

    def _report(self, entry: _Entry, now: float) -> peer_pb2.Member:
        report = peer_pb2.Member()
        report.CopyFrom(entry.record)
        report.silence_ms = self._silence_ms(entry, now)
        return report

    def _silence_ms(self, entry: _Entry, now: float) -> int:
        """Returns a member's silence, rounded up: never fresher than here."""
        if entry.record is self.own:
            return 0
        return math.ceil((now - entry.heard_at) * 1000)

    def _raise_own_sequence(self, record: peer_pb2.Member) -> None:
        """Keeps the own sequence from falling behind what peers have seen."""
        if record.incarnation == self.own.incarnation:
            self.own.sequence = max(self.own.sequence, record.sequence)


def _heard_at(news: peer_pb2.Member | peer_pb2.Beat, now: float) -> float:
    return now - news.silence_ms / 1000


def _life(record: peer_pb2.Member) -> int:
    return zlib.crc32(record.incarnation.encode())


def _newer(record: peer_pb2.Member, held: peer_pb2.Member) -> bool:
    if record.sequence == 0:
        return False
    if record.incarnation == held.incarnation or held.sequence == 0:
        return record.sequence > held.sequence
    return (record.started_unix_ms, record.incarnation) > (
        held.started_unix_ms,
        held.incarnation,
    )
