"""Attempts that begin side by side."""

import eventlet
import result
import testtools

from wisterialug_daemon.workflow import errors, hedged_calls

QUIET_S = 0.05
STALL_S = 0.15


class HedgedCallTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.silent = []
        self.ended = []

    def attempt(self, name, *steps, awaited=True):
        """Pauses and notes progress in turn, then answers with its name."""

        def call(progress):
            try:
                for pause_s in steps[:-1]:
                    eventlet.sleep(pause_s)
                    progress.note()
                eventlet.sleep(steps[-1])
                if name.startswith("refused"):
                    return result.Err(errors.StoreRefusedError(name))
                return result.Ok(name)
            finally:
                self.ended.append(name)

        return hedged_calls.Attempt(name, call, QUIET_S, awaited)

    def run_waves(self, *waves):
        call = hedged_calls.HedgedCall(STALL_S, self.silent.append)
        with eventlet.Timeout(5):
            return call.run(waves)

    def test_others_wait_for_a_silent_attempt(self):
        outcome = self.run_waves(
            [self.attempt("a", 9)],
            [self.attempt("b", 9)],
            [self.attempt("c", 0)],
        )
        self.assertEqual("c", outcome.ok_value)
        self.assertEqual(["a", "b"], self.silent)

    def test_answers_of_all_attempts_share_the_link(self):
        outcome = self.run_waves(
            [self.attempt("a", 9)],
            [self.attempt("b", 0.01, 0.1, 0.1), self.attempt("c", 0.02, 0.02)],
        )
        self.assertEqual("b", outcome.ok_value)
        self.assertIn("c", self.ended)

    def test_answer_that_pauses_is_given_up(self):
        outcome = self.run_waves(
            [self.attempt("a", 0.01, 0.3)], [self.attempt("b", 9)]
        )
        self.assertEqual("a", outcome.ok_value)

    def test_refusals_and_silence_are_alike(self):
        refused = self.run_waves(
            [self.attempt("refused-1", 0)], [self.attempt("refused-2", 0)]
        )
        self.assertIsInstance(refused.err_value, errors.StoreRefusedError)
        unknown = self.run_waves(
            [self.attempt("refused-1", 0)], [self.attempt("b", 9)]
        )
        self.assertIsInstance(unknown.err_value, errors.StoreUnknownError)

    def test_attempt_that_is_not_awaited_delays_the_next_wave(self):
        outcome = self.run_waves(
            [self.attempt("refused", 0), self.attempt("b", 9, awaited=False)],
            [self.attempt("c", 0)],
        )
        self.assertEqual("c", outcome.ok_value)
        self.assertEqual([], self.silent)
