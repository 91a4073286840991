"""Tests of the store client: relays, lost responses, unreadable rows."""

import base64
import collections
import json
import random

import result
import testtools
from wisterialug_platform import http_client, store, store_answers

from wisterialug_core.workflow import relay_choice
from wisterialug_daemon.workflow import clock, errors, row_store

REF = row_store.RowRef("t", "p", "k")
CHANGE = row_store.Transaction(conditions=((REF, 3),), writes=((REF, b"v"),))


def response(status, **fields):
    return result.Ok(
        http_client.HttpResponse(status, {}, json.dumps(fields).encode())
    )


NOT_SENT = result.Err(http_client.NotSentError("x"))
LOST = result.Err(http_client.NoResponseError("x"))


class FakeClient:
    def __init__(self, respond):
        self.respond = respond
        self.calls = []

    def call(
        self,
        address,
        method,
        path,
        body,
        timeout_s,
        headers=None,
        *,
        limits=None,
        sending=None,
    ):
        del headers, limits, sending
        self.calls.append((address, method, path, body))
        # urllib3 raises this for a timeout that is not positive.
        if timeout_s <= 0:
            raise ValueError(timeout_s)
        return self.respond(address)


class StoreTest(testtools.TestCase):
    def commit(self, respond, peers=("p1", "p2"), timeout_s=1.0):
        self.client = FakeClient(respond)
        self.store = store.PlatformStore(
            self.client,
            "store",
            lambda: [relay_choice.Peer(peer, 0) for peer in peers],
            # Begins with the first peer.
            random.Random(3),
        )
        return self.store.commit(CHANGE, timeout_s)

    def test_commit_sends_rows_versions_and_values(self):
        outcome = self.commit(lambda _: response(200, ver=9, now_ms=1))
        self.assertEqual(9, outcome.ok_value)
        body = json.loads(self.client.calls[0][3])
        name = {"table": "t", "part": "p", "key": "k"}
        self.assertEqual([{**name, "ver": 3}], body["expected_rev"])
        value = base64.b64encode(b"v").decode()
        self.assertEqual([{**name, "value": value}], body["writes"])
        self.assertNotIn("across", body)

    def test_conflict_returns_the_current_rows(self):
        row = {"table": "t", "part": "p", "key": "k", "ver": 4, "value": "dg=="}
        outcome = self.commit(lambda _: response(412, rows=[row]))
        self.assertIsInstance(outcome.err_value, row_store.ConflictError)
        self.assertEqual((row_store.Row(REF, 4, b"v"),), outcome.err_value.rows)

    def test_commit_refused_everywhere_is_not_done(self):
        outcome = self.commit(lambda _: response(503))
        self.assertIsInstance(outcome.err_value, errors.StoreRefusedError)
        self.assertEqual(3, len(self.client.calls))

    def test_one_lost_response_leaves_the_outcome_unknown(self):
        outcome = self.commit(
            lambda address: LOST if address == "store" else response(503)
        )
        self.assertIsInstance(outcome.err_value, errors.StoreUnknownError)

    def test_change_that_is_not_valid_is_repeated_for_ever(self):
        for status in (400, 403, 413, 422):
            outcome = self.commit(lambda _, status=status: response(status))
            self.assertIsInstance(
                outcome.err_value, errors.StoreRejectedError, status
            )
        # A VM that does not relay, and a store that may take it later.
        for status in (404, 429, 503):
            outcome = self.commit(lambda _, status=status: response(status))
            self.assertIs(errors.StoreRefusedError, type(outcome.err_value))

    def test_status_from_a_relay_hides_a_lost_response(self):
        for status in (404, 507):
            outcome = self.commit(
                lambda address, status=status: (
                    LOST if address == "store" else response(status)
                )
            )
            self.assertIsInstance(
                outcome.err_value, errors.StoreUnknownError, status
            )

    def test_call_is_relayed_by_another_vm(self):
        outcome = self.commit(
            lambda address: {
                "store": response(429),
                "p1": response(store_answers.RELAY_NOT_SENT_STATUS),
            }.get(address, response(200, ver=7))
        )
        self.assertEqual(7, outcome.ok_value)
        self.assertEqual(0.0, self.store.outage_s())
        # The relay that responded is tried first from now on.
        self.client.calls.clear()
        self.store.commit(CHANGE, 1.0)
        self.assertEqual("p2", self.client.calls[0][0])

    def test_vms_begin_with_different_relays(self):
        # 40 VMs that the store turns away, with the same list of others.
        peers = [relay_choice.Peer(f"p{number}", 0) for number in range(20)]
        first = collections.Counter()
        for seed in range(40):
            client = FakeClient(
                lambda address: response(
                    503 if address == "store" else 200, ver=1
                )
            )
            store.PlatformStore(
                client, "store", lambda: peers, random.Random(seed)
            ).commit(CHANGE, 1.0)
            first[client.calls[1][0]] += 1
        self.assertLess(max(first.values()), 10)

    def test_no_call_starts_after_the_timeout(self):
        def slow(address):
            del address
            until_s = clock.now_s() + 0.06
            while clock.now_s() < until_s:
                pass
            return NOT_SENT

        outcome = self.commit(slow, timeout_s=0.1)
        self.assertIsInstance(outcome.err_value, errors.StoreRefusedError)
        self.assertGreater(self.store.outage_s(), 0)

    def test_watch_from_a_discarded_version(self):
        self.commit(lambda _: response(410))
        outcome = self.store.watch("t", 5, 0.1)
        self.assertIsInstance(outcome.err_value, errors.HistoryLostError)

    def test_unreadable_rows_do_not_break_a_watch(self):
        rows = [
            {"table": "t", "key": "a", "value": "?", "ver": 1},
            {"table": "t", "key": "b", "tombstone": True, "ver": 2},
            {"table": "t", "key": "c", "value": None, "ver": 3},
        ]
        self.commit(lambda _: response(200, rows=rows, ver=3))
        changes = self.store.watch("t", 0, 0.1).ok_value
        self.assertEqual(["a", "c"], [row.ref.key for row in changes.rows])
        self.assertEqual(["b"], [ref.key for ref in changes.removed])
