"""Heartbeats between entry VMs: liveness, loads, revisions and grants."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import eventlet

from wisterialug_core.decisions import membership
from wisterialug_core.schema import peer_pb2, work_pb2
from wisterialug_daemon import logs, metrics

if TYPE_CHECKING:
    import random

    from wisterialug_core.decisions import roster
    from wisterialug_daemon import vm_inventory
    from wisterialug_daemon.adapters import peer

# One in this many heartbeat rounds also goes to another data centre.
ROUNDS_PER_REMOTE = 2
# One in this many heartbeat rounds sends unchanged records in full.
ROUNDS_PER_FULL_DIGEST = 12
ALIVE = frozenset({membership.MemberState.ALIVE})
PRESENT = frozenset(
    {
        membership.MemberState.ALIVE,
        membership.MemberState.SUSPECT,
        membership.MemberState.LEAVING,
    }
)


class Members:
    """Exchanges the member table with peers."""

    def __init__(
        self,
        own: peer_pb2.Member,
        timeouts: membership.Timeouts,
        client: peer.PeerClient,
        inventory: vm_inventory.VmInventory,
        shares: roster.SlotShares,
        rng: random.Random,
    ) -> None:
        self.table = membership.MemberTable(own, timeouts, time.monotonic())
        self._timeouts = timeouts
        self._client = client
        self._inventory = inventory
        self._shares = shares
        self._rng = rng
        self._round = 0
        self._states: dict[str, membership.MemberState] = {}

    def on_vm_list_read(self) -> None:
        """Updates members and their addresses from the VM list."""
        vms = self._inventory.of_role(work_pb2.VM_ROLE_ENTRY)
        records = [
            peer_pb2.Member(
                vm=vm.id,
                data_centre=vm.data_centre,
                ip=vm.ip,
                peer_port=vm.port,
                leaving=vm.state == work_pb2.VM_STATE_LEAVING,
            )
            for vm in vms
            if vm.id != self.table.own.vm
        ]
        self.table.apply_vm_list(records, time.monotonic())
        self._client.close_unused(
            {self.table.address(r.vm) for r in self.table.records()}
        )

    def exchange_round(self) -> None:
        """Sends heartbeats to local peers and periodically to a remote one."""
        now = time.monotonic()
        self.table.increment_sequence(now)
        targets = self.table.local_targets()
        self._round += 1
        if self._round % ROUNDS_PER_REMOTE == 0:
            remote = self.table.remote_target(now, self._rng)
            if remote is not None:
                targets.append(remote)
        for record in targets:
            eventlet.spawn(self._exchange, record)
        self._report(now)

    def on_exchange(
        self, req: peer_pb2.ExchangeRequest
    ) -> peer_pb2.ExchangeResponse:
        """Answers a peer's heartbeat."""
        now = time.monotonic()
        self.table.merge(req.members, now)
        self.table.merge_beats(req.beats, now)
        grant_s = 0.0
        if req.data_centre == self.table.own.data_centre:
            grant_s = self._shares.grant(req.incarnation, now)
        digest = self._digest(req.data_centre, now)
        return peer_pb2.ExchangeResponse(
            members=digest.members,
            beats=digest.beats,
            grant_ms=int(grant_s * 1000),
        )

    def on_members(
        self, req: peer_pb2.MembersRequest
    ) -> peer_pb2.MembersResponse:
        """Returns the member records of this data centre."""
        del req
        own_centre = self.table.own.data_centre
        return peer_pb2.MembersResponse(
            members=self.table.reports(own_centre, time.monotonic())
        )

    def member_count(self) -> int:
        """Returns the number of entry VMs not dead, this one included."""
        return 1 + len(self.table.peers(time.monotonic(), PRESENT))

    def alive_in_own_centre(self) -> list[peer_pb2.Member]:
        """Returns the live members of this data centre, this VM included."""
        now = time.monotonic()
        own_centre = self.table.own.data_centre
        return [
            record
            for record in self.table.records(own_centre)
            if self.table.state(record.vm, now) is membership.MemberState.ALIVE
        ]

    def roster_epochs(self) -> dict[str, int]:
        """Returns the acknowledged roster epoch of each local session."""
        own_centre = self.table.own.data_centre
        return {
            record.incarnation: record.roster_epoch
            for record in self.table.records(own_centre)
        }

    def call(
        self,
        record: peer_pb2.Member,
        name: str,
        req: object,
        timeout_s: float,
    ) -> object:
        """Calls an RPC method of a member."""
        address = self.table.address(record.vm) or (
            record.ip,
            record.peer_port,
        )
        return self._client.call(address, name, req, timeout_s)

    def _exchange(self, record: peer_pb2.Member) -> None:
        sent_at = time.monotonic()
        digest = self._digest(record.data_centre, sent_at)
        req = peer_pb2.ExchangeRequest(
            members=digest.members,
            beats=digest.beats,
            data_centre=self.table.own.data_centre,
            incarnation=self.table.own.incarnation,
        )
        outcome = self.call(record, "Exchange", req, self._timeouts.suspect_s)
        if outcome.is_err():
            return
        resp = outcome.ok_value
        self.table.merge(resp.members, time.monotonic())
        self.table.merge_beats(resp.beats, time.monotonic())
        known = self.table.record(record.vm)
        if resp.grant_ms and known is not None:
            self._shares.on_grant(
                known.incarnation, resp.grant_ms / 1000, sent_at
            )

    def _digest(self, receiver_centre: str, now: float) -> membership.Digest:
        full = self._round % ROUNDS_PER_FULL_DIGEST == 0
        return self.table.digest(receiver_centre, now, full=full)

    def _report(self, now: float) -> None:
        """Counts members by state and logs changes."""
        counts = dict.fromkeys(membership.MemberState, 0)
        states = {
            record.vm: self.table.state(record.vm, now)
            for record in self.table.records()
        }
        for vm, state in states.items():
            counts[state] += 1
            if self._states.get(vm, state) is not state:
                logs.event("member-state", member=vm, state=state.value)
        self._states = states
        for state, count in counts.items():
            metrics.MEMBERS.labels(state.value).set(count)
