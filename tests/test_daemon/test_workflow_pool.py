"""Tests of greenlets that go on after a fault."""

import eventlet
import testtools

from wisterialug_daemon.workflow import pool


class GreenletsTest(testtools.TestCase):
    def test_kept_work_is_begun_again_after_each_fault(self):
        calls = []

        def work():
            calls.append(1)
            if len(calls) < 3:
                raise ValueError("fault")

        greenlets = pool.Greenlets()
        greenlets.supervise(work)
        eventlet.sleep(3 * pool.RESTART_PAUSE_S)
        self.assertEqual(3, len(calls))

    def test_closing_ends_kept_work(self):
        calls = []

        def work():
            calls.append(1)
            raise ValueError("fault")

        greenlets = pool.Greenlets()
        greenlets.supervise(work)
        eventlet.sleep(0.01)
        greenlets.close()
        eventlet.sleep(2 * pool.RESTART_PAUSE_S)
        self.assertEqual(1, len(calls))
