"""Greenlets that belong to one object and end with it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
import eventlet.greenthread

from wisterialug_daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable


# Pause before a failed function is restarted.
RESTART_PAUSE_S = 0.2


class Greenlets:
    """Spawns greenlets, logs their exceptions and kills them together."""

    def __init__(self) -> None:
        self._running: set[eventlet.greenthread.GreenThread] = set()

    def spawn(self, function: Callable[..., None], *args: object) -> None:
        """Runs a function concurrently."""
        thread = eventlet.spawn(self._guard, function, *args)
        self._running.add(thread)
        thread.link(self._running.discard)

    def supervise(self, function: Callable[[], None]) -> None:
        """Runs a function concurrently; restarts it after each exception."""
        self.spawn(self._restart_on_error, function)

    def _restart_on_error(self, function: Callable[[], None]) -> None:
        while True:
            try:
                function()
            except Exception as exc:  # noqa: BLE001 - logged, then restarted
                logs.warning(
                    "greenlet-failed",
                    function=_name(function),
                    error=f"{type(exc).__name__}: {exc}",
                )
                eventlet.sleep(RESTART_PAUSE_S)
            else:
                return

    def close(self) -> None:
        """Kills all greenlets but the calling one."""
        current = eventlet.getcurrent()
        for thread in list(self._running):
            if thread is not current:
                thread.kill()

    def _guard(self, function: Callable[..., None], *args: object) -> None:
        try:
            function(*args)
        except Exception as exc:  # noqa: BLE001 - logged; others go on
            logs.warning(
                "greenlet-failed",
                function=_name(function),
                error=f"{type(exc).__name__}: {exc}",
            )


def _name(function: Callable[..., None]) -> str:
    return getattr(function, "__qualname__", repr(function))
