"""Tests of calls to the platform's workers."""

import dataclasses
import json

import eventlet
import result
import testtools
from wisterialug_platform import http_client, workers

from wisterialug_core.decisions import resources
from wisterialug_core.workflow import model
from wisterialug_daemon.workflow import clock, errors

WORKER = model.WorkerReport(
    id=model.Incarnation("w"),
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


class AnsweringClient:
    """Answers each call with the same fields."""

    def __init__(self, **fields):
        self.fields = fields
        self.headers = []

    def call(self, address, method, path, body, timeout_s, headers):
        del address, method, path, body, timeout_s
        self.headers.append(headers)
        body = json.dumps(self.fields).encode()
        return result.Ok(http_client.HttpResponse(200, {}, body))


class RestartedWorkerTest(testtools.TestCase):
    """A worker answers that has started again under its id."""

    BORN_MS = 1764

    def poll(self, **fields):
        client = AnsweringClient(clock_ms=5, running=[], finished=[], **fields)
        worker = dataclasses.replace(
            WORKER, id=model.incarnation("w", self.BORN_MS)
        )
        outcome = workers.HttpWorkerCalls(client).poll(
            worker, 1, 0, None, 0, TIMEOUT_S
        )
        self.assertEqual(
            "w", client.headers[0][workers.EXPECTED_INSTANCE_HEADER]
        )
        return outcome

    def test_report_of_another_incarnation_is_taken_for_its_own(self):
        self.assertTrue(self.poll(born=self.BORN_MS).is_ok())
        exc = self.poll(born=self.BORN_MS + 1).err_value
        expected = model.incarnation("w", self.BORN_MS + 1)
        self.assertEqual(errors.OtherLifeError(expected), exc)

    def test_long_checkpoint_hides_the_report(self):
        running = [["t.0.0.0", 1, "c" * 4000, 5, 0]]
        fields = {"clock_ms": 5, "running": running, "finished": []}
        outcome = workers.HttpWorkerCalls(AnsweringClient(**fields)).poll(
            WORKER, 1, 0, None, 0, TIMEOUT_S
        )
        self.assertEqual(4000, len(outcome.ok_value.running[0].checkpoint))

    def test_unreadable_birth_is_no_answer(self):
        exc = self.poll(born="today").err_value
        self.assertIsInstance(exc, errors.NoAnswerError)


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
