"""Stateful fuzzing of membership: loss, reordering, pauses, restarts."""

import random

import testtools
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests import machine
from wisterialug_core.decisions import membership
from wisterialug_core.schema import peer_pb2

SEED = 5
EXAMPLES = 200
STEPS = 60
COUNT = 4
VMS = st.integers(0, COUNT - 1)
TIMEOUTS = membership.Timeouts(1.5, 2.5)
ROUND_S = 0.5
FRESHEST_FIRST = [
    membership.MemberState.ALIVE,
    membership.MemberState.SUSPECT,
    membership.MemberState.DEAD,
]


class MembershipMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.restarts = [0] * COUNT
        self.up = [True] * COUNT
        self.messages = []
        self.tables = [self._new_table(n) for n in range(COUNT)]
        self.converge()

    def _new_table(self, n):
        own = peer_pb2.Member(
            vm=f"vm-{n}",
            incarnation=f"inc-{self.restarts[n]}",
            started_unix_ms=1000 + self.restarts[n],
            data_centre="dc",
        )
        table = membership.MemberTable(own, TIMEOUTS, self.now)
        listed = [peer_pb2.Member(vm=f"vm-{m}") for m in range(COUNT) if m != n]
        table.apply_vm_list(listed, self.now)
        return table

    def _message(self, n, full):
        """Returns a message of a VM as bytes, since VMs share no objects."""
        digest = self.tables[n].digest("dc", self.now, full=full)
        return peer_pb2.ExchangeRequest(
            members=digest.members, beats=digest.beats
        ).SerializeToString()

    def _merge(self, n, data):
        req = peer_pb2.ExchangeRequest.FromString(data)
        self.tables[n].merge(req.members, self.now)
        self.tables[n].merge_beats(req.beats, self.now)

    @rule(sender=VMS, full=st.booleans())
    def send(self, sender, full):
        if self.up[sender]:
            self.tables[sender].increment_sequence(self.now)
            self.messages.append(self._message(sender, full))

    @rule(receiver=VMS, index=st.integers(0, 50), keep=st.booleans())
    def deliver(self, receiver, index, keep):
        if not self.messages:
            return
        index %= len(self.messages)
        message = self.messages[index]
        if not keep:
            del self.messages[index]
        if self.up[receiver]:
            self._merge(receiver, message)

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 5.0]))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(n=VMS)
    def go_down(self, n):
        self.up[n] = False

    @rule(n=VMS)
    def come_up(self, n):
        """Restarts a VM at the same address with a new incarnation."""
        if not self.up[n]:
            self.restarts[n] += 1
            self.up[n] = True
            self.tables[n] = self._new_table(n)

    @rule()
    def converge(self):
        """Runs rounds without faults for longer than failure detection takes."""
        down_views = self._down_views()
        for number in range(6):
            self.now += ROUND_S
            for n in range(COUNT):
                if self.up[n]:
                    self.tables[n].increment_sequence(self.now)
            for n in range(COUNT):
                for other in range(COUNT):
                    if self.up[n] and self.up[other]:
                        self._merge(other, self._message(n, number == 0))
            before, down_views = down_views, self._down_views()
            for vm, freshness in before.items():
                assert down_views[vm] >= freshness, (vm, number)
        self.check_views()

    @rule(n=VMS, receiver=VMS, seconds=st.sampled_from([0.5, 1.0, 2.0]))
    def go_down_after_heartbeat(self, n, receiver, seconds):
        """Ends a VM whose last heartbeat reaches only one peer."""
        if self.up[n]:
            self.tables[n].increment_sequence(self.now)
            if self.up[receiver]:
                self._merge(receiver, self._message(n, full=False))
            self.up[n] = False
            self.now += seconds

    def _down_views(self):
        """Returns the freshest state that live VMs hold of each VM down."""
        live = [self.tables[n] for n in range(COUNT) if self.up[n]]
        return {
            n: min(
                (
                    FRESHEST_FIRST.index(table.state(f"vm-{n}", self.now))
                    for table in live
                ),
                default=0,
            )
            for n in range(COUNT)
            if not self.up[n]
        }

    def check_views(self):
        for n in range(COUNT):
            if not self.up[n]:
                continue
            for other in range(COUNT):
                state = self.tables[n].state(f"vm-{other}", self.now)
                alive = state is membership.MemberState.ALIVE
                assert alive == self.up[other], (n, other, state)
                record = self.tables[n].record(f"vm-{other}")
                if self.up[other]:
                    assert record.incarnation == f"inc-{self.restarts[other]}"

    @invariant()
    def no_vm_suspects_itself(self):
        for n in range(COUNT):
            if self.up[n]:
                state = self.tables[n].state(f"vm-{n}", self.now)
                assert state is membership.MemberState.ALIVE

    @invariant()
    def old_incarnations_never_replace_new_ones(self):
        for n in range(COUNT):
            own = self.tables[n].record(f"vm-{n}")
            assert own.incarnation == f"inc-{self.restarts[n]}"


class MembershipMachineTest(testtools.TestCase):
    def test_views_converge(self):
        machine.run(MembershipMachine, SEED, EXAMPLES, STEPS)


class NewsFromPeersTest(testtools.TestCase):
    """News of a member that reaches a VM through a peer."""

    def setUp(self):
        super().setUp()
        self.lost, self.first, self.second = (
            membership.MemberTable(
                peer_pb2.Member(
                    vm=vm,
                    incarnation=f"session-{vm}",
                    started_unix_ms=1000,
                    data_centre="dc",
                ),
                TIMEOUTS,
                0.0,
            )
            for vm in ("lost", "first", "second")
        )

    def send(self, sender, receiver, now, *, full=True):
        digest = sender.digest("dc", now, full=full)
        req = peer_pb2.ExchangeRequest.FromString(
            peer_pb2.ExchangeRequest(
                members=digest.members, beats=digest.beats
            ).SerializeToString()
        )
        receiver.merge(req.members, now)
        receiver.merge_beats(req.beats, now)

    def heartbeat(self, receivers, now):
        self.lost.increment_sequence(now)
        for receiver in receivers:
            self.send(self.lost, receiver, now)

    def check_states(self, now, first, second):
        states = [t.state("lost", now) for t in (self.first, self.second)]
        self.assertEqual([first, second], states)

    def test_news_is_as_old_as_the_peer_heard_it(self):
        states = membership.MemberState
        for start, full in ((10.0, True), (20.0, False)):
            self.heartbeat([self.first, self.second], start)
            self.heartbeat([self.first], start + 3.0)
            self.check_states(start + 3.0, states.ALIVE, states.DEAD)
            self.send(self.first, self.second, start + 4.6, full=full)
            self.check_states(start + 4.6, states.SUSPECT, states.SUSPECT)
            self.check_states(start + 5.5, states.DEAD, states.DEAD)

    def test_age_adds_up_along_a_chain_of_peers(self):
        self.heartbeat([self.first], 10.0)
        self.send(self.first, self.second, 11.0)
        third = membership.MemberTable(
            peer_pb2.Member(vm="third", data_centre="dc"), TIMEOUTS, 0.0
        )
        self.send(self.second, third, 12.0)
        states = membership.MemberState
        self.assertIs(states.SUSPECT, third.state("lost", 12.4))
        self.assertIs(states.DEAD, third.state("lost", 12.5))

    def test_peer_does_not_bring_back_a_dead_member_that_was_dropped(self):
        self.heartbeat([self.first, self.second], 10.0)
        listed = [
            peer_pb2.Member(vm=vm, data_centre="dc")
            for vm in ("first", "second")
        ]
        dead = membership.MemberState.DEAD
        for number in range(8):
            now = 12.5 + number
            for table, other in (
                (self.second, self.first),
                (self.first, self.second),
            ):
                table.apply_vm_list(listed, now)
                self.send(other, table, now)
                self.check_states(now, dead, dead)

    def test_relayed_news_of_other_data_centres_reaches_local_peers(self):
        remote = membership.MemberTable(
            peer_pb2.Member(vm="remote", data_centre="far"), TIMEOUTS, 0.0
        )
        remote.merge(
            [peer_pb2.Member(vm="quiet", data_centre="far", sequence=3)], 9.2
        )
        digest = remote.digest("dc", 10.0, full=True)
        self.first.merge(digest.members, 10.0)
        self.send(self.first, self.second, 10.8)
        self.assertIsNotNone(self.second.record("quiet"))
        states = membership.MemberState
        self.assertIs(states.SUSPECT, self.second.state("quiet", 10.8))
        self.assertIs(states.DEAD, self.second.state("quiet", 11.7))


class DigestTest(testtools.TestCase):
    def test_message_size_does_not_grow_with_data_centres(self):
        sizes = []
        for centres in (3, 18):
            own = peer_pb2.Member(vm="vm-0-0", data_centre="dc-0")
            table = membership.MemberTable(own, TIMEOUTS, 0.0)
            table.merge(
                [
                    peer_pb2.Member(
                        vm=f"vm-{c}-{n}", data_centre=f"dc-{c}", sequence=1
                    )
                    for c in range(centres)
                    for n in range(3)
                ],
                0.0,
            )
            for centre in ("dc-1", "dc-0"):
                digest = table.digest(centre, 100.0)
                sizes.append(len(digest.members) + len(digest.beats))
            self.assertIsNotNone(table.remote_target(100.0, random.Random(1)))
        self.assertEqual([3, 3, 3, 3], sizes)
