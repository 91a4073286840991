"""Stateful fuzzing of instance pools and queues against plain counts."""

import random

import testtools
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests import machine
from wisterialug_core.decisions import admission, routing

SEED = 21
EXAMPLES = 200
STEPS = 80
IDS = ("a", "b", "c", "d")
INSTANCES = st.sampled_from(IDS)


class RoutingMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 10.0
        self.rng = random.Random(1)
        self.pool = routing.InstancePool(routing.LeastInFlight(self.rng))
        self.limits = dict.fromkeys(IDS, 3)
        self.leaving = set()
        self.listed = set(IDS)
        self.slots = []
        self.update()

    def update(self):
        self.pool.update(
            dict.fromkeys(sorted(self.listed), ("127.0.0.1", 1)),
            self.leaving,
        )

    @rule(one=INSTANCES, leaving=st.booleans(), listed=st.booleans())
    def change_list(self, one, leaving, listed):
        (self.leaving.add if leaving else self.leaving.discard)(one)
        (self.listed.add if listed else self.listed.discard)(one)
        self.update()

    @rule(one=INSTANCES, limit=st.integers(0, 4))
    def change_limit(self, one, limit):
        self.limits[one] = limit

    @rule(may_probe=st.booleans(), tried=st.sets(INSTANCES, max_size=2))
    def acquire(self, may_probe, tried):
        held = self.in_flight()
        aside = {o.id for o in self.pool.instances() if o.set_aside}
        slot = self.pool.acquire(
            self.limits, self.now, may_probe=may_probe, exclude=tried
        )
        if slot is None:
            free = [
                one
                for one in self.listed - self.leaving - tried - aside
                if held[one] < self.limits[one]
            ]
            assert not free, free
            return
        one = slot.instance.id
        assert one in self.listed - self.leaving - tried
        assert held[one] < self.limits[one]
        assert slot.probe == (one in aside)
        assert may_probe or one not in aside
        self.slots.append(slot)

    @rule(
        index=st.integers(0, 20),
        outcome=st.sampled_from(list(routing.Result)),
        took=st.sampled_from([0.01, 0.01, 0.01, 0.5]),
    )
    def release(self, index, outcome, took):
        if self.slots:
            slot = self.slots.pop(index % len(self.slots))
            self.pool.release(slot, outcome, slot.started_at + took)

    @rule(seconds=st.sampled_from([0.1, 1.0, 40.0]))
    def pass_time(self, seconds):
        self.now += seconds

    def in_flight(self):
        held = dict.fromkeys(IDS, 0)
        for slot in self.slots:
            held[slot.instance.id] += 1
        return held

    @invariant()
    def counts_agree(self):
        held = self.in_flight()
        for one in self.pool.instances():
            assert one.in_flight == held[one.id]
        probes = [slot.instance.id for slot in self.slots if slot.probe]
        assert len(probes) == len(set(probes))

    @invariant()
    def most_instances_stay_in_use(self):
        aside = sum(one.set_aside for one in self.pool.instances())
        assert aside <= routing.MAX_SET_ASIDE_RATIO * len(IDS) + 1


class QueueMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.queue = admission.ServiceQueue()
        self.waiting = []

    @rule(left=st.floats(0.0, 5.0), customer=st.sampled_from(["x", "y"]))
    def push(self, left, customer):
        self.waiting.append(self.queue.push(customer, self.now + left, None))

    @rule(index=st.integers(0, 20))
    def give_up(self, index):
        if self.waiting:
            one = self.waiting.pop(index % len(self.waiting))
            assert self.queue.remove(one)
            assert not self.queue.remove(one)

    @rule(seconds=st.floats(0.0, 2.0))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(seconds=st.floats(0.001, 0.5))
    def learn(self, seconds):
        self.queue.record_service_time(seconds)

    @rule()
    def pop(self):
        needed = self.queue.time_needed_s
        chosen, expired = self.queue.pop(self.now)
        in_time = [w for w in self.waiting if w.deadline > self.now + needed]
        if chosen is None:
            assert not in_time
        else:
            assert chosen.deadline == min(w.deadline for w in in_time)
        for one in [*expired, *([chosen] if chosen else [])]:
            self.waiting.remove(one)

    @invariant()
    def length_is_true(self):
        assert len(self.queue) == len(self.waiting)


class RoutingMachineTest(testtools.TestCase):
    def run_machine(self, machine_type):
        machine.run(machine_type, SEED, EXAMPLES, STEPS)

    def test_pool(self):
        self.run_machine(RoutingMachine)

    def test_queue(self):
        self.run_machine(QueueMachine)


class SharesTest(testtools.TestCase):
    def test_customer_above_its_weight_gives_way(self):
        weights = {"big": 300, "small": 100}
        shares = admission.CustomerShares(weights.__getitem__)
        shares.add("big", 20)
        shares.add("small", 10)
        self.assertEqual("small", shares.customer_to_displace("big"))
        shares.add("big", 20)
        self.assertEqual("big", shares.customer_to_displace("small"))


class TokenBucketTest(testtools.TestCase):
    def test_rate_and_burst(self):
        bucket = admission.TokenBucket(10)
        taken = sum(bucket.take(0.0) for _ in range(50))
        taken += sum(bucket.take(0.5) for _ in range(50))
        self.assertEqual(15, taken)
