"""Rate-limited log output that does not block."""

from __future__ import annotations

import json
import logging as std_logging
import time
from typing import TYPE_CHECKING

import eventlet.patcher

if TYPE_CHECKING:
    from collections.abc import Callable

# Not patched by eventlet, whose write waits for the reader while the logging
# lock is held, so that all greenlets that log would wait.
_os = eventlet.patcher.original("os")

# Rate and burst of the lines of one event; a busy VM of the users' largest
# deployment accepts about 20 jobs a second.
LINES_PER_S = 60.0
BURST_LINES = 180.0
# Bytes buffered for a slow reader.
MAX_BUFFERED_BYTES = 262_144
# How often dropped lines are summarized.
SUMMARY_INTERVAL_S = 1.0


class LogRateLimiter:
    """Limits the lines of each event and counts the dropped ones."""

    def __init__(
        self,
        lines_per_s: float = LINES_PER_S,
        burst: float = BURST_LINES,
    ) -> None:
        self._rate = lines_per_s
        self._burst = burst
        self._tokens: dict[str, tuple[float, float]] = {}
        self._dropped: dict[str, int] = {}
        self._summarized_s = 0.0

    def allow(self, event: str, now_s: float) -> bool:
        """Takes a token for a line of an event, or counts it as dropped."""
        tokens, since_s = self._tokens.get(event, (self._burst, now_s))
        tokens = min(self._burst, tokens + (now_s - since_s) * self._rate)
        allowed = tokens >= 1
        self._tokens[event] = (tokens - 1 if allowed else tokens, now_s)
        if not allowed:
            self.count_dropped(event)
        return allowed

    def count_dropped(self, event: str) -> None:
        """Counts a dropped line."""
        self._dropped[event] = self._dropped.get(event, 0) + 1

    def take_summary(self, now_s: float) -> dict[str, int]:
        """Returns and resets the drop counts, at most once a second."""
        if not self._dropped or now_s - self._summarized_s < SUMMARY_INTERVAL_S:
            return {}
        self._summarized_s = now_s
        dropped, self._dropped = self._dropped, {}
        return dropped


class StreamHandler(std_logging.Handler):
    """Writes lines to a file descriptor without blocking."""

    def __init__(
        self,
        descriptor: int,
        limiter: LogRateLimiter,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._limiter = limiter
        self._clock = clock
        self._buffer = b""
        _os.set_blocking(descriptor, False)

    def emit(self, record: std_logging.LogRecord) -> None:
        """Writes a record, or counts it as dropped."""
        now_s = self._clock()
        dropped = self._limiter.take_summary(now_s)
        if dropped:
            self._write(_summary_line(dropped))
        if self._limiter.allow(record.getMessage(), now_s):
            self._write(self.format(record) + "\n")

    def _write(self, line: str) -> None:
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self._flush()
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self._limiter.count_dropped("reader-too-slow")
            return
        self._buffer += line.encode()
        self._flush()

    def _flush(self) -> None:
        try:
            written = _os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has gone, so the error can't be logged either.
            written = len(self._buffer)
        self._buffer = self._buffer[written:]


def _summary_line(dropped: dict[str, int]) -> str:
    return json.dumps({"event": "lines-left-out", "lines": dropped}) + "\n"
