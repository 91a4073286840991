"""Stateful fuzzing of sessions, roster and slots of one data centre.

Three VMs run the real Presence over a table with faults.  The oracle counts
the requests that each instance has in flight, from all VMs.
"""

import dataclasses
from unittest import mock

import result
import testtools
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from tests import machine
from wisterialug_core.decisions import roster
from wisterialug_daemon import errors, events, presence
from wisterialug_daemon.adapters import table as table_lib

SEED = 4
EXAMPLES = 200
STEPS = 60
SLOTS = 8
INSTANCES = ("i1", "i2")
NAMES = ("vm-1", "vm-2", "vm-3")
VMS = st.sampled_from(NAMES)
LEASE_S = 5.0
GRANT_S = 3.0
REQUEST_S = 2.0


class Table:
    """Table rows shared by all VMs."""

    def __init__(self):
        self.rows = {}
        self.version = 0


class Client:
    """One VM's table client."""

    def __init__(self, table):
        self.table = table
        self.down = False
        self.lose_answer = False

    def scan(self, prefix, *, urgent=False):
        del urgent
        if self.down:
            return result.Err(errors.TableUnreachableError("down"))
        return result.Ok(
            [
                table_lib.Row(key, version, b"", value)
                for key, (version, value) in sorted(self.table.rows.items())
                if key.startswith(prefix)
            ]
        )

    def read_one(self, key, *, urgent=False):
        del urgent
        if self.down:
            return result.Err(errors.TableUnreachableError("down"))
        version, value = self.table.rows.get(key, (0, None))
        return result.Ok(table_lib.Row(key, version, b"", value))

    def commit(self, transaction, retry_timeout_s, *, urgent=False):
        del retry_timeout_s, urgent
        if self.down:
            return result.Err(errors.TableUnreachableError("down"))
        for key, version in transaction.conditions:
            if self.table.rows.get(key, (0, b""))[0] != version:
                return result.Err(errors.TableConflictError("conflict"))
        self.table.version += 1
        for key, value in transaction.puts:
            self.table.rows[key] = (self.table.version, value)
        if self.lose_answer:
            return result.Err(errors.TableUnansweredError("lost"))
        return result.Ok(self.table.version)


class Members:
    """The acknowledged epochs that a VM knows of its peers."""

    def __init__(self, own_session):
        self.peer_epochs = {}
        self.table = mock.Mock()
        self.table.own.roster_epoch = 0
        self.table.own.incarnation = own_session

    def roster_epochs(self):
        return {
            **self.peer_epochs,
            self.table.own.incarnation: self.table.own.roster_epoch,
        }

    def alive_in_own_centre(self):
        return []


@dataclasses.dataclass
class Node:
    """One run of a VM."""

    vm: str
    client: Client
    members: Members
    shares: roster.SlotShares
    presence: presence.Presence
    dead: bool = False

    @property
    def session(self):
        return self.members.table.own.incarnation


@dataclasses.dataclass
class Request:
    node: Node
    instance: str
    until: float


class PresenceMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 1000.0
        clock = mock.patch.object(presence.time, "monotonic", lambda: self.now)
        clock.start()
        self.restore_clock = clock.stop
        self.table = Table()
        self.nodes = {}
        self.sessions_started = 0
        self.listed_vms = set()
        self.requests = []

    def teardown(self):
        self.restore_clock()

    def _start(self, vm):
        self.sessions_started += 1
        session = f"s{self.sessions_started}"
        client = Client(self.table)
        members = Members(session)
        shares = roster.SlotShares(session, GRANT_S, REQUEST_S)
        inventory = mock.Mock()
        inventory.has = lambda name, _: name in self.listed_vms
        vm_presence = presence.Presence(
            vm,
            session,
            "dc",
            LEASE_S,
            client,
            members,
            inventory,
            shares,
            events.EventRegistry(),
        )
        node = Node(vm, client, members, shares, vm_presence)
        vm_presence.in_flight = lambda: self._in_flight(node)
        vm_presence.slots_per_instance = SLOTS
        self.nodes[vm] = node
        self.listed_vms.add(vm)

    def _in_flight(self, node):
        in_flight = dict.fromkeys(INSTANCES, 0)
        for req in self.requests:
            if req.node is node:
                in_flight[req.instance] += 1
        return in_flight

    @initialize()
    def start_all(self):
        for vm in NAMES:
            self._start(vm)
        for _ in range(3):
            self.healthy_round()

    def _live_node(self, vm):
        node = self.nodes[vm]
        return None if node.dead else node

    @rule(vm=VMS)
    def renew(self, vm):
        if self._live_node(vm):
            self.nodes[vm].presence.renew()

    @rule(vm=VMS)
    def watch(self, vm):
        if self._live_node(vm):
            self.nodes[vm].presence.watch()

    @rule(sender=VMS, receiver=VMS, delay=st.sampled_from([0.0, 0.0, 1.0, 4.0]))
    def heartbeat(self, sender, receiver, delay):
        """Sends a heartbeat whose answer is delayed."""
        source, target = self._live_node(sender), self._live_node(receiver)
        if not source or not target or source is target:
            return
        sent_at = self.now
        target.members.peer_epochs[source.session] = max(
            target.members.peer_epochs.get(source.session, 0),
            source.members.table.own.roster_epoch,
        )
        seconds = target.shares.grant(source.session, self.now)
        epoch = target.members.table.own.roster_epoch
        self.pass_time(delay)
        if seconds:
            source.shares.on_grant(target.session, seconds, sent_at)
        source.members.peer_epochs[target.session] = max(
            source.members.peer_epochs.get(target.session, 0), epoch
        )

    @rule(vm=VMS, instance=st.sampled_from(INSTANCES), wanted=st.integers(1, 8))
    def send_requests(self, vm, instance, wanted):
        node = self._live_node(vm)
        if node is None:
            return
        for _ in range(wanted):
            if not node.presence.slots_usable():
                return
            limit = node.shares.limit(instance, SLOTS)
            if self._in_flight(node)[instance] >= limit:
                return
            self.requests.append(Request(node, instance, self.now + REQUEST_S))

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 6.0]))
    def pass_time(self, seconds):
        self.now += seconds
        self.requests = [r for r in self.requests if r.until > self.now]

    @rule(vm=VMS, down=st.booleans(), lose=st.booleans())
    def change_table_faults(self, vm, down, lose):
        self.nodes[vm].client.down = down
        self.nodes[vm].client.lose_answer = lose

    @rule(vm=VMS)
    def kill(self, vm):
        self.nodes[vm].dead = True

    @rule(vm=VMS)
    def read_vm_list(self, vm):
        if self.nodes[vm].dead:
            self.listed_vms.discard(vm)

    @rule(vm=VMS)
    def restart(self, vm):
        if self.nodes[vm].dead:
            self._start(vm)

    @rule(vm=VMS)
    def leave(self, vm):
        node = self._live_node(vm)
        if node and not any(self._in_flight(node).values()):
            node.presence.leave()
            node.dead = True

    @rule()
    def healthy_round(self):
        """Runs all VMs without faults for a second."""
        for vm in NAMES:
            self.renew(vm)
            self.watch(vm)
        for source in NAMES:
            for target in NAMES:
                self.heartbeat(source, target, 0.0)
        self.pass_time(1.0)

    @rule(vm=VMS, rounds=st.integers(2, 8))
    def isolate(self, vm, rounds):
        """Isolates a VM for a while, then sends what its limits allow."""
        node = self.nodes[vm]
        dead, node.dead = node.dead, True
        for _ in range(rounds):
            self.healthy_round()
            for name in NAMES:
                for instance in INSTANCES:
                    self.send_requests(name, instance, SLOTS)
            self.limits_are_kept()
        node.dead = dead
        for instance in INSTANCES:
            self.send_requests(vm, instance, SLOTS)

    @invariant()
    def limits_are_kept(self):
        for instance in INSTANCES:
            in_flight = sum(req.instance == instance for req in self.requests)
            assert in_flight <= SLOTS, (instance, in_flight)

    @invariant()
    def slots_are_all_assigned(self):
        """Checks that a roster known to all live VMs assigns all slots."""
        nodes = [node for node in self.nodes.values() if not node.dead]
        newest = max((node.shares.roster.epoch for node in nodes), default=0)
        if not newest or any(
            node.shares.roster.epoch != newest for node in nodes
        ):
            return
        newest_roster = nodes[0].shares.roster
        total = sum(
            roster.share(newest_roster, member.session, "i1", SLOTS)
            for member in newest_roster.members
        )
        assert total in (0, SLOTS)


class PresenceMachineTest(testtools.TestCase):
    def test_instance_limits_are_never_exceeded(self):
        machine.run(PresenceMachine, SEED, EXAMPLES, STEPS)

    def test_slots_are_reassigned_after_a_member_dies(self):
        fleet = PresenceMachine()
        self.addCleanup(fleet.teardown)
        fleet.start_all()
        for _ in range(4):
            fleet.healthy_round()
        self.assertEqual([8, 8], self._limits(fleet))
        fleet.kill("vm-1")
        for _ in range(15):
            fleet.healthy_round()
        self.assertEqual([8, 8], self._limits(fleet))

    def test_sole_member_that_missed_a_join_keeps_its_slots(self):
        # A sole member needs no valid session. The VM that joins must not
        # remove it before it has learned of the join.
        fleet = PresenceMachine()
        self.addCleanup(fleet.teardown)
        fleet._start("vm-1")
        for _ in range(4):
            self._round(fleet, "vm-1")
        sole = fleet.nodes["vm-1"]
        sole.client.down = True
        fleet._start("vm-2")
        for _ in range(15):
            self._round(fleet, "vm-1", "vm-2")
            fleet.send_requests("vm-1", "i1", SLOTS)
            fleet.send_requests("vm-2", "i1", SLOTS)
            fleet.limits_are_kept()
        # Once the VM list has dropped it, its slots are reassigned.
        sole.dead = True
        fleet.read_vm_list("vm-1")
        for _ in range(15):
            self._round(fleet, "vm-2")
        self.assertEqual(SLOTS, fleet.nodes["vm-2"].shares.limit("i1", SLOTS))

    def _round(self, fleet, *names):
        for name in names:
            fleet.renew(name)
            fleet.watch(name)
        fleet.pass_time(1.0)

    def test_paused_vm_regains_its_slots(self):
        fleet = PresenceMachine()
        self.addCleanup(fleet.teardown)
        fleet.start_all()
        for _ in range(4):
            fleet.healthy_round()
        paused = fleet.nodes["vm-1"]
        before = paused.session
        paused.dead = True
        for _ in range(15):
            fleet.healthy_round()
        paused.dead = False
        for _ in range(15):
            fleet.healthy_round()
        self.assertNotEqual(before, paused.session)
        self.assertTrue(paused.shares.limit("i1", SLOTS) > 0)
        self.assertEqual([8, 8], self._limits(fleet))

    def _limits(self, fleet):
        nodes = [n for n in fleet.nodes.values() if not n.dead]
        return [
            sum(node.shares.limit(instance, SLOTS) for node in nodes)
            for instance in INSTANCES
        ]
