"""Replays queues whose declared run times are wrong."""

import random

import testtools

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import task_durations

HONEST = task_durations.DurationKey("honest", "", 0)
LIAR = task_durations.DurationKey("liar", "", 0)
STEP = workflow_pb2.Step(count=1, estimate_ms=1000)


def learned(rng, key, ratio, tasks=30):
    table = task_durations.DurationTable()
    for _ in range(tasks):
        table.learn(key, STEP, 1000 * ratio * rng.lognormvariate(0, 0.4))
    return table


class TaskDurationsTest(testtools.TestCase):
    def test_tenfold_lies_of_one_queue_leave_others_as_they_are(self):
        for ratio in (0.1, 10.0):
            table = learned(random.Random(1), LIAR, ratio)
            self.assertAlmostEqual(
                1, table.expected_ms(LIAR, STEP) / (1000 * ratio), delta=0.3
            )
            self.assertEqual(1000, table.expected_ms(HONEST, STEP))

    def test_uncertain_times_count_as_less(self):
        table = learned(random.Random(1), LIAR, 2.0)
        known = table.least_ms(LIAR, STEP) / table.expected_ms(LIAR, STEP)
        prior = table.least_ms(HONEST, STEP) / table.expected_ms(HONEST, STEP)
        self.assertGreater(known, 0.85)
        self.assertLess(prior, 0.55)

    def test_next_owner_starts_with_it(self):
        table = learned(random.Random(1), LIAR, 5.0)
        message = workflow_pb2.Effects()
        table.add_to(message)
        restored = task_durations.DurationTable()
        restored.restore(message)
        self.assertAlmostEqual(
            table.least_ms(LIAR, STEP), restored.least_ms(LIAR, STEP), delta=1
        )

    def test_other_shards_share_it(self):
        message = workflow_pb2.Effects()
        learned(random.Random(1), LIAR, 5.0).add_to(message)
        other = task_durations.DurationTable()
        other.set_other("s1", message)
        expected_ms = other.expected_ms(LIAR, STEP)
        self.assertAlmostEqual(5000, expected_ms, delta=1000)
        # What it has from others is not news to them.
        own = workflow_pb2.Effects()
        other.add_to(own)
        self.assertEqual(0, len(own.durations))

    def test_bad_declarations_and_samples(self):
        table = task_durations.DurationTable()
        for step in (
            workflow_pb2.Step(),
            workflow_pb2.Step(estimate_ms=2**32 - 1),
        ):
            for ran_ms in (-1.0, 0.0, 1e-9, 500.0, 1e12):
                table.learn(LIAR, step, ran_ms)
            self.assertGreater(table.least_ms(LIAR, step), 0)
            self.assertLess(table.expected_ms(LIAR, step), 1e8)

    def test_record_is_bounded(self):
        table = task_durations.DurationTable()
        for number in range(2 * task_durations.MAX_FACTORS):
            key = task_durations.DurationKey("r", f"i{number}", 0)
            table.learn(key, STEP, 1000.0)
        message = workflow_pb2.Effects()
        table.add_to(message)
        self.assertEqual(task_durations.MAX_FACTORS, len(message.durations))
