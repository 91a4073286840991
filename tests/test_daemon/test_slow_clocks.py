"""Cut and frozen owners beside workers whose clocks are as slow as allowed."""

from unittest import mock

from tests.test_daemon import test_workflow_frozen, test_workflow_links
from wisterialug_core.workflow import leases
from wisterialug_daemon.workflow import clock
from wisterialug_standins import emulated_worker


def slow_clock_ms(worker):
    elapsed_s = clock.now_s() - worker.booted_s
    return int(elapsed_s * 1000 * leases.MIN_CLOCK_RATE)


class SlowClocks:
    """Makes the clocks of all workers slow."""

    def setUp(self):
        super().setUp()
        patch = mock.patch.object(
            emulated_worker.EmulatedWorker, "clock_ms", slow_clock_ms
        )
        patch.start()
        self.addCleanup(patch.stop)


class SlowClocksSplitTest(SlowClocks, test_workflow_frozen.SplitTest):
    """A cut owner extends leases of workers that its successor can't reach."""


class SlowClocksLinksTest(SlowClocks, test_workflow_links.RandomLinksTest):
    """Random orders, freezes and cuts."""
