"""Tests of finding runs that fall behind their step."""

import testtools

from wisterialug_core.workflow import stragglers


def times(*durations_s):
    """Returns the times of a step whose tasks 0, 1, ... took so long."""
    step_times = stragglers.StepTimes()
    for index, duration_s in enumerate(durations_s):
        step_times.note(index, duration_s)
    return step_times


class StragglersTest(testtools.TestCase):
    def test_run_on_a_worker_eight_times_slower_is_started_again(self):
        usual_s = times(0.6, 0.7, 0.8).usual_s(3)
        self.assertEqual(0.7, usual_s)
        self.assertTrue(stragglers.is_better_elsewhere(1.0, 17, usual_s))

    def test_run_that_hangs_is_started_again(self):
        self.assertTrue(stragglers.is_better_elsewhere(1.0, 0, 0.7))

    def test_run_that_is_nearly_done_goes_on(self):
        self.assertFalse(stragglers.is_better_elsewhere(4.0, 80, 0.7))

    def test_uneven_task_goes_on(self):
        self.assertFalse(stragglers.is_better_elsewhere(0.9, 50, 0.7))

    def test_run_that_has_just_begun_goes_on(self):
        self.assertFalse(stragglers.is_better_elsewhere(0.5, 0, 0.7))

    def test_few_finished_tasks_tell_nothing(self):
        self.assertIsNone(times(0.6, 0.7).usual_s(2))
        self.assertIsNone(times(0.6, 0.7, 0.8).usual_s(2))
