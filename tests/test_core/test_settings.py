"""Tests of settings from flags and the environment."""

import argparse
import pathlib
import tempfile

import testtools

from wisterialug_core import settings
from wisterialug_core.schema import settings_pb2


class SettingsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.token = pathlib.Path(folder.name) / "token"
        self.token.write_text("t")
        self.good = {
            "vm_id": "vm-1",
            "data_centre": "dc-1",
            "table_url": "http://127.0.0.1:1",
            "vm_list_url": "http://127.0.0.1:2/view",
            "operator_token_file": str(self.token),
        }

    def read(self, flags, env=None):
        reader = settings.SettingsReader(settings_pb2.DaemonSettings)
        parser = argparse.ArgumentParser()
        reader.add_flags(parser)
        argv = [
            f"{settings.flag_name(name)}={value}"
            for name, value in flags.items()
        ]
        return reader.read(parser.parse_args(argv), env or {})

    def test_defaults_and_flags(self):
        cfg = self.read(self.good).ok_value
        self.assertEqual(cfg.slots_per_instance, 8)
        self.assertEqual(cfg.vm_id, "vm-1")

    def test_flag_overrides_environment(self):
        env = {"WISTERIALUG_VM_ID": "other", "WISTERIALUG_MAX_QUEUE": "7"}
        cfg = self.read(self.good, env).ok_value
        self.assertEqual((cfg.vm_id, cfg.max_queue), ("vm-1", 7))

    def test_each_bad_value_is_named(self):
        cases = {
            "vm_id": "",
            "data_centre": "a b",
            "ip": "localhost",
            "caller_port": "0",
            "peer_port": "x",
            "table_url": "https://127.0.0.1:1",
            "vm_list_url": "http://host:1",
            "operator_token_file": "/no/such/file",
            "config_poll_interval_s": "9",
            "heartbeat_interval_s": "nan",
            "routing_policy": "best",
            "max_body_bytes": "1e6",
            "retry_budget_fraction": "-0.1",
        }
        for name, value in cases.items():
            faults = self.read({**self.good, name: value}).err_value
            self.assertEqual(
                [settings.flag_name(name)], [f.name for f in faults], name
            )
            self.assertEqual(value, faults[0].value)
            self.assertTrue(faults[0].allowed)

    def test_all_faults_at_once(self):
        faults = self.read({"caller_port": "0", "ip": "x"}).err_value
        self.assertEqual(len(faults), 7)  # 2 invalid, 5 missing.

    def test_help_has_units(self):
        parser = argparse.ArgumentParser()
        settings.SettingsReader(settings_pb2.DaemonSettings).add_flags(parser)
        text = " ".join(parser.format_help().split())
        self.assertIn("Unit: ms.", text)
        self.assertIn("WISTERIALUG_TABLE_URL", text)
