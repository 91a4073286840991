"""Tests of fill work beside tasks that serve, on a model of their tails."""

import random

import testtools

from wisterialug_core.workflow import interference

FLOOR_MS = 10.0
TARGET_MS = 50.0
# By how much each kind of fill work really raises the utilisation.
FACTORS = {"heavy": 4.0, "light": 0.0}


class Bench:
    """One worker whose serving task has a tail like a queue's."""

    def __init__(self, seed=1):
        self.rng = random.Random(seed)
        self.model = interference.InterferenceModel()
        self.figures = interference.WorkerSamples()
        self.now_s = 0.0

    def tail_ms(self, load, fills):
        raised = load * (1 + sum(FACTORS[f.image] * f.used for f in fills))
        return FLOOR_MS / max(0.02, 1 - raised)

    def sample(self, fills, load=0.45):
        for fill in fills:
            fill.used = fill.share * fill.percent / 100
        tail = self.tail_ms(load, fills) * self.rng.uniform(0.95, 1.05)
        serving = [interference.ServingTail("s", tail, TARGET_MS)]
        self.now_s += 0.8
        self.model.learn(self.figures, serving, fills, self.now_s)
        return serving

    def teach(self, image):
        fill = interference.FillRun(image, 0.12)
        for number in range(40):
            self.sample([fill] if number % 4 < 2 else [])


class FillInterferenceTest(testtools.TestCase):
    def test_kinds_that_disturb_are_told_from_those_that_do_not(self):
        bench = Bench()
        bench.teach("heavy")
        bench.teach("light")
        self.assertGreater(bench.model.factor("s", "heavy"), 2.5)
        self.assertLess(
            bench.model.factor("s", "light"), interference.NEGLIGIBLE_FACTOR
        )

    def test_places_only_what_gets_on(self):
        bench = Bench()
        bench.teach("heavy")
        bench.teach("light")
        bench.sample([], load=0.6)
        heavy = bench.model.feasible_pace(bench.figures, {}, "heavy", 0.2)
        self.assertLess(heavy, interference.MIN_START_PACE)
        light = bench.model.feasible_pace(bench.figures, {}, "light", 0.9)
        self.assertEqual(1.0, light)

    def test_only_the_one_that_disturbs_is_slowed(self):
        bench = Bench()
        bench.teach("heavy")
        bench.teach("light")
        fills = {
            "h": interference.FillRun("heavy", 0.2),
            "l": interference.FillRun("light", 0.2),
        }
        for _ in range(3):
            serving = bench.sample(list(fills.values()), load=0.6)
            bench.model.react(bench.figures, serving, fills, bench.now_s)
        self.assertLess(fills["h"].percent, 50)
        self.assertEqual(100, fills["l"].percent)

    def test_tail_is_back_under_its_target_within_two_figures(self):
        # Replays a serving task whose load rises by a third in a moment.
        bench = Bench()
        bench.teach("heavy")
        fills = {"h": interference.FillRun("heavy", 0.12)}
        for _ in range(4):
            serving = bench.sample(list(fills.values()))
            bench.model.react(bench.figures, serving, fills, bench.now_s)
        over = 0
        for _ in range(8):
            serving = bench.sample(list(fills.values()), load=0.62)
            over += serving[0].tail_ms > TARGET_MS
            bench.model.react(bench.figures, serving, fills, bench.now_s)
        self.assertLessEqual(over, 2)

    def test_run_believed_harmless_is_paused_if_tail_stays_high(self):
        # Replays a kind that got on until its neighbours' load changed.
        bench = Bench()
        bench.teach("light")
        fills = {"l": interference.FillRun("light", 0.2)}
        figure = interference.ServingTail("s", TARGET_MS * 1.2, TARGET_MS)
        paused_s = None
        for number in range(10):
            bench.now_s += 0.5
            bench.model.react(bench.figures, [figure], fills, bench.now_s)
            if fills["l"].percent == 0 and paused_s is None:
                paused_s = number * 0.5
        self.assertLessEqual(paused_s, 2.0)

    def test_nothing_is_sped_up_right_after_an_alarm(self):
        # Replays neighbours that are harmless alone and too much together.
        bench = Bench()
        bench.teach("light")
        fills = {"l": interference.FillRun("light", 0.2)}
        alarm = interference.ServingTail("s", TARGET_MS * 3, TARGET_MS)
        calm = interference.ServingTail("s", 15.0, TARGET_MS)
        paces = []
        for figure in [alarm] * 4 + [calm] * 6:
            bench.now_s += 0.5
            bench.model.react(bench.figures, [figure], fills, bench.now_s)
            paces.append(fills["l"].percent)
        self.assertEqual([0] * 3, paces[4:7])
        self.assertEqual(100, paces[-1])

    def test_pace_settles(self):
        bench = Bench()
        bench.teach("heavy")
        fills = {"h": interference.FillRun("heavy", 0.3)}
        paces = []
        for _ in range(20):
            serving = bench.sample(list(fills.values()))
            bench.model.react(bench.figures, serving, fills, bench.now_s)
            paces.append(fills["h"].percent)
        self.assertLessEqual(max(paces[8:]) - min(paces[8:]), 45)

    def test_what_is_held_down_is_moved(self):
        bench = Bench()
        bench.teach("heavy")
        fills = {"h": interference.FillRun("heavy", 0.5)}
        seen = []
        for _ in range(4):
            serving = bench.sample(list(fills.values()), load=0.7)
            reactions = bench.model.react(
                bench.figures, serving, fills, bench.now_s
            )
            seen += reactions.values()
        self.assertIn(interference.Reaction.MOVE, seen)

    def test_next_owner_knows_what_the_last_one_learned(self):
        bench = Bench()
        bench.teach("heavy")
        other = interference.InterferenceModel()
        other.restore(bench.model.to_message())
        self.assertAlmostEqual(
            bench.model.factor("s", "heavy"),
            other.factor("s", "heavy"),
            places=4,
        )
