"""Replays callers that are refused together."""

import collections

import testtools

from wisterialug_core.workflow import return_times

IDS = [f"{number:016x}" for number in range(1000)]


class ReturnTimesTest(testtools.TestCase):
    def test_callers_refused_in_a_burst_return_apart(self):
        counts = collections.Counter(
            return_times.after_load(job, 20.0, 12.0, 30.0) for job in IDS
        )
        self.assertGreaterEqual(min(counts), 8)
        self.assertLessEqual(max(counts), 13)
        self.assertLess(max(counts.values()), 0.4 * len(IDS))

    def test_callers_refused_in_an_outage_return_apart(self):
        for outage_s in (0.7, 4.0, 60.0):
            counts = collections.Counter(
                return_times.after_outage(job, outage_s, 30.0) for job in IDS
            )
            self.assertGreaterEqual(min(counts), 1)
            self.assertLess(max(counts.values()), 0.8 * len(IDS))
            self.assertLessEqual(max(counts), 9)

    def test_shorter_waits_end_earlier(self):
        early = [return_times.after_load(j, 10.0, 9.0, 30.0) for j in IDS]
        late = [return_times.after_load(j, 30.0, 9.0, 30.0) for j in IDS]
        self.assertLess(max(early), min(late))

    def test_not_beyond_what_is_of_use(self):
        for useful_s in (-1.0, 0.0, 0.3, 4.0):
            for wait_s in (10.0, float("inf")):
                times = [
                    return_times.after_load(job, wait_s, 2.0, useful_s)
                    for job in IDS
                ]
                self.assertLessEqual(max(times), max(1, useful_s + 1))
                self.assertGreaterEqual(min(times), 1)

    def test_lasting_jobs_are_always_of_use(self):
        self.assertLessEqual(
            return_times.after_outage(IDS[0], 3.0, float("inf")), 5
        )
