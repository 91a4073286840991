"""Tests of how old the config in force may be while it counts as confirmed."""

import eventlet
import result
import testtools

from wisterialug_core.workflow import read_timing, routes
from wisterialug_daemon.workflow import config_watch, errors, sources

TIMING = read_timing.ReadTiming(1.0)


class LateAnswers(sources.ConfigSource):
    """A store whose first watch is answered at once, but late on the way."""

    def __init__(self, late_s):
        self._late_s = late_s
        self.watches = 0

    def read(self):
        table = routes.RouteTable(1, ())
        return result.Ok(sources.ConfigChange(table, 1))

    def watch(self, cursor, wait_s):
        del wait_s
        self.watches += 1
        eventlet.sleep(self._late_s if self.watches == 1 else 60.0)
        return result.Ok(sources.ConfigChange(None, cursor + 1))


class EarlierState(sources.ConfigSource):
    """A store that loses its history, and is read in an earlier state."""

    def __init__(self):
        self.reads = 0

    def read(self):
        self.reads += 1
        table = routes.RouteTable(1, ())
        return result.Ok(sources.ConfigChange(table, 6 - self.reads))

    def watch(self, cursor, wait_s):
        del cursor, wait_s
        eventlet.sleep(0.5 if self.reads == 1 else 60.0)
        return result.Err(errors.HistoryLostError())


class ConfirmedTest(testtools.TestCase):
    def test_late_answer_of_the_last_watch_confirms_for_too_long(self):
        late_s = TIMING.wait_s + TIMING.quiet_s()
        source = LateAnswers(late_s)
        watch = config_watch.ConfigWatch(source, None, TIMING)
        self.addCleanup(watch.close)
        watch.start()
        eventlet.sleep(late_s + 0.1)
        self.assertEqual(2, source.watches)
        self.assertTrue(watch.is_confirmed())
        eventlet.sleep(TIMING.within_s - late_s)
        self.assertFalse(watch.is_confirmed())

    def test_read_of_an_earlier_state_confirms_the_config(self):
        source = EarlierState()
        watch = config_watch.ConfigWatch(source, None, TIMING)
        self.addCleanup(watch.close)
        watch.start()
        eventlet.sleep(0.8)
        self.assertEqual(2, source.reads)
        self.assertTrue(watch.is_confirmed())
        eventlet.sleep(TIMING.within_s - 0.8 + 0.2)
        self.assertFalse(watch.is_confirmed())
