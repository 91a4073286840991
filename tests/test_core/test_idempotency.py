"""Tests of idempotency keys and records."""

import uuid

import testtools

from wisterialug_core.decisions import idempotency
from wisterialug_core.schema import work_pb2
from wisterialug_standins import uuid7

NOW_MS = 1_800_000_000_000
DAY_MS = 24 * idempotency.MS_PER_HOUR


class KeyTest(testtools.TestCase):
    def test_key_time(self):
        key = uuid7.make(NOW_MS - 5)
        key_time = idempotency.key_time_ms(key, NOW_MS, DAY_MS)
        self.assertEqual(NOW_MS - 5, key_time.ok_value)

    def test_refused_keys(self):
        cases = [
            "",
            "pay-1",
            str(uuid.UUID(int=4, version=4)),
            uuid7.make(NOW_MS - DAY_MS - 1),
            uuid7.make(NOW_MS + idempotency.FUTURE_TOLERANCE_MS + 1),
        ]
        for key in cases:
            self.assertTrue(
                idempotency.key_time_ms(key, NOW_MS, DAY_MS).is_err(), key
            )

    def test_records_outlive_the_last_use_of_their_key(self):
        """The record of a key that is still accepted is kept."""
        for age_ms in (0, DAY_MS // 2, DAY_MS):
            key = uuid7.make(NOW_MS - age_ms)
            row = idempotency.row_key(NOW_MS - age_ms, "c", "s", key)
            self.assertTrue(row >= idempotency.expired_before(NOW_MS, DAY_MS))

    def test_rows_of_customers_services_and_keys_differ(self):
        one, two = uuid7.make(NOW_MS), uuid7.make(NOW_MS)
        rows = {
            idempotency.row_key(NOW_MS, customer, service, key)
            for customer in ("c", "d")
            for service in ("s", "t")
            for key in (one, two)
        }
        self.assertEqual(8, len(rows))
        self.assertEqual(
            idempotency.row_key(NOW_MS, "c", "s", one),
            idempotency.row_key(NOW_MS, "c", "s", one.upper()),
        )


class JudgeTest(testtools.TestCase):
    def test_verdicts(self):
        started = work_pb2.OnceRecord(
            fingerprint="f", started_unix_ms=NOW_MS, timeout_ms=1000
        )
        done = work_pb2.OnceRecord(
            fingerprint="f", state=work_pb2.ONCE_STATE_DONE
        )
        unknown = work_pb2.OnceRecord(
            fingerprint="f", state=work_pb2.ONCE_STATE_UNKNOWN
        )
        cases = [
            (None, "f", 0, idempotency.Verdict.RUN),
            (started, "f", 999, idempotency.Verdict.IN_PROGRESS),
            (started, "f", 1001, idempotency.Verdict.UNKNOWN),
            (started, "g", 0, idempotency.Verdict.MISMATCH),
            (done, "f", DAY_MS, idempotency.Verdict.REPLAY),
            (done, "g", 0, idempotency.Verdict.MISMATCH),
            (unknown, "f", 0, idempotency.Verdict.UNKNOWN),
        ]
        for record, new_fingerprint, age_ms, verdict in cases:
            self.assertIs(
                verdict,
                idempotency.judge(record, new_fingerprint, NOW_MS + age_ms),
            )

    def test_fingerprint_depends_on_part_boundaries(self):
        self.assertNotEqual(
            idempotency.fingerprint([b"ab", b"c"]),
            idempotency.fingerprint([b"a", b"bc"]),
        )
