"""Tests of conflicting settings and of startup errors."""

import os
import subprocess
import sys

import testtools

from wisterialug_core.schema import settings_pb2
from wisterialug_daemon import settings_check


def _settings(**overrides):
    values = {
        "session_lease_s": 5,
        "task_lease_s": 10,
        "heartbeat_interval_s": 0.5,
        "suspect_after_s": 1.5,
        "dead_after_s": 2.5,
        "drain_timeout_s": 20,
        "balancer_lag_s": 1,
        "caller_port": 1,
        "operator_port": 2,
        "peer_port": 3,
        "metrics_port": 4,
        **overrides,
    }
    return settings_pb2.DaemonSettings(**values)


class SettingsCheckTest(testtools.TestCase):
    def test_good_settings(self):
        self.assertEqual([], settings_check.check(_settings()))

    def test_each_conflict_is_reported(self):
        cases = {
            "task_lease_s": 9,
            "suspect_after_s": 0.6,
            "dead_after_s": 1.5,
            "drain_timeout_s": 1,
            "metrics_port": 1,
        }
        for name, value in cases.items():
            errors = settings_check.check(_settings(**{name: value}))
            self.assertEqual(
                ["--" + name.replace("_", "-")], [e.name for e in errors]
            )

    def test_short_task_lease_must_outlive_a_takeover(self):
        settings = _settings(session_lease_s=1, task_lease_s=2.5)
        names = [error.name for error in settings_check.check(settings)]
        self.assertEqual(["--task-lease-s"], names)
        settings = _settings(session_lease_s=1, task_lease_s=3.1)
        self.assertEqual([], settings_check.check(settings))


class StartupTest(testtools.TestCase):
    def test_startup_reports_all_invalid_settings(self):
        process = subprocess.run(
            [sys.executable, "-m", "wisterialug_daemon", "--caller-port=0"],
            env={**os.environ, "WISTERIALUG_MAX_QUEUE": "many"},
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(2, process.returncode)
        for text in ("--caller-port: '0'", "--max-queue: 'many'", "--vm-id"):
            self.assertIn(text, process.stderr)
