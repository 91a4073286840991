"""Tests of the experiment that compares orders of waiting tasks."""

import random

import testtools

from wisterialug_standins import order_experiment

USER = order_experiment.User("small", 8, 8000, order_experiment.USERS[0].kinds)


class OrderExperimentTest(testtools.TestCase):
    def worth(self, order, load):
        """Returns the mean fraction of value earned over four seeds."""
        rows = [
            order_experiment.measure(USER, load, 30.0, order, seed)
            for seed in range(4)
        ]
        return sum(row["worth"] for row in rows) / len(rows)

    def test_backlog_after_a_burst(self):
        # Full load, with a burst at 3.5 times the rate for 7 s.
        current = self.worth("as built", 1.0)
        self.assertGreater(current, self.worth("by latest start", 1.0))
        self.assertGreater(current, self.worth("by arrival", 1.0))

    def test_low_load_earns_nearly_all_value(self):
        self.assertGreater(self.worth("as built", 0.3), 0.9)

    def test_same_seed_gives_same_arrivals(self):
        drawn = [
            order_experiment.sample_arrivals(USER, 0.5, 10.0, random.Random(3))
            for _ in range(2)
        ]
        self.assertEqual(*[[a.job for a in arrivals] for arrivals in drawn])
