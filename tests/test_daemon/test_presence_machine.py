"""Stateful fuzzing of sessions, roster and slots of one data centre.

Three VMs run the real Presence over a table with faults.  The oracle counts
the requests that each instance has in flight, whoever sent them.
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
    """One table for all VMs."""

    def __init__(self):
        self.rows = {}
        self.version = 0


class Client:
    """One VM's client of the table."""

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
    """What a VM has heard of the others' acknowledged epochs."""

    def __init__(self, own_session):
        self.heard = {}
        self.table = mock.Mock()
        self.table.own.roster_epoch = 0
        self.table.own.incarnation = own_session

    def roster_epochs(self):
        return {
            **self.heard,
            self.table.own.incarnation: self.table.own.roster_epoch,
        }

    def alive_in_own_centre(self):
        return []


@dataclasses.dataclass
class Life:
    """One life of a VM."""

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
    life: Life
    instance: str
    until: float


class PresenceMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 1000.0
        clock = mock.patch.object(presence.time, "monotonic", lambda: self.now)
        clock.start()
        self.undo = clock.stop
        self.table = Table()
        self.lives = {}
        self.count = 0
        self.listed = set()
        self.requests = []

    def teardown(self):
        self.undo()

    def _start(self, vm):
        self.count += 1
        session = f"s{self.count}"
        client = Client(self.table)
        members = Members(session)
        shares = roster.SlotShares(session, GRANT_S, REQUEST_S)
        inventory = mock.Mock()
        inventory.has = lambda name, _: name in self.listed
        one = presence.Presence(
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
        life = Life(vm, client, members, shares, one)
        one.in_flight = lambda: self._held(life)
        one.slots_per_instance = SLOTS
        self.lives[vm] = life
        self.listed.add(vm)

    def _held(self, life):
        held = dict.fromkeys(INSTANCES, 0)
        for req in self.requests:
            if req.life is life:
                held[req.instance] += 1
        return held

    @initialize()
    def begin(self):
        for vm in NAMES:
            self._start(vm)
        for _ in range(3):
            self.calm_round()

    def _live(self, vm):
        life = self.lives[vm]
        return None if life.dead else life

    @rule(vm=VMS)
    def renew(self, vm):
        if self._live(vm):
            self.lives[vm].presence.renew()

    @rule(vm=VMS)
    def watch(self, vm):
        if self._live(vm):
            self.lives[vm].presence.watch()

    @rule(sender=VMS, receiver=VMS, delay=st.sampled_from([0.0, 0.0, 1.0, 4.0]))
    def heartbeat(self, sender, receiver, delay):
        """The receiver answers; its answer takes a while."""
        one, other = self._live(sender), self._live(receiver)
        if not one or not other or one is other:
            return
        sent_at = self.now
        other.members.heard[one.session] = max(
            other.members.heard.get(one.session, 0),
            one.members.table.own.roster_epoch,
        )
        seconds = other.shares.grant(one.session, self.now)
        epoch = other.members.table.own.roster_epoch
        self.pass_time(delay)
        if seconds:
            one.shares.on_grant(other.session, seconds, sent_at)
        one.members.heard[other.session] = max(
            one.members.heard.get(other.session, 0), epoch
        )

    @rule(vm=VMS, instance=st.sampled_from(INSTANCES), wanted=st.integers(1, 8))
    def send_requests(self, vm, instance, wanted):
        life = self._live(vm)
        if life is None:
            return
        for _ in range(wanted):
            if not life.presence.slots_usable():
                return
            limit = life.shares.limit(instance, SLOTS)
            if self._held(life)[instance] >= limit:
                return
            self.requests.append(Request(life, instance, self.now + REQUEST_S))

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 6.0]))
    def pass_time(self, seconds):
        self.now += seconds
        self.requests = [r for r in self.requests if r.until > self.now]

    @rule(vm=VMS, down=st.booleans(), lose=st.booleans())
    def change_table(self, vm, down, lose):
        self.lives[vm].client.down = down
        self.lives[vm].client.lose_answer = lose

    @rule(vm=VMS)
    def kill(self, vm):
        self.lives[vm].dead = True

    @rule(vm=VMS)
    def read_vm_list(self, vm):
        if self.lives[vm].dead:
            self.listed.discard(vm)

    @rule(vm=VMS)
    def restart(self, vm):
        if self.lives[vm].dead:
            self._start(vm)

    @rule(vm=VMS)
    def leave(self, vm):
        life = self._live(vm)
        if life and not any(self._held(life).values()):
            life.presence.leave()
            life.dead = True

    @rule()
    def calm_round(self):
        """All that healthy VMs do within a second."""
        for vm in NAMES:
            self.renew(vm)
            self.watch(vm)
        for source in NAMES:
            for target in NAMES:
                self.heartbeat(source, target, 0.0)
        self.pass_time(1.0)

    @rule(vm=VMS, rounds=st.integers(2, 8))
    def cut_off(self, vm, rounds):
        """One VM hears of nobody for a while, then sends what it may."""
        life = self.lives[vm]
        dead, life.dead = life.dead, True
        for _ in range(rounds):
            self.calm_round()
            for name in NAMES:
                for instance in INSTANCES:
                    self.send_requests(name, instance, SLOTS)
            self.promises()
        life.dead = dead
        for instance in INSTANCES:
            self.send_requests(vm, instance, SLOTS)

    @invariant()
    def promises(self):
        for instance in INSTANCES:
            held = sum(req.instance == instance for req in self.requests)
            assert held <= SLOTS, (instance, held)

    @invariant()
    def slots_are_shared_out_whole(self):
        """In one epoch that all obey, no slot is lost."""
        lives = [life for life in self.lives.values() if not life.dead]
        newest = max((life.shares.roster.epoch for life in lives), default=0)
        if not newest or any(
            life.shares.roster.epoch != newest for life in lives
        ):
            return
        whole = lives[0].shares.roster
        total = sum(
            roster.share(whole, member.session, "i1", SLOTS)
            for member in whole.members
        )
        assert total in (0, SLOTS)


class PresenceMachineTest(testtools.TestCase):
    def test_instances_are_never_overfilled(self):
        machine.run(PresenceMachine, SEED, EXAMPLES, STEPS)

    def test_all_slots_are_used_again_after_a_member_died(self):
        fleet = PresenceMachine()
        self.addCleanup(fleet.teardown)
        fleet.begin()
        for _ in range(4):
            fleet.calm_round()
        self.assertEqual([8, 8], self._limits(fleet))
        fleet.kill("vm-1")
        for _ in range(15):
            fleet.calm_round()
        self.assertEqual([8, 8], self._limits(fleet))

    def test_a_vm_that_was_silent_gets_its_slots_again(self):
        fleet = PresenceMachine()
        self.addCleanup(fleet.teardown)
        fleet.begin()
        for _ in range(4):
            fleet.calm_round()
        paused = fleet.lives["vm-1"]
        before = paused.session
        paused.dead = True
        for _ in range(15):
            fleet.calm_round()
        paused.dead = False
        for _ in range(15):
            fleet.calm_round()
        self.assertNotEqual(before, paused.session)
        self.assertTrue(paused.shares.limit("i1", SLOTS) > 0)
        self.assertEqual([8, 8], self._limits(fleet))

    def _limits(self, fleet):
        lives = [one for one in fleet.lives.values() if not one.dead]
        return [
            sum(life.shares.limit(instance, SLOTS) for life in lives)
            for instance in INSTANCES
        ]
