"""Tests of evacuations as operators write them."""

import random

import eventlet
import testtools
from wisterialug_platform import checked_fields, config_source, row_codec

from tests.test_platform import test_decoding
from wisterialug_daemon.workflow import config_watch, row_store
from wisterialug_standins import memory_store

WITHIN_MS = 1000


class StaleStore(memory_store.MemoryStore):
    """Answers scans with an older state while there is one."""

    stale = None

    def scan(self, *args, **kwargs):
        """Reads rows."""
        return self.stale or super().scan(*args, **kwargs)


class EvacuationRowsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.rows = StaleStore(random.Random(1))
        self.write("dc1")

    def start(self, within_ms=WITHIN_MS):
        source = config_source.StoreConfigSource(
            self.rows, with_evacuations=within_ms is not None
        )
        self.watch = config_watch.ConfigWatch(source, within_ms)
        self.addCleanup(self.watch.close)
        self.watch.start()
        eventlet.sleep(0.1)

    def ref(self, zone):
        return row_store.RowRef("op", "", f"evacuate/{zone}")

    def write(self, zone, value=b"{}"):
        transaction = row_store.Transaction(writes=((self.ref(zone), value),))
        self.rows.commit(transaction, 1)

    def remove(self, zone):
        transaction = row_store.Transaction(removes=(self.ref(zone),))
        self.rows.commit(transaction, 1)

    def seen(self):
        current = self.watch.evacuations.current()
        return sorted(current.data_centres) if current.known else None

    def test_a_row_is_in_force_until_it_is_removed(self):
        self.start()
        self.assertEqual(["dc1"], self.seen())
        self.write("dc2", b"\xff not json")
        eventlet.sleep(0.1)
        self.assertEqual(["dc1", "dc2"], self.seen())
        self.remove("dc1")
        eventlet.sleep(0.1)
        self.assertEqual(["dc2"], self.seen())

    def test_a_row_without_a_zone_covers_nothing(self):
        self.start()
        self.write("")
        eventlet.sleep(0.1)
        self.assertEqual(["dc1"], self.seen())

    def test_a_row_removed_and_written_within_a_second_counts(self):
        self.start()
        for _ in range(3):
            self.remove("dc1")
            self.write("dc1")
        self.write("dc2")
        self.remove("dc2")
        eventlet.sleep(0.1)
        self.assertEqual(["dc1"], self.seen())

    def test_lost_history_is_read_anew(self):
        self.start()
        self.rows.down = True
        self.remove("dc1")
        eventlet.sleep(0.3)
        self.rows.down = False
        self.remove("dc1")
        self.write("dc2")
        self.rows.compact_history()
        eventlet.sleep(0.6)
        self.assertEqual(["dc2"], self.seen())

    def test_an_older_state_is_not_taken_for_the_newest(self):
        self.remove("dc1")
        stale = self.rows.scan("op", "", timeout_s=1)
        self.write("dc1")
        self.start()
        self.rows.stale = stale
        other = row_store.RowRef("other", "", "x")
        self.rows.commit(row_store.Transaction(writes=((other, b""),)), 1)
        self.rows.compact_history()
        eventlet.sleep(0.5)
        self.assertEqual(["dc1"], self.seen())
        # For too long: what it may have missed is not known.
        eventlet.sleep(WITHIN_MS / 1000)
        self.assertIsNone(self.seen())
        self.rows.stale = None
        eventlet.sleep(0.5)
        self.assertEqual(["dc1"], self.seen())

    def test_nothing_is_known_before_the_first_answer_and_in_an_outage(self):
        self.rows.down = True
        self.start()
        self.assertIsNone(self.seen())
        self.rows.down = False
        eventlet.sleep(0.4)
        self.assertEqual(["dc1"], self.seen())
        self.rows.down = True
        eventlet.sleep(0.3)
        self.assertEqual(["dc1"], self.seen())
        eventlet.sleep(WITHIN_MS / 1000)
        self.assertIsNone(self.seen())
        self.rows.down = False
        # A watch that nothing answers for long would let owners wait.
        eventlet.sleep(config_watch.DEFAULT_TIMING.retry_s + 0.1)
        self.assertEqual(["dc1"], self.seen())

    def test_rows_are_not_read_where_the_platform_has_no_evacuations(self):
        self.start(None)
        self.assertEqual([], self.seen())


class FeedTest(testtools.TestCase):
    def test_of_several_changes_of_a_row_the_last_one_counts(self):
        def row(key, version, **fields):
            ref = {"table": "op", "part": "", "key": key}
            return {**ref, "ver": version, **fields}

        removed, written = {"tombstone": True}, {"value": "e30="}
        rows = [
            row("a", 1, **removed),
            row("b", 2, **written),
            row("a", 3, **written),
            row("b", 4, **removed),
        ]
        changes = row_codec.changes(
            checked_fields.Fields({"rows": rows, "ver": 4})
        )
        self.assertEqual(["a"], [row.ref.key for row in changes.rows])
        self.assertEqual(["b"], [ref.key for ref in changes.removed])


class EvacuationSettingsTest(testtools.TestCase):
    def within_ms(self, text, bounds="evacuate_ms = 5000\n"):
        lines = test_decoding.SETTINGS.replace(
            "[bounds]\n", "[bounds]\n" + bounds
        )
        return test_decoding.read(text + lines).map(
            lambda cfg: cfg.workflow.evacuated_within_ms
        )

    def test_evacuations_come_with_their_contract(self):
        with_places = 'contracts = ["base", "places"]\n'
        self.assertEqual(5000, self.within_ms(with_places).ok_value)
        self.assertIsNone(self.within_ms('contracts = ["base"]\n').ok_value)
        self.assertIsNone(self.within_ms("").ok_value)
        for bounds in ("", "evacuate_ms = 0\n", 'evacuate_ms = "soon"\n'):
            exc = self.within_ms(with_places, bounds).err_value
            self.assertEqual("bounds.evacuate_ms", exc.field)
