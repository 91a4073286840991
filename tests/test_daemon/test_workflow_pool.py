"""Tests of supervised greenlets."""

import eventlet
import testtools

from wisterialug_daemon.workflow import pool


class GreenletsTest(testtools.TestCase):
    def test_supervised_function_is_restarted_after_each_error(self):
        calls = []

        def function():
            calls.append(1)
            if len(calls) < 3:
                raise ValueError("error")

        greenlets = pool.Greenlets()
        greenlets.supervise(function)
        eventlet.sleep(3 * pool.RESTART_PAUSE_S)
        self.assertEqual(3, len(calls))

    def test_close_stops_supervised_functions(self):
        calls = []

        def function():
            calls.append(1)
            raise ValueError("error")

        greenlets = pool.Greenlets()
        greenlets.supervise(function)
        eventlet.sleep(0.01)
        greenlets.close()
        eventlet.sleep(2 * pool.RESTART_PAUSE_S)
        self.assertEqual(1, len(calls))
