"""Stateful fuzzing of the replicated config against expected rows."""

import testtools
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests import machine
from wisterialug_core.decisions import config_state
from wisterialug_core.schema import config_pb2

SEED = 11
EXAMPLES = 200
STEPS = 50
VMS = st.integers(0, 3)
NAMES = ("a", "b", "c")


class ConfigMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.table = config_state.ConfigState()
        # Expected weights by revision.
        self.expected = {0: {}}
        self.states = [config_state.ConfigState() for _ in range(4)]
        self.seen_revisions = [0] * 4
        self.messages = []

    @rule(
        name=st.sampled_from(NAMES),
        weight=st.integers(1, 9),
        delete=st.booleans(),
    )
    def accept(self, name, weight, delete):
        key = config_state.limit_key(name, "customer", name)
        row = config_pb2.ConfigRow(
            key=key, deleted=delete, limit=config_pb2.LimitRow(weight=weight)
        )
        delta = config_state.next_delta(self.table, [row])
        self.table.apply(delta)
        state = dict(self.expected[delta.revision - 1])
        if delete:
            state.pop(key, None)
        else:
            state[key] = weight
        self.expected[delta.revision] = state
        self.messages.append(delta)

    @rule(base=st.integers(0, 12))
    def send_delta_of_table(self, base):
        self.messages.append(self.table.delta_since(base))

    @rule(vm=VMS, base=st.integers(0, 12))
    def send_delta_of_vm(self, vm, base):
        self.messages.append(self.states[vm].delta_since(base))

    @rule(vm=VMS, index=st.integers(0, 50), keep=st.booleans())
    def deliver(self, vm, index, keep):
        """Delivers late, repeated and reordered deltas; the rest are lost."""
        if not self.messages:
            return
        index %= len(self.messages)
        delta = self.messages[index]
        if not keep:
            del self.messages[index]
        copy = config_pb2.ConfigDelta()
        copy.CopyFrom(delta)
        self.states[vm].apply(copy)

    @rule(vm=VMS)
    def restart(self, vm):
        """A restarted VM takes the highest revision of its peers."""
        newest = max(self.states, key=lambda state: state.revision)
        self.states[vm] = config_state.ConfigState()
        self.states[vm].apply(newest.delta_since(0))

    @invariant()
    def states_match_their_revision_and_never_revert(self):
        for vm, state in enumerate(self.states):
            assert state.revision >= self.seen_revisions[vm]
            self.seen_revisions[vm] = state.revision
            rows = {row.key: row.limit.weight for row in state.live_rows()}
            assert rows == self.expected[state.revision], state.revision


class ConfigMachineTest(testtools.TestCase):
    def test_config_never_reverts(self):
        machine.run(ConfigMachine, SEED, EXAMPLES, STEPS)
