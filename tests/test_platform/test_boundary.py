"""Checks that only the adapter uses the platform's wire names."""

import pathlib
import re

import testtools

ROOT = pathlib.Path(__file__).parents[2]
# Paths, headers and fields that have other names in the packages.
WIRE_NAMES = re.compile(
    r"run-start|run-stop|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)"
    r"|machine-(move|upkeep)|X-Lease-Holder|X-Fencing-Token"
    r"|X-Expected-Instance|X-Timeout-Ms|ack_seq|expected_rev|has_more"
    r"|fencing_token|anti_affinity|cold_left_ms|path_prefix|remote_factor"
)


class BoundaryTest(testtools.TestCase):
    def test_wire_names_stay_in_the_adapter(self):
        hits = [
            f"{file.relative_to(ROOT)}: {match.group()}"
            for file in sorted((ROOT / "packages").rglob("*.py"))
            for match in [WIRE_NAMES.search(file.read_text())]
            if match
        ]
        self.assertEqual([], hits)

    def test_pattern_finds_a_wire_name(self):
        self.assertTrue(WIRE_NAMES.search("call('/rows-tx')"))

    def test_the_standard_module_platform_stays_importable(self):
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())
