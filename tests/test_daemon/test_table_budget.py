"""Tests of table calls that wait for the rate limit."""

import heapq
import itertools

import greenlet
import testtools

from tests.test_daemon import memory_table
from wisterialug_daemon.adapters import table as table_lib

OPS_PER_S = 40
INTERVAL_S = 1 / OPS_PER_S
CALLS = 60


class VirtualTime:
    """Runs greenlets that sleep, in order of time and without waiting."""

    def __init__(self):
        self.now = 0.0
        self._order = itertools.count()
        self._due = []
        self._main = greenlet.getcurrent()

    def clock(self):
        return self.now

    def sleep(self, seconds):
        self._push(self.now + seconds, greenlet.getcurrent())
        self._main.switch()

    def spawn_at(self, at_s, work):
        self._push(at_s, greenlet.greenlet(work))

    def run(self):
        while self._due:
            self.now, _, thread = heapq.heappop(self._due)
            thread.switch()

    def _push(self, at_s, thread):
        heapq.heappush(self._due, (at_s, next(self._order), thread))


class TableBudgetTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.time = VirtualTime()
        self.client = table_lib.TableClient(
            memory_table.MemoryTable(),
            OPS_PER_S,
            self.time.clock,
            self.time.sleep,
        )
        self.done = {}

    def read_at(self, name, at_s, *, urgent=True):
        def read():
            self.client.read_one("k", urgent=urgent)
            self.done[name] = self.time.now

        self.time.spawn_at(at_s, read)

    def use_burst(self):
        for n in range(OPS_PER_S):
            self.read_at(f"burst-{n}", 0.0)

    def test_call_is_not_overtaken_by_later_ones(self):
        # The later calls come just when a token is due; the first one would
        # check for it each time just before.
        self.use_burst()
        self.read_at("first", 0.8 * INTERVAL_S)
        for n in range(1, CALLS):
            self.read_at(n, (n + 0.01) * INTERVAL_S)
        self.time.run()
        order = [name for name in self.done if not str(name).startswith("b")]
        self.assertEqual(["first", *range(1, CALLS)], order)
        self.assertTrue(self.done["first"] <= 1.01 * INTERVAL_S, self.done)

    def test_rate_is_kept_while_calls_wait(self):
        self.use_burst()
        for n in range(CALLS):
            self.read_at(n, 0.001 * n)
        self.time.run()
        times = sorted(self.done.values())
        for n, done_s in enumerate(times):
            in_second = sum(done_s <= other < done_s + 1 for other in times[n:])
            self.assertTrue(in_second <= 2 * OPS_PER_S, (done_s, in_second))
        self.assertTrue(times[-1] >= (CALLS - 0.01) * INTERVAL_S)
        self.assertTrue(times[-1] <= (CALLS + 1) * INTERVAL_S)

    def test_all_calls_are_late_while_too_many_arrive(self):
        per_s, seconds, in_time_s = 52, 30, 1.5
        self.use_burst()
        for n in range(per_s * seconds):
            self.read_at(n, n / per_s)
        self.time.run()
        # Once a queue has built up.
        late_half = range(per_s * seconds // 2, per_s * seconds)
        in_time = sum(self.done[n] - n / per_s <= in_time_s for n in late_half)
        self.assertGreater(in_time, len(late_half) / 2)

    def test_reserve_is_left_to_urgent_calls(self):
        self.use_burst()
        self.read_at("other", 0.0, urgent=False)
        for n in range(CALLS):
            self.read_at(n, 0.0)
        self.time.run()
        self.assertEqual("other", list(self.done)[-1])
        reserve_s = table_lib.URGENT_RESERVE_RATIO
        self.assertTrue(
            self.done["other"] >= CALLS * INTERVAL_S + reserve_s, self.done
        )
