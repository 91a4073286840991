"""This VM's session, its data centre's roster, and shard ownership."""

from __future__ import annotations

import hashlib
import secrets
import time
from typing import TYPE_CHECKING

from wisterialug_core.decisions import roster as roster_lib
from wisterialug_core.decisions import sessions
from wisterialug_core.schema import work_pb2
from wisterialug_daemon import errors, events, logs, metrics
from wisterialug_daemon.adapters import table as table_lib

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from wisterialug_daemon import members as members_lib
    from wisterialug_daemon import vm_inventory

# Delay before VMs other than the preferred one claim a shard.
CLAIM_GRACE_S = 0.5
RENEWALS_PER_LEASE = 3


class Presence:
    """Renews the session; tracks sessions, roster and shard owners."""

    def __init__(
        self,
        own_vm: str,
        session: str,
        data_centre: str,
        lease_s: float,
        table: table_lib.TableClient,
        members: members_lib.Members,
        inventory: vm_inventory.VmInventory,
        shares: roster_lib.SlotShares,
        registry: events.EventRegistry,
    ) -> None:
        self.session = sessions.OwnSession(lease_s)
        self.shard_rows: dict[str, tuple[int, work_pb2.ShardOwner]] = {}
        self.in_flight: Callable[[], Mapping[str, int]] = dict
        self.holds_shards: Callable[[], bool] = bool
        self.slots_per_instance = 1
        # Set once all members have acknowledged a roster with this VM.
        self.has_share = False
        self._own_vm = own_vm
        self._session_id = session
        self._lease_s = lease_s
        self._prefix = f"dc/{data_centre}/"
        self._data_centre = data_centre
        self._table = table
        self._members = members
        self._inventory = inventory
        self._shares = shares
        self._events = registry
        self._watch = sessions.SessionWatch(lease_s)
        self._session_rows: dict[str, tuple[int, work_pb2.Session]] = {}
        self._own_version = 0
        self._renewals = 0
        self._roster_version = 0
        self._unowned_since: dict[str, float] = {}
        self._leaving = False

    # Own session.

    def renew(self) -> None:
        """Renews the session; creates it on the first call.

        A VM whose session lapsed and was ended by another VM begins a new
        one once it runs no shards of the old one.
        """
        if self._leaving:
            return
        if self.session.ended:
            if self.holds_shards():
                return
            self._begin_session()
        sent_at = time.monotonic()
        self._renewals += 1
        outcome = self._put_session(ended=False, retry_for_s=self._lease_s / 2)
        if outcome.is_ok():
            self._own_version = outcome.ok_value
            self.session.mark_renewed(sent_at)
        elif isinstance(outcome.err_value, errors.TableConflictError):
            self._check_session_row()

    def _check_session_row(self) -> None:
        """Ends the session if its row says so.

        Otherwise an earlier renewal, which got no response, was written.
        """
        row = self._table.read_one(
            self._session_key(self._session_id), urgent=True
        )
        if row.is_err():
            return
        value = row.ok_value.value
        if value is not None and not work_pb2.Session.FromString(value).ended:
            self._own_version = row.ok_value.version
            return
        self.session.mark_ended()
        logs.warning("session-ended-by-another-vm", session=self._session_id)

    def _begin_session(self) -> None:
        self._session_id = secrets.token_hex(8)
        self.session = sessions.OwnSession(self._lease_s)
        self._own_version = 0
        self._renewals = 0
        self.has_share = False
        self._shares.reset(self._session_id)
        own = self._members.table.own
        own.incarnation = self._session_id
        own.started_unix_ms = int(time.time() * 1000)
        own.roster_epoch = 0
        logs.event("session-begun", session=self._session_id)

    def _put_session(self, *, ended: bool, retry_for_s: float):  # noqa: ANN202
        key = self._session_key(self._session_id)
        row = work_pb2.Session(
            vm=self._own_vm,
            session=self._session_id,
            renewals=self._renewals,
            ended=ended,
        )
        return self._table.commit(
            table_lib.Transaction(
                (table_lib.Condition(key, self._own_version),),
                ((key, row.SerializeToString()),),
            ),
            retry_for_s,
            urgent=True,
        )

    # Watching.

    def watch(self) -> None:
        """Reads the data centre's rows and updates the roster."""
        sent_at = time.monotonic()
        rows = self._table.scan(self._prefix, urgent=True)
        now = time.monotonic()
        if rows.is_err():
            self._watch.read_failed()
        else:
            self._apply_rows(rows.ok_value, sent_at, now)
            self._update_roster(sent_at)
        self.update_shares()

    def update_shares(self) -> None:
        """Acknowledges the roster; raises the share once all members have."""
        now = time.monotonic()
        epoch = self._shares.acknowledge(
            self.in_flight(), self.slots_per_instance, now
        )
        self._members.table.own.roster_epoch = epoch
        agreed = self._shares.on_peer_epochs(self._members.roster_epochs())
        self.has_share = self.has_share or (agreed and self._shares.is_member())
        metrics.ROSTER_EPOCH.set(self._shares.roster.epoch)
        usable = self.slots_usable()
        metrics.SLOTS_USABLE.set(int(usable))

    def slots_usable(self) -> bool:
        """Returns whether this VM may use its slots."""
        now = time.monotonic()
        return self._shares.usable(self.session.valid(now), now)

    def _apply_rows(
        self, rows: list[table_lib.Row], sent_at: float, now: float
    ) -> None:
        self._session_rows.clear()
        self.shard_rows.clear()
        for row in rows:
            kind, _, name = row.key.removeprefix(self._prefix).partition("/")
            if row.value is None:
                continue
            if kind == "session":
                session = work_pb2.Session.FromString(row.value)
                self._session_rows[name] = (row.version, session)
            elif kind == "shard":
                owner = work_pb2.ShardOwner.FromString(row.value)
                self.shard_rows[name] = (row.version, owner)
            elif kind == "roster":
                self._roster_version = row.version
                self._apply_roster(work_pb2.Roster.FromString(row.value), now)
        versions = {
            name: version for name, (version, _) in self._session_rows.items()
        }
        self._watch.observe(versions, sent_at, now)

    def _apply_roster(self, roster: work_pb2.Roster, now: float) -> None:
        if self._shares.update_roster(roster, now):
            members = ",".join(member.vm for member in roster.members)
            logs.event("roster-changed", epoch=roster.epoch, members=members)
            self._events.emit(events.Event.ROSTER_CHANGED)

    # Roster.

    def _update_roster(self, sent_at: float) -> None:
        """Removes lapsed members, or else joins if this VM is not a member."""
        roster = self._shares.roster
        removable = {
            member.session
            for member in roster.members
            if self._is_removable(roster, member, sent_at)
        }
        if removable:
            self._write_roster(roster_lib.without(roster, removable), removable)
        elif not self._leaving and not self._shares.is_member():
            if self.session.valid(time.monotonic()):
                self._write_roster(
                    roster_lib.with_member(
                        roster, self._own_vm, self._session_id
                    ),
                    set(),
                )

    def _is_removable(
        self,
        roster: work_pb2.Roster,
        member: work_pb2.RosterMember,
        sent_at: float,
    ) -> bool:
        if member.session == self._session_id:
            return False
        if member.vm == self._own_vm:
            # An earlier incarnation, which has ended: this one has its ports.
            return True
        version_row = self._session_rows.get(member.session)
        if version_row is None or version_row[1].ended:
            return True
        if not self._watch.lapsed(member.session, sent_at):
            return False
        acknowledged = self._members.roster_epochs().get(member.session, 0)
        return roster_lib.knows_other_member(
            roster, member, acknowledged
        ) or not self._inventory.has(member.vm, member.session)

    def _write_roster(self, roster: work_pb2.Roster, to_end: set[str]) -> None:
        key = self._prefix + "roster/all"
        conditions = [table_lib.Condition(key, self._roster_version)]
        puts = [(key, roster.SerializeToString())]
        for session in to_end:
            self._add_session_end(session, conditions, puts)
        outcome = self._table.commit(
            table_lib.Transaction(tuple(conditions), tuple(puts)),
            self._lease_s / 2,
            urgent=True,
        )
        if outcome.is_ok():
            self._roster_version = outcome.ok_value
            self._apply_roster(roster, time.monotonic())

    def _add_session_end(
        self,
        session: str,
        conditions: list[table_lib.Condition],
        puts: list[tuple[str, bytes]],
    ) -> None:
        """Adds the end of a lapsed session to a transaction."""
        current = self._session_rows.get(session)
        if current is None or current[1].ended:
            return
        version, row = current
        ended = work_pb2.Session()
        ended.CopyFrom(row)
        ended.ended = True
        conditions.append(
            table_lib.Condition(self._session_key(session), version)
        )
        puts.append((self._session_key(session), ended.SerializeToString()))

    # Shards.

    def claimable(self, shards: set[str]) -> list[str]:
        """Returns the shards that this VM should try to claim now.

        Args:
          shards: Shards that this VM does not run.
        """
        now = time.monotonic()
        if self._leaving or not self.session.valid(now):
            return []
        alive = sorted(
            record.vm for record in self._members.alive_in_own_centre()
        )
        wanted = []
        for shard in sorted(shards):
            if not self._is_unowned(shard, now):
                self._unowned_since.pop(shard, None)
                continue
            since = self._unowned_since.setdefault(shard, now)
            preferred = max(alive, key=lambda vm: _rank(vm, shard))
            if preferred == self._own_vm or now - since > CLAIM_GRACE_S:
                wanted.append(shard)
        return wanted

    def _is_unowned(self, shard: str, now: float) -> bool:
        current = self.shard_rows.get(shard)
        if current is None or not current[1].session:
            return True
        session = current[1].session
        if current[1].vm == self._own_vm:
            # Owned by an earlier session, or claimed without a response.
            return True
        row = self._session_rows.get(session)
        return row is None or row[1].ended or self._watch.lapsed(session, now)

    def claim(self, shard: str) -> tuple[int, int] | None:
        """Claims a shard; returns its epoch and row version."""
        version, owner = self.shard_rows.get(shard, (0, work_pb2.ShardOwner()))
        key = self.shard_key(shard)
        new_owner = work_pb2.ShardOwner(
            vm=self._own_vm, session=self._session_id, epoch=owner.epoch + 1
        )
        conditions = [
            table_lib.Condition(key, version),
            table_lib.Condition(
                self._session_key(self._session_id), self._own_version
            ),
        ]
        puts = [(key, new_owner.SerializeToString())]
        if owner.session and owner.session != self._session_id:
            self._add_session_end(owner.session, conditions, puts)
        outcome = self._table.commit(
            table_lib.Transaction(tuple(conditions), tuple(puts)),
            self._lease_s / 2,
            urgent=True,
        )
        if outcome.is_err():
            return None
        logs.event("shard-taken", shard=shard, epoch=new_owner.epoch)
        self.shard_rows[shard] = (outcome.ok_value, new_owner)
        self._unowned_since.pop(shard, None)
        return new_owner.epoch, outcome.ok_value

    def release_shard(self, shard: str, version: int, epoch: int) -> None:
        """Releases a shard so that another VM can claim it at once."""
        key = self.shard_key(shard)
        free = work_pb2.ShardOwner(epoch=epoch)
        self._table.commit(
            table_lib.Transaction(
                (table_lib.Condition(key, version),),
                ((key, free.SerializeToString()),),
            ),
            self._lease_s / 2,
            urgent=True,
        )
        logs.event("shard-released", shard=shard, epoch=epoch)

    def shard_key(self, shard: str) -> str:
        """Returns the table key of a shard's owner row."""
        return f"{self._prefix}shard/{shard}"

    # Leaving.

    def leave(self) -> None:
        """Leaves the roster and ends the session."""
        self._leaving = True
        if self._shares.is_member():
            self._write_roster(
                roster_lib.without(self._shares.roster, {self._session_id}),
                set(),
            )
        self._renewals += 1
        self._put_session(ended=True, retry_for_s=self._lease_s / 2)

    def stop_claiming(self) -> None:
        """Stops claiming shards, joining the roster and renewing the session."""
        self._leaving = True

    def _session_key(self, session: str) -> str:
        return f"{self._prefix}session/{session}"


def _rank(vm: str, shard: str) -> bytes:
    """Ranks a VM for a shard by rendezvous hashing."""
    return hashlib.blake2b(f"{vm}\0{shard}".encode(), digest_size=8).digest()
