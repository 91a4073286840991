"""Tests of rate-limited, non-blocking log output."""

import json
import logging
import os
import subprocess
import sys

import testtools

from wisterialug_daemon import log_stream

# Logs more than a pipe and the buffer hold, as the daemon does: patched.
PATCHED_WRITER = """
from wisterialug_daemon import hub
hub.install()
import logging, os
from wisterialug_daemon import log_stream
reader, writer = os.pipe()
limiter = log_stream.LogRateLimiter(1e6, 1e6)
log = logging.getLogger("test")
log.propagate = False
log.addHandler(log_stream.StreamHandler(writer, limiter))
for _ in range(400):
    log.error("x" * 4000)
os._exit(0)
"""
PATCHED_TIMEOUT_S = 20


class LogRateLimiterTest(testtools.TestCase):
    def test_each_event_has_its_own_budget(self):
        limiter = log_stream.LogRateLimiter(lines_per_s=2, burst=3)
        allowed = [limiter.allow("a", 0.0) for _ in range(5)]
        self.assertEqual([True] * 3 + [False] * 2, allowed)
        self.assertTrue(limiter.allow("b", 0.0))
        self.assertTrue(limiter.allow("a", 0.5))
        self.assertFalse(limiter.allow("a", 0.5))

    def test_dropped_lines_are_summarized_once_a_second(self):
        limiter = log_stream.LogRateLimiter(lines_per_s=0, burst=1)
        for _ in range(4):
            limiter.allow("a", 5.0)
        self.assertEqual({"a": 3}, limiter.take_summary(5.0))
        limiter.allow("a", 5.1)
        self.assertEqual({}, limiter.take_summary(5.2))
        self.assertEqual({"a": 1}, limiter.take_summary(6.1))


class StreamHandlerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.now_s = 0.0
        self.handler = log_stream.StreamHandler(
            self.writer, log_stream.LogRateLimiter(), lambda: self.now_s
        )

    def emit(self, text):
        self.handler.emit(
            logging.LogRecord("n", logging.INFO, "f", 1, text, (), None)
        )

    def test_stalled_reader_does_not_block(self):
        for number in range(400):
            self.now_s += 1
            self.emit(f"{number:04}" + "x" * 4000)
        os.set_blocking(self.reader, False)
        text = b""
        while True:
            try:
                chunk = os.read(self.reader, 65536)
            except BlockingIOError:
                self.now_s += 1
                self.emit("end")
                try:
                    chunk = os.read(self.reader, 65536)
                except BlockingIOError:
                    break
            text += chunk
            if b"end" in text:
                break
        # Lines are complete and in order; the later ones were dropped.
        lines = text.decode().splitlines()
        numbers = [int(line[:4]) for line in lines if line[:4].isdigit()]
        self.assertEqual(list(range(len(numbers))), numbers)
        self.assertLess(len(numbers), 400)

    def test_summary_is_a_separate_line(self):
        for _ in range(500):
            self.emit("again")
        self.now_s = 2.0
        self.emit("other")
        lines = os.read(self.reader, 1 << 20).decode().splitlines()
        summary = json.loads(lines[-2])
        self.assertEqual("lines-left-out", summary["event"])
        self.assertEqual({"again": 320}, summary["lines"])

    def test_stalled_reader_does_not_block_a_patched_process(self):
        # eventlet's os.write waits until the reader has made room.
        process = subprocess.run(
            [sys.executable, "-W", "ignore", "-c", PATCHED_WRITER],
            timeout=PATCHED_TIMEOUT_S,
            check=False,
        )
        self.assertEqual(0, process.returncode)
