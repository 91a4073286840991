"""Tests of fill runs beside serving tasks, with simulated tail latencies."""

import math
import random

import testtools

from wisterialug_core.workflow import fill_interference, fill_samples

FLOOR_MS = 10.0
TARGET_MS = 50.0
# True factor by which each fill image raises the utilisation.
FACTORS = {"heavy": 4.0, "light": 0.0}


class SimulatedWorker:
    """Simulates a worker whose serving task has the tail latency of a queue."""

    def __init__(self, seed=1):
        self.rng = random.Random(seed)
        self.model = fill_interference.InterferenceModel()
        self.samples = fill_samples.WorkerSamples()
        self.now_s = 0.0

    def tail_ms(self, load, fills):
        raised = load * (1 + sum(FACTORS[f.image] * f.used for f in fills))
        return FLOOR_MS / max(0.02, 1 - raised)

    def sample(self, fills, load=0.45):
        for fill in fills:
            fill.used = fill.share * fill.percent / 100
        tail = self.tail_ms(load, fills) * self.rng.uniform(0.95, 1.05)
        serving = [fill_samples.ServingTail("s", tail, TARGET_MS)]
        self.now_s += 0.8
        self.model.learn(self.samples, serving, fills, self.now_s)
        return serving

    def train(self, image):
        fill = fill_samples.FillRun(image, 0.12)
        for number in range(40):
            self.sample([fill] if number % 4 < 2 else [])


class FillInterferenceTest(testtools.TestCase):
    def test_interfering_images_are_distinguished_from_harmless_ones(self):
        sim = SimulatedWorker()
        sim.train("heavy")
        sim.train("light")
        self.assertGreater(sim.model.factors.mean("s", "heavy"), 2.5)
        self.assertLess(
            sim.model.factors.mean("s", "light"),
            fill_interference.NEGLIGIBLE_FACTOR,
        )

    def test_only_harmless_images_may_be_placed(self):
        sim = SimulatedWorker()
        sim.train("heavy")
        sim.train("light")
        sim.sample([], load=0.6)
        rooms = sim.model.serving_rooms(sim.samples, {})
        heavy = sim.model.room_ratio(rooms, "heavy", 0.2)
        self.assertLess(heavy, fill_interference.MIN_START_PACE)
        light = sim.model.room_ratio(rooms, "light", 0.9)
        self.assertEqual(math.inf, light)

    def test_only_the_interfering_run_is_throttled(self):
        sim = SimulatedWorker()
        sim.train("heavy")
        sim.train("light")
        fills = {
            "h": fill_samples.FillRun("heavy", 0.2),
            "l": fill_samples.FillRun("light", 0.2),
        }
        for _ in range(3):
            serving = sim.sample(list(fills.values()), load=0.6)
            sim.model.react(sim.samples, serving, fills, sim.now_s)
        self.assertLess(fills["h"].percent, 50)
        self.assertEqual(100, fills["l"].percent)

    def test_tail_is_under_its_target_again_within_two_samples(self):
        # The load of the serving task rises suddenly by a third.
        sim = SimulatedWorker()
        sim.train("heavy")
        fills = {"h": fill_samples.FillRun("heavy", 0.12)}
        for _ in range(4):
            serving = sim.sample(list(fills.values()))
            sim.model.react(sim.samples, serving, fills, sim.now_s)
        over = 0
        for _ in range(8):
            serving = sim.sample(list(fills.values()), load=0.62)
            over += serving[0].tail_ms > TARGET_MS
            sim.model.react(sim.samples, serving, fills, sim.now_s)
        self.assertLessEqual(over, 2)

    def test_run_rated_harmless_is_paused_if_tail_stays_high(self):
        # The load of the serving task changes after the image was learned.
        sim = SimulatedWorker()
        sim.train("light")
        fills = {"l": fill_samples.FillRun("light", 0.2)}
        tail = fill_samples.ServingTail("s", TARGET_MS * 1.2, TARGET_MS)
        paused_s = None
        for number in range(10):
            sim.now_s += 0.5
            sim.model.react(sim.samples, [tail], fills, sim.now_s)
            if fills["l"].percent == 0 and paused_s is None:
                paused_s = number * 0.5
        self.assertLessEqual(paused_s, 2.0)

    def test_no_run_is_sped_up_right_after_an_alarm(self):
        # Fill runs may each be harmless and still interfere together.
        sim = SimulatedWorker()
        sim.train("light")
        fills = {"l": fill_samples.FillRun("light", 0.2)}
        alarm = fill_samples.ServingTail("s", TARGET_MS * 3, TARGET_MS)
        calm = fill_samples.ServingTail("s", 15.0, TARGET_MS)
        paces = []
        for tail in [alarm] * 4 + [calm] * 6:
            sim.now_s += 0.5
            sim.model.react(sim.samples, [tail], fills, sim.now_s)
            paces.append(fills["l"].percent)
        self.assertEqual([0] * 3, paces[4:7])
        self.assertEqual(100, paces[-1])

    def test_pace_settles(self):
        sim = SimulatedWorker()
        sim.train("heavy")
        fills = {"h": fill_samples.FillRun("heavy", 0.3)}
        paces = []
        for _ in range(20):
            serving = sim.sample(list(fills.values()))
            sim.model.react(sim.samples, serving, fills, sim.now_s)
            paces.append(fills["h"].percent)
        self.assertLessEqual(max(paces[8:]) - min(paces[8:]), 45)

    def test_run_that_stays_throttled_is_moved(self):
        sim = SimulatedWorker()
        sim.train("heavy")
        fills = {"h": fill_samples.FillRun("heavy", 0.5)}
        seen = []
        for _ in range(4):
            serving = sim.sample(list(fills.values()), load=0.7)
            reactions = sim.model.react(sim.samples, serving, fills, sim.now_s)
            seen += reactions.values()
        self.assertIn(fill_interference.Reaction.MOVE, seen)

    def test_next_owner_restores_the_learned_factors(self):
        sim = SimulatedWorker()
        sim.train("heavy")
        other = fill_interference.InterferenceModel()
        other.factors.restore(sim.model.factors.to_message())
        self.assertAlmostEqual(
            sim.model.factors.mean("s", "heavy"),
            other.factors.mean("s", "heavy"),
            places=4,
        )
