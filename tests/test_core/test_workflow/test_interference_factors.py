"""Tests of factors that several shards learn."""

import testtools

from wisterialug_core.workflow import interference_factors

STDDEV = 0.1


def learned(factor, updates=30):
    """Returns a table that has learned the factor of one pair."""
    table = interference_factors.FactorTable()
    for _ in range(updates):
        error = 0.1 * (factor - table.own_mean("s", "f"))
        table.correct("s", {"f": 0.1}, error, STDDEV)
    table.lower_floor("s", 8.0)
    return table


class FactorTableTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = interference_factors.FactorTable()

    def test_pair_that_only_others_have_seen(self):
        # A shard of seven workers sees few of 480 pairs of images itself.
        other = learned(0.1)
        self.table.set_other("s1", other.to_message())
        self.assertAlmostEqual(
            other.mean("s", "f"), self.table.mean("s", "f"), delta=0.05
        )
        self.assertEqual(8.0, self.table.floor_ms("s", 10.0))

    def test_estimates_are_weighted_by_what_is_known(self):
        self.table = learned(5.0, updates=60)
        self.table.set_other("s1", learned(1.0, updates=1).to_message())
        self.assertGreater(self.table.mean("s", "f"), 4.0)

    def test_many_shards_outweigh_one(self):
        self.table = learned(5.0, updates=3)
        for number in range(5):
            self.table.set_other(f"s{number}", learned(1.0).to_message())
        self.assertLess(self.table.mean("s", "f"), 2.0)

    def test_news_of_a_shard_replace_its_earlier_ones(self):
        message = learned(3.0, updates=5).to_message()
        self.table.set_other("s1", message)
        once = self.table.mean("s", "f")
        self.table.set_other("s1", message)
        self.assertEqual(once, self.table.mean("s", "f"))

    def test_only_own_estimates_are_published(self):
        self.table.set_other("s1", learned(3.0).to_message())
        message = self.table.to_message()
        self.assertEqual(0, len(message.pairs))
        self.assertEqual({}, dict(message.floors_ms))

    def test_unseen_pair_keeps_the_prior(self):
        self.table.set_other("s1", learned(3.0).to_message())
        self.assertEqual(
            interference_factors.PRIOR_FACTOR, self.table.mean("s", "x")
        )
