"""Runs the tests, one module per process."""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import importlib
import io
import pathlib
import sys
import time
import unittest

import testtools

ROOT = pathlib.Path(__file__).parent
KNOWN_RED_FILE = ROOT.parent / "KNOWN-RED.txt"
# Each integration test starts a dozen processes of its own.
MAX_PROCESSES = 3


@dataclasses.dataclass
class ModuleResult:
    """Test results of one module."""

    module: str
    passed: list[str]
    failed: dict[str, str]
    skipped: list[str]
    seconds: float


class _Result(testtools.TestResult):
    """Collects test ids by outcome."""

    def __init__(self) -> None:
        super().__init__()
        self.passed: list[str] = []
        self.failed: dict[str, str] = {}
        self.skipped_ids: list[str] = []

    def addSuccess(self, test, details=None):  # noqa: N802
        super().addSuccess(test, details)
        self.passed.append(test.id())

    def addFailure(self, test, err=None, details=None):  # noqa: N802
        super().addFailure(test, err, details)
        self.failed[test.id()] = self.failures[-1][1]

    def addError(self, test, err=None, details=None):  # noqa: N802
        super().addError(test, err, details)
        self.failed[test.id()] = self.errors[-1][1]

    def addSkip(self, test, reason=None, details=None):  # noqa: N802
        super().addSkip(test, reason, details)
        self.skipped_ids.append(test.id())


def run_module(name: str, wanted: str) -> ModuleResult:
    """Runs the tests of a module whose ids contain `wanted`."""
    started = time.monotonic()
    module = importlib.import_module(name)
    suite = unittest.defaultTestLoader.loadTestsFromModule(module)
    outcome = _Result()
    for test in testtools.iterate_tests(suite):
        if wanted in test.id():
            stdout, sys.stdout = sys.stdout, io.StringIO()
            try:
                test.run(outcome)
            finally:
                sys.stdout = stdout
    return ModuleResult(
        name,
        outcome.passed,
        outcome.failed,
        outcome.skipped_ids,
        time.monotonic() - started,
    )


def test_modules() -> list[str]:
    """Returns all test module names, the slow integration ones first."""
    files = sorted(ROOT.rglob("test_*.py"))
    names = [
        ".".join(file.relative_to(ROOT.parent).with_suffix("").parts)
        for file in files
    ]
    return sorted(names, key=lambda name: "integration" not in name)


def known_red() -> set[str]:
    """Returns the ids of the tests listed as known to fail."""
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {
        line.split("|")[0].strip()
        for line in lines
        if line.strip() and not line.startswith("#")
    }


def main() -> int:
    """Runs the selected tests; returns 1 if one failed or none passed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("wanted", nargs="?", default="", help="part of an id")
    parser.add_argument("--processes", type=int, default=MAX_PROCESSES)
    args = parser.parse_args()
    red = known_red()
    passed = failed = skipped = 0
    with concurrent.futures.ProcessPoolExecutor(
        args.processes, max_tasks_per_child=1
    ) as pool:
        futures = [
            pool.submit(run_module, module, args.wanted)
            for module in test_modules()
        ]
        for fut in concurrent.futures.as_completed(futures):
            outcome = fut.result()
            skipped += len(outcome.skipped)
            passed += len([test for test in outcome.passed if test not in red])
            for test in set(outcome.passed) & red:
                print(f"known red, passed this time: {test}")
            for test, text in outcome.failed.items():
                if test in red:
                    print(f"known red, failed: {test}\n{text}")
                    continue
                failed += 1
                print(f"FAILED {test}\n{text}")
            if outcome.passed or outcome.failed:
                print(f"{outcome.module}: {outcome.seconds:.1f} s")
            sys.stdout.flush()
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
