"""Tests of setting failing workers aside."""

import testtools

from wisterialug_core.workflow import health


class HealthTest(testtools.TestCase):
    def test_failures_of_one_job_do_not_set_worker_aside(self):
        state = health.WorkerHealth()
        for _ in range(5):
            self.assertFalse(state.record_failure("a", 0.0))
        self.assertTrue(state.usable(0.0))

    def test_failures_of_two_jobs_set_worker_aside_with_backoff(self):
        state = health.WorkerHealth()
        state.record_failure("a", 0.0)
        self.assertTrue(state.record_failure("b", 0.0))
        self.assertFalse(state.usable(health.INITIAL_BACKOFF_S - 0.1))
        self.assertTrue(state.usable(health.INITIAL_BACKOFF_S))
        state.record_failure("c", 10.0)
        self.assertFalse(
            state.usable(10.0 + 2 * health.INITIAL_BACKOFF_S - 0.1)
        )

    def test_success_clears_failures(self):
        state = health.WorkerHealth()
        state.record_failure("a", 0.0)
        state.record_success()
        self.assertFalse(state.record_failure("b", 0.0))

    def test_slow_worker_is_rated_last_for_a_while(self):
        state = health.WorkerHealth()
        state.record_slow(0.0)
        state.update_slow(health.INITIAL_SLOW_S - 0.1)
        self.assertTrue(state.slow)
        state.update_slow(health.INITIAL_SLOW_S)
        self.assertFalse(state.slow)
        self.assertTrue(state.usable(0.0))

    def test_worker_that_stays_slow_is_rated_last_for_longer(self):
        state = health.WorkerHealth()
        state.record_slow(0.0)
        state.record_slow(10.0)
        state.update_slow(10.0 + 2 * health.INITIAL_SLOW_S - 0.1)
        self.assertTrue(state.slow)

    def test_usual_run_time_clears_slowness(self):
        state = health.WorkerHealth()
        state.record_slow(0.0)
        state.record_usual_speed()
        self.assertFalse(state.slow)
