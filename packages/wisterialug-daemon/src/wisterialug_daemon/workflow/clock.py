"""The clocks of one process."""

from __future__ import annotations

import time


def now_s() -> float:
    """Returns a monotonic time that advances while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Returns the wall-clock time in ms since the Unix epoch."""
    return time.time_ns() // 1_000_000
