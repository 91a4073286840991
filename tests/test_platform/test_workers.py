"""Tests of calls to the platform's workers."""

import eventlet
import result
import testtools
from wisterialug_platform import http_client, workers

from wisterialug_core.decisions import resources
from wisterialug_core.workflow import model
from wisterialug_daemon.workflow import clock, errors

WORKER = model.WorkerReport(
    id=model.WorkerId("w"),
    address="10.0.0.9:80",
    service="app",
    data_centre="dc",
    state=model.WorkerState.READY,
    capacity=resources.ZERO,
    labels=(),
    remaining_ms=0,
)
TIMEOUT_S = 0.2


class SilentClient:
    """Gets no response within the time of a call."""

    def __init__(self):
        self.sent_s = []

    def call(self, address, method, path, body, timeout_s, headers):
        del address, method, path, body, headers
        self.sent_s.append(clock.now_s())
        eventlet.sleep(timeout_s)
        return result.Err(http_client.NoResponseError("silent"))


class SilentWorkerTest(testtools.TestCase):
    ORDERS = 12

    def test_order_is_sent_long_after_it_was_decided(self):
        client = SilentClient()
        calls = workers.HttpWorkerCalls(client)
        begun_s = clock.now_s()
        orders = [
            eventlet.spawn(calls.stop, WORKER, f"t{n}", 1, 1, TIMEOUT_S)
            for n in range(self.ORDERS)
        ]
        outcomes = [order.wait().err_value for order in orders]
        unsent = [o for o in outcomes if isinstance(o, errors.NotSentError)]
        self.assertEqual(self.ORDERS, len(client.sent_s) + len(unsent))
        self.assertTrue(unsent)
        # A pause of the test itself may add to the wait.
        self.assertLess(max(client.sent_s) - begun_s, 2 * TIMEOUT_S)
