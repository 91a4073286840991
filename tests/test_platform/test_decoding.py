"""Tests of decoding the platform's messages and settings."""

import json
import pathlib
import tempfile

import testtools
from wisterialug_platform import config_source, front, registry, settings

from wisterialug_core.workflow import model

ENTRY = {
    "service": "app",
    "address": "10.0.0.9:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 1},
    "labels": ["a", "r1-3"],
    "seq": 4,
}
SETTINGS = """
node = "n1"
ip = "10.0.0.1"
zone = "z"
internal_ports = [7720, 7735]
unknown = 1
[listen]
front = "10.0.0.1:80"
ready = "10.0.0.1:81"
[limits]
cpu_share = 0.5
cores = 2
[bounds]
hold_max_ms = 3000
status_s = 120
grace_s = 6.0
[platform]
address = "10.9.0.1:90"
row_bytes = 65536
"""


class RegistryTest(testtools.TestCase):
    def decode(self, **changes):
        fields = {**ENTRY, **changes}
        fields = {k: v for k, v in fields.items() if v != "missing"}
        return registry.decode("i-1", json.dumps(fields).encode())

    def test_entry(self):
        report = self.decode()
        self.assertEqual("i-1", report.id)
        self.assertIs(model.WorkerState.READY, report.state)
        self.assertEqual((16000, 32768, 1), tuple(report.capacity))
        draining = self.decode(state="draining", remaining_ms=1500)
        self.assertIs(model.WorkerState.DRAINING, draining.state)
        self.assertEqual(1500, draining.remaining_ms)
        self.assertEqual(0, report.cold_ms)
        self.assertEqual(700, self.decode(cold_left_ms=700).cold_ms)

    def test_birth_tells_incarnations_apart(self):
        first, second = self.decode(born=1764), self.decode(born=1765)
        self.assertNotEqual(first.id, second.id)
        self.assertEqual("i-1", first.name)
        self.assertEqual("i-1", second.name)

    def test_invalid_entries_are_ignored(self):
        cases = [
            {"address": "missing"},
            {"address": 7},
            {"address": "nonsense"},
            {"service": 3},
            {"state": "asleep"},
            {"state": ["ready"]},
            {"capacity": "missing"},
            {"capacity": {"cpu": "many"}},
            {"capacity": []},
            {"labels": [1]},
            {"born": "today"},
            {"labels": 5},
            {"labels": "r1-3"},
            {"capacity": {"cpu": -1, "mem_mb": 1}},
            {"capacity": {"cpu": 0.5, "mem_mb": 1}},
            {"capacity": {"cpu": 10**12, "mem_mb": 1}},
            {"born": 1764.5},
            {"born": -1},
            {"address": "10.0.0.9:65536"},
            {"address": "10.0.0.9:+80"},
            {"address": "host:80"},
            {"service": ""},
            {"service": "\ud800"},
            {"zone": ["z"]},
            {"zone": "missing"},
            {"slots": "8"},
            {"version": None},
            {"version": 7},
            {"version": ""},
        ]
        for changes in cases:
            self.assertIsNone(self.decode(**changes), changes)
        huge = json.dumps(ENTRY).replace("16000", "1e400").encode()
        deep = b"[" * 100_000
        for value in (b"", b"\xff\xfe", b"[]", b"null", b"{", huge, deep):
            self.assertIsNone(registry.decode("i-1", value), value[:20])

    def test_keys_that_are_no_ids_are_ignored(self):
        entry = json.dumps(ENTRY).encode()
        for key in ("i-1@x", "i-1@5", "i 1", "i-1\r\nX: 1", "\u00e9"):
            self.assertIsNone(registry.decode(key, entry), key)


class ConfigTest(testtools.TestCase):
    def test_longest_prefix_and_host(self):
        config = {
            "version": 7,
            "routes": [
                {"name": n, "host": "A.x", "path_prefix": p, "service": "s"}
                for n, p in (("r", "/a/"), ("longer", "/a/b/"))
            ],
        }
        table = config_source.decode(json.dumps(config).encode())
        self.assertEqual("longer", table.find("a.X", "/a/b/c").name)
        self.assertEqual("r", table.find("a.x", "/a/c").name)
        self.assertIsNone(table.find("b.x", "/a/c"))
        self.assertIsNone(table.find("a.x", "/b"))

    def test_unreadable_config_is_ignored(self):
        route = {"name": "r", "host": "h", "path_prefix": "/", "service": "s"}
        cases = [
            {"version": "7"},
            {"version": -7},
            {"routes": {"r": route}},
            {"routes": [route, {**route, "path_prefix": ["/"]}]},
            {"routes": [{**route, "host": "missing"}, {}]},
            {"routes": [{**route, "priority": 2**40}]},
            {"routes": [{**route, "stretch": "x"}]},
        ]
        valid = {"version": 7, "routes": [route]}
        self.assertIsNotNone(config_source.decode(json.dumps(valid).encode()))
        for changes in cases:
            value = json.dumps({**valid, **changes}).encode()
            self.assertIsNone(config_source.decode(value), changes)
        huge = b'{"version": 1e400, "routes": []}'
        for value in (b"", b"{}", b"[1]", huge, b"[" * 100_000):
            self.assertIsNone(config_source.decode(value), value[:20])


class JobTest(testtools.TestCase):
    def test_fields(self):
        body = {
            "spec": "x",
            "steps": [
                {"count": 4, "cpu": 500, "affinity": "r1-3", "fills": True},
                {"count": 2, "after": [0], "anti_affinity": 1, "gang": True},
            ],
            "repeats": 2,
            "start_at_ms": 5.0,
            "interval_ms": 9,
        }
        job = front.decode_job("0" * 16, json.dumps(body).encode())
        first, second = job.steps
        self.assertEqual(("r1-3", True), (first.data_rack, first.fills))
        self.assertEqual([0], list(second.after))
        self.assertEqual((1, True), (second.max_per_worker, second.gang))
        self.assertEqual(
            (2, 5, 9), (job.repeats, job.start_at_ms, job.interval_ms)
        )

    def test_errors_of_invalid_jobs_name_the_field(self):
        cases = [
            (b"", "JSON"),
            (b"[]", "steps"),
            ({"steps": []}, "steps"),
            ({"steps": [3]}, "steps.0"),
            ({"steps": [{"count": 0}]}, "count"),
            ({"steps": [{"count": -1}]}, "count"),
            ({"steps": [{"count": 1, "after": [0]}]}, "after"),
            ({"steps": [{"count": 1, "cpu": "x"}]}, "cpu"),
            ({"steps": [{"count": 1, "gang": 1}]}, "gang"),
            ({"steps": [{"count": 99_999_999_999}]}, "count"),
            ({"steps": [{"count": 1, "mem_mb": 99_999_999_999}]}, "mem_mb"),
            (b'{"steps": [{"count": 1, "cpu": 1e999}]}', "cpu"),
            (b'{"steps": [{"count": 1, "cpu": NaN}]}', "cpu"),
            ({"steps": [{"count": 1}], "repeats": 10**9}, "repeats"),
            ({"steps": [{"count": 999}], "repeats": 5}, "4995 tasks"),
            ({"steps": [{"count": 1}], "start_at_ms": 1e300}, "start_at_ms"),
            ({"spec": "x" * 4001, "steps": [{"count": 1}]}, "spec"),
        ]
        for body, text in cases:
            data = (
                body if isinstance(body, bytes) else json.dumps(body).encode()
            )
            exc = self.assertRaises(
                front.InvalidJobError, front.decode_job, "0" * 16, data
            )
            self.assertIn(text, str(exc))


class TimeoutTest(testtools.TestCase):
    def test_values_of_the_header(self):
        for text, expected in (
            ("", front.DEFAULT_TIMEOUT_MS),
            ("-1", front.DEFAULT_TIMEOUT_MS),
            ("1e9", front.DEFAULT_TIMEOUT_MS),
            ("2500", 2500),
            ("99999999", front.MAX_TIMEOUT_MS),
            ("9" * 5000, front.MAX_TIMEOUT_MS),
        ):
            self.assertEqual(expected, front.timeout_ms(text))


def read(text):
    """Reads settings from a file with this text."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "s.toml"
        path.write_text(text)
        return settings.read(str(path))


class SettingsTest(testtools.TestCase):
    def read(self, text):
        return read(text)

    def test_fields(self):
        cfg = self.read(SETTINGS).ok_value
        self.assertEqual("10.0.0.1:7720", str(cfg.peers))
        self.assertEqual(3000, cfg.workflow.lease_ms)
        self.assertEqual(1.0, cfg.workflow.processors)
        self.assertEqual((), cfg.unsupported)

    def test_contracts_that_are_not_implemented_are_named(self):
        text = (
            'contracts = ["base", "upkeep", "advice"]\norders = "heartbeat"\n'
        )
        cfg = self.read(text + SETTINGS).ok_value
        self.assertEqual(
            ("advice", "orders=heartbeat", "upkeep"), cfg.unsupported
        )

    def test_memory_and_descriptors(self):
        cfg = self.read(SETTINGS).ok_value
        self.assertEqual((512, 4096), (cfg.memory_mb, cfg.max_fds))
        text = "cores = 2\nmemory_mb = 200\nmax_fds = {}"
        cfg = self.read(SETTINGS.replace("cores = 2", text.format(4100)))
        self.assertEqual(200, cfg.ok_value.memory_mb)
        self.assertEqual(4100, cfg.ok_value.max_fds)
        cfg = self.read(SETTINGS.replace("cores = 2", text.format(0)))
        self.assertEqual("limits.max_fds", cfg.err_value.field)

    def test_link(self):
        cfg = self.read(
            SETTINGS.replace("cores = 2", "cores = 2\nlink_mbps = 5")
        )
        self.assertEqual(5, cfg.ok_value.workflow.link_mbps)
        cfg = self.read(
            SETTINGS.replace("cores = 2", "cores = 2\nlink_mbps = 0")
        )
        self.assertEqual("limits.link_mbps", cfg.err_value.field)

    def test_slowdown_away_from_data(self):
        cfg = self.read(SETTINGS).ok_value
        self.assertEqual(1, cfg.workflow.remote_slowdown)
        cfg = self.read(
            SETTINGS.replace("[bounds]", "[bounds]\nremote_factor = 3")
        )
        self.assertEqual(3, cfg.ok_value.workflow.remote_slowdown)

    def test_time_until_accepted_jobs_are_counted(self):
        cfg = self.read(SETTINGS).ok_value
        self.assertEqual(3000, cfg.workflow.accepted_within_ms)
        cfg = self.read(
            SETTINGS.replace("[bounds]", "[bounds]\nvisible_ms = 1500")
        )
        self.assertEqual(1500, cfg.ok_value.workflow.accepted_within_ms)

    def test_differences_of_a_reload(self):
        old = self.read(SETTINGS).ok_value
        same = self.read(SETTINGS).ok_value
        self.assertEqual([], settings.differences(old, same))
        text = SETTINGS.replace("10.9.0.1:90", "10.9.0.2:90")
        new = self.read(text.replace("cores = 2", "cores = 4")).ok_value
        self.assertEqual(
            ["store", "processors"], settings.differences(old, new)
        )

    def test_errors_name_the_field(self):
        cases = [
            ('node = "n1"', "node"),
            ('front = "10.0.0.1:80"', "listen.front"),
            ("hold_max_ms = 3000", "bounds.hold_max_ms"),
            ("internal_ports = [7720, 7735]", "internal_ports"),
        ]
        for line, name in cases:
            exc = self.read(SETTINGS.replace(line, "")).err_value
            self.assertEqual(name, exc.field)
            wrong = line.partition("=")[0] + '= "?"'
            if name != "node":
                exc = self.read(SETTINGS.replace(line, wrong)).err_value
                self.assertEqual(name, exc.field)
        self.assertIn("toml", str(self.read("=").err_value))
