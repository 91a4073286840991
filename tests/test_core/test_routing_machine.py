"""Stateful fuzzing of instance pools and queues against reference models."""

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

    @rule(name=INSTANCES, leaving=st.booleans(), listed=st.booleans())
    def change_list(self, name, leaving, listed):
        (self.leaving.add if leaving else self.leaving.discard)(name)
        (self.listed.add if listed else self.listed.discard)(name)
        self.update()

    @rule(name=INSTANCES, limit=st.integers(0, 4))
    def change_limit(self, name, limit):
        self.limits[name] = limit

    @rule(may_probe=st.booleans(), tried=st.sets(INSTANCES, max_size=2))
    def acquire(self, may_probe, tried):
        counts = self.in_flight()
        aside_ids = {i.id for i in self.pool.instances() if i.set_aside}
        slot = self.pool.acquire(
            self.limits, self.now, may_probe=may_probe, exclude=tried
        )
        if slot is None:
            free = [
                name
                for name in self.listed - self.leaving - tried - aside_ids
                if counts[name] < self.limits[name]
            ]
            assert not free, free
            return
        name = slot.instance.id
        assert name in self.listed - self.leaving - tried
        assert counts[name] < self.limits[name]
        assert slot.probe == (name in aside_ids)
        assert may_probe or name not in aside_ids
        self.slots.append(slot)

    @rule(
        index=st.integers(0, 20),
        outcome=st.sampled_from(list(routing.Result)),
        took_s=st.sampled_from([0.01, 0.01, 0.01, 0.5]),
    )
    def release(self, index, outcome, took_s):
        if self.slots:
            slot = self.slots.pop(index % len(self.slots))
            self.pool.release(slot, outcome, slot.started_at + took_s)

    @rule(seconds=st.sampled_from([0.1, 1.0, 40.0]))
    def pass_time(self, seconds):
        self.now += seconds

    def in_flight(self):
        counts = dict.fromkeys(IDS, 0)
        for slot in self.slots:
            counts[slot.instance.id] += 1
        return counts

    @invariant()
    def counts_agree(self):
        counts = self.in_flight()
        for instance in self.pool.instances():
            assert instance.in_flight == counts[instance.id]
        probes = [slot.instance.id for slot in self.slots if slot.probe]
        assert len(probes) == len(set(probes))

    @invariant()
    def most_instances_stay_in_use(self):
        aside = sum(i.set_aside for i in self.pool.instances())
        assert aside <= routing.MAX_SET_ASIDE_RATIO * len(IDS) + 1


class QueueMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.queue = admission.ServiceQueue()
        self.waiting = []

    @rule(left_s=st.floats(0.0, 5.0), customer=st.sampled_from(["x", "y"]))
    def push(self, left_s, customer):
        self.waiting.append(self.queue.push(customer, self.now + left_s, None))

    @rule(index=st.integers(0, 20))
    def cancel(self, index):
        if self.waiting:
            entry = self.waiting.pop(index % len(self.waiting))
            assert self.queue.remove(entry)
            assert not self.queue.remove(entry)

    @rule(seconds=st.floats(0.0, 2.0))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(seconds=st.floats(0.001, 0.5))
    def learn_service_time(self, seconds):
        self.queue.record_service_time(seconds)

    @rule()
    def pop(self):
        needed_s = self.queue.time_needed_s
        chosen, expired = self.queue.pop(self.now)
        in_time = [e for e in self.waiting if e.deadline > self.now + needed_s]
        if chosen is None:
            assert not in_time
        else:
            assert chosen.deadline == min(e.deadline for e in in_time)
        for entry in [*expired, *([chosen] if chosen else [])]:
            self.waiting.remove(entry)

    @invariant()
    def length_matches(self):
        assert len(self.queue) == len(self.waiting)


class RoutingMachineTest(testtools.TestCase):
    def run_machine(self, machine_type):
        machine.run(machine_type, SEED, EXAMPLES, STEPS)

    def test_pool(self):
        self.run_machine(RoutingMachine)

    def test_queue(self):
        self.run_machine(QueueMachine)


class SharesTest(testtools.TestCase):
    def test_customer_above_its_weight_is_displaced(self):
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
