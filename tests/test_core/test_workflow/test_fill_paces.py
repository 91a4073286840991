"""Tests of the division of room among the fill runs of a worker."""

import testtools

from wisterialug_core.workflow import (
    fill_claims,
    fill_interference,
    fill_paces,
    fill_samples,
    urgency,
)

STEP_MS = 2500.0


def claim(tasks_left=10, work_left_ms=STEP_MS, slack_ms=1000.0):
    late = slack_ms < 0
    standing = urgency.Urgency.LATE if late else urgency.Urgency.ON_TIME
    return fill_claims.Claim(
        standing, tasks_left, work_left_ms, slack_ms, STEP_MS
    )


class FillPacesTest(testtools.TestCase):
    def divide(self, room, **runs):
        demands = {
            name: fill_paces.Demand({"s": cost} if cost else {}, claim.value)
            for name, (cost, claim) in runs.items()
        }
        return fill_paces.divide({"s": room}, demands)

    def test_all_run_at_full_pace_where_all_fit(self):
        paces = self.divide(0.5, a=(0.2, claim()), b=(0.2, claim()))
        self.assertEqual({"a": 100, "b": 100}, paces)

    def test_run_that_ends_a_step_goes_before_a_less_harmful_one(self):
        paces = self.divide(
            0.2, last=(0.2, claim(tasks_left=1)), light=(0.1, claim())
        )
        self.assertEqual({"last": 100, "light": 0}, paces)

    def test_run_of_a_late_job_yields(self):
        paces = self.divide(
            0.2, late=(0.2, claim(slack_ms=-1.0)), due=(0.2, claim())
        )
        self.assertEqual({"late": 0, "due": 100}, paces)

    def test_less_harmful_run_goes_first_among_equals(self):
        paces = self.divide(0.2, heavy=(0.3, claim()), light=(0.1, claim()))
        self.assertEqual(100, paces["light"])
        self.assertEqual(33, paces["heavy"])

    def test_harmless_run_always_has_full_pace(self):
        paces = self.divide(
            0.0, late=(0.0, claim(slack_ms=-1.0)), last=(0.2, claim(1))
        )
        self.assertEqual({"late": 100, "last": 0}, paces)

    def test_load_rises_beside_a_step_that_waits_for_one_run(self):
        # Two jobs share a worker: the serving load rises by a third, and only
        # one run of the two fits on.
        model = fill_interference.InterferenceModel()
        for _ in range(50):
            model.factors.correct("s", {"heavy": 0.1}, 0.0, 0.01)
            light_error = 0.1 * (1.2 - model.factors.own_mean("s", "light"))
            model.factors.correct("s", {"light": 0.1}, light_error, 0.01)
        samples = fill_samples.WorkerSamples(
            targets={"s": 0.8}, loads={"s": 0.62}, mean_loads={"s": 0.62}
        )
        fills = {
            "light": fill_samples.FillRun("light", 0.12, claim=claim(18)),
            "last": fill_samples.FillRun("heavy", 0.12, claim=claim(1)),
        }
        serving = [fill_samples.ServingTail("s", 30.0, 50.0)]
        model.react(samples, serving, fills, 10.0)
        self.assertEqual(100, fills["last"].percent)
        self.assertLess(fills["light"].percent, 50)
