"""Tests of when a held fill run is moved, and where to."""

import testtools

from wisterialug_core.workflow import (
    fill_claims,
    fill_interference,
    fill_moves,
    fill_samples,
    urgency,
)

STEP_MS = 2500.0
TARGET_MS = 50.0
REPORT_S = 0.45


def claim(tasks_left, work_left_ms=STEP_MS):
    return fill_claims.Claim(
        urgency.Urgency.ON_TIME, tasks_left, work_left_ms, 1000.0, STEP_MS
    )


def first_move_s(claim, percent=0):
    """Returns after how many seconds of throttling a run is moved."""
    fill = fill_samples.FillRun("f", 0.1, claim=claim)
    fill.set_pace(percent, 100.0)
    times = [number * 0.05 for number in range(100)]
    return next((t for t in times if fill_moves.is_due(fill, 100.0 + t)), None)


class FillMovesTest(testtools.TestCase):
    def test_last_run_of_a_step_is_moved_first(self):
        waits = [first_move_s(claim(left)) for left in (1, 5, 20)]
        self.assertLessEqual(waits[0], REPORT_S)
        self.assertLess(waits[0], waits[1])
        self.assertLess(waits[1], waits[2])

    def test_run_that_is_nearly_done_stays(self):
        self.assertIsNone(first_move_s(claim(1, work_left_ms=50.0)))
        self.assertIsNone(first_move_s(claim(1, work_left_ms=300.0), 40))

    def test_run_at_full_pace_stays(self):
        self.assertIsNone(first_move_s(claim(1), 100))

    def test_step_waits_for_one_held_run(self):
        # The serving load rises to its peak; other workers have room.
        model = fill_interference.InterferenceModel()
        samples = fill_samples.WorkerSamples(
            targets={"s": 0.8}, loads={"s": 0.8}, mean_loads={"s": 0.8}
        )
        fills = {"last": fill_samples.FillRun("f", 0.1, claim=claim(1))}
        serving = [fill_samples.ServingTail("s", 0.9 * TARGET_MS, TARGET_MS)]
        model.react(samples, serving, fills, 10.0)
        self.assertEqual(0, fills["last"].percent)
        reactions = model.react(samples, serving, fills, 10.0 + REPORT_S)
        self.assertEqual({"last": fill_interference.Reaction.MOVE}, reactions)

    def test_worker_in_an_alarm_has_no_room_for_interfering_runs(self):
        # The tail falls as soon as the runs are paused, and none is sped up
        # again for two seconds; a run that came then was held at once.
        model = fill_interference.InterferenceModel()
        samples = fill_samples.WorkerSamples()
        fills = {"f": fill_samples.FillRun("f", 0.1, used=0.1)}
        tails = [3 * TARGET_MS, 0.2 * TARGET_MS, 0.2 * TARGET_MS]
        for number, tail_ms in enumerate(tails):
            serving = [fill_samples.ServingTail("s", tail_ms, TARGET_MS)]
            now_s = 10.0 + 0.5 * number
            model.learn(samples, serving, list(fills.values()), now_s)
            model.react(samples, serving, fills, now_s)
        rooms = model.serving_rooms(samples, {})
        self.assertEqual(0.0, model.room_ratio(rooms, "other", 0.01))
