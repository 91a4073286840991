"""Tests of idempotency records whose writes got no response."""

import time

import eventlet
import testtools

from tests.test_daemon import memory_table
from wisterialug_daemon import idempotency_store, messages
from wisterialug_daemon.adapters import table as table_lib
from wisterialug_standins import uuid7

RETENTION_MS = 24 * 3_600_000
# More calls than writing one record makes before it gives up.
OUTAGE_CALLS = 30


class UnansweredRecordTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.seconds = 0.0
        self.table = memory_table.MemoryTable()
        client = table_lib.TableClient(
            self.table, 1000, lambda: self.seconds, self._sleep
        )
        self.store = idempotency_store.IdempotencyStore(
            client, "vm", RETENTION_MS
        )
        self.runs = 0
        self.key = uuid7.make(int(time.time() * 1000))

    def _sleep(self, seconds):
        self.seconds += seconds

    def handle(self, outcome=messages.Outcome.DONE):
        """Handles a request with the key; what runs has the given outcome."""

        def run(req):
            self.runs += 1
            return messages.CallerResponse(outcome, 200, (), b"whole")

        req = messages.CallerRequest(
            "c", "s", "POST", "/", (), b"", time.monotonic() + 5, self.key
        )
        return self.store.run(req, run)

    def settle(self):
        """Lets the store finish what it does in the background."""
        for _ in range(3):
            eventlet.sleep(0)

    def test_key_told_not_run_in_an_outage_runs_when_sent_again(self):
        """The record is written, and its response is lost in an outage."""
        self.table.lost_answers = 1
        self.table.silent_calls = OUTAGE_CALLS
        refused = self.handle()
        self.assertEqual(messages.Outcome.NOT_RUN, refused.outcome)
        self.assertEqual("table-unavailable", refused.reason)
        self.table.silent_calls = 0
        self.settle()
        self.assertEqual(messages.Outcome.DONE, self.handle().outcome)
        self.assertEqual(1, self.runs)

    def test_record_of_a_retry_is_kept_when_the_first_is_withdrawn(self):
        """A retry that runs before the withdrawal keeps its record."""
        self.table.silent_calls = OUTAGE_CALLS
        self.assertEqual(messages.Outcome.NOT_RUN, self.handle().outcome)
        self.table.silent_calls = 0
        unknown = self.handle(messages.Outcome.UNKNOWN)
        self.assertEqual(messages.Outcome.UNKNOWN, unknown.outcome)
        self.settle()
        again = self.handle()
        self.assertEqual("outcome-unknown", again.reason)
        self.assertEqual(1, self.runs)
