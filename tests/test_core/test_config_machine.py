"""Stateful fuzzing of the replicated config against a list of states."""

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
        # What each revision means, by the oracle.
        self.history = {0: {}}
        self.states = [config_state.ConfigState() for _ in range(4)]
        self.seen = [0] * 4
        self.messages = []

    @rule(
        name=st.sampled_from(NAMES),
        weight=st.integers(1, 9),
        gone=st.booleans(),
    )
    def accept(self, name, weight, gone):
        key = config_state.limit_key(name, "customer", name)
        row = config_pb2.ConfigRow(
            key=key, deleted=gone, limit=config_pb2.LimitRow(weight=weight)
        )
        delta = config_state.next_delta(self.table, [row])
        self.table.apply(delta)
        state = dict(self.history[delta.revision - 1])
        if gone:
            state.pop(key, None)
        else:
            state[key] = weight
        self.history[delta.revision] = state
        self.messages.append(delta)

    @rule(base=st.integers(0, 12))
    def send_delta_of_table(self, base):
        self.messages.append(self.table.delta_since(base))

    @rule(vm=VMS, base=st.integers(0, 12))
    def send_delta_of_vm(self, vm, base):
        self.messages.append(self.states[vm].delta_since(base))

    @rule(vm=VMS, index=st.integers(0, 50), keep=st.booleans())
    def deliver(self, vm, index, keep):
        """Late, doubled and reordered; a delta never taken is lost."""
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
        """A new life takes the highest of its peers."""
        best = max(self.states, key=lambda state: state.revision)
        self.states[vm] = config_state.ConfigState()
        self.states[vm].apply(best.delta_since(0))

    @invariant()
    def states_mean_their_revision_and_never_revert(self):
        for vm, state in enumerate(self.states):
            assert state.revision >= self.seen[vm]
            self.seen[vm] = state.revision
            rows = {row.key: row.limit.weight for row in state.live_rows()}
            assert rows == self.history[state.revision], state.revision


class ConfigMachineTest(testtools.TestCase):
    def test_config_never_reverts(self):
        machine.run(ConfigMachine, SEED, EXAMPLES, STEPS)
