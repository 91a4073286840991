"""Background greenlets that run until the application closes them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import eventlet
import eventlet.greenthread
from absl import logging

from wisterialug_daemon import metrics

if TYPE_CHECKING:
    import contextlib
    import random
    from collections.abc import Callable

JITTER_RATIO = 0.1
LAG_PROBE_INTERVAL_S = 0.25


def run_every(
    stack: contextlib.ExitStack,
    interval_s: float,
    work: Callable[[], None],
    rng: random.Random,
) -> None:
    """Runs work periodically, with jitter, until the stack closes."""

    def loop() -> None:
        while True:
            try:
                work()
            except Exception:  # noqa: BLE001 - the loop must go on
                logging.exception("background work failed")
            jitter = 1 + JITTER_RATIO * (2 * rng.random() - 1)
            eventlet.sleep(interval_s * jitter)

    thread = eventlet.spawn(loop)
    stack.callback(eventlet.greenthread.kill, thread)


def measure_loop_lag(stack: contextlib.ExitStack) -> None:
    """Exports how late timers fire, which shows how long calls block."""
    longest = 0.0

    def loop() -> None:
        nonlocal longest
        while True:
            due = time.monotonic() + LAG_PROBE_INTERVAL_S
            eventlet.sleep(LAG_PROBE_INTERVAL_S)
            lag = max(0.0, time.monotonic() - due)
            metrics.LOOP_LAG.observe(lag)
            if lag > longest:
                longest = lag
                metrics.LOOP_LAG_MAX.set(lag)

    thread = eventlet.spawn(loop)
    stack.callback(eventlet.greenthread.kill, thread)
