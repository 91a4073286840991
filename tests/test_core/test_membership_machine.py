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
        for number in range(6):
            self.now += ROUND_S
            for n in range(COUNT):
                if self.up[n]:
                    self.tables[n].increment_sequence(self.now)
            for n in range(COUNT):
                for other in range(COUNT):
                    if self.up[n] and self.up[other]:
                        self._merge(other, self._message(n, number == 0))
        self.check_views()

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
