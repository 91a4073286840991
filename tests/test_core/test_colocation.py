"""Tests of the interference model and of the throttle controller."""

import random

import testtools

from wisterialug_core.decisions import interference, throttling

SLOPES = {("s", "k1"): 1.2, ("s", "k2"): 0.1, ("t", "k1"): 0.6}


class InterferenceTest(testtools.TestCase):
    def trained(self, count):
        rng = random.Random(3)
        model = interference.InterferenceModel()
        for load in (0.2, 0.5, 0.9):
            for service in ("s", "t"):
                model.learn(service, {}, load, 1000 * (1 + load))
        for _ in range(count):
            service, kind = rng.choice(list(SLOPES))
            load, share = rng.uniform(0.2, 1.0), rng.uniform(0.1, 0.9)
            ratio = 1 + load * share * SLOPES[service, kind]
            latency = 1000 * (1 + load) * ratio * rng.gauss(1, 0.04)
            model.learn(service, {kind: share}, load, latency)
        return model

    def test_slopes_are_learned_by_pair(self):
        model = self.trained(600)
        for (service, kind), slope in SLOPES.items():
            self.assertTrue(abs(model.slope(service, kind) - slope) < 0.25)

    def test_unseen_pair_is_estimated_from_similar_pairs(self):
        model = self.trained(600)
        estimate = model.slope("t", "k2")
        self.assertTrue(0.0 < estimate < interference.PRIOR_SLOPE)
        self.assertEqual(
            interference.PRIOR_SLOPE,
            interference.InterferenceModel().slope("t", "k2"),
        )

    def test_nothing_is_learned_while_baseline_is_unknown(self):
        model = interference.InterferenceModel()
        self.assertIsNone(model.learn("s", {"k": 0.5}, 0.5, 2000))


class ThrottleControllerTest(testtools.TestCase):
    def test_no_step_is_repeated_on_stale_samples(self):
        state = throttling.ThrottleController(1.2)
        steps = [
            state.on_sample(2.0, taken_ms, 10_000)
            for taken_ms in range(0, 9000, 1000)
        ]
        self.assertEqual(1, sum(s is not throttling.Step.NONE for s in steps))

    def test_throttle_then_move_then_ease(self):
        state = throttling.ThrottleController(1.2)
        steps = []
        now_ms = 0
        for ratio in (2.0, 1.6, 1.4, 1.01, 1.01, 1.01, 1.01):
            now_ms += 10_000
            steps.append(state.on_sample(ratio, now_ms - 1000, now_ms))
        acted = [step for step in steps if step is not throttling.Step.NONE]
        self.assertEqual(
            [
                throttling.Step.THROTTLE,
                throttling.Step.THROTTLE,
                throttling.Step.MOVE,
                throttling.Step.EASE,
                throttling.Step.EASE,
            ],
            acted,
        )

    def test_throttle_stays_if_easing_would_exceed_target(self):
        state = throttling.ThrottleController(1.2)
        state.on_sample(1.5, 9000, 10_000)
        for now_ms in range(20_000, 100_000, 10_000):
            step = state.on_sample(1.15, now_ms - 1000, now_ms)
            self.assertIs(throttling.Step.NONE, step)
