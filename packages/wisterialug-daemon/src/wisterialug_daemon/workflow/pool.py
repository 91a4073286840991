"""Greenlets that belong to one owner and end with it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
import eventlet.greenthread

from wisterialug_daemon import logs

if TYPE_CHECKING:
    from collections.abc import Callable


# Pause before work that failed is begun again.
RESTART_PAUSE_S = 0.2


class Greenlets:
    """Spawns greenlets, logs what they raise and ends them together."""

    def __init__(self) -> None:
        self._running: set[eventlet.greenthread.GreenThread] = set()

    def spawn(self, function: Callable[..., None], *args: object) -> None:
        """Runs a function beside the caller."""
        thread = eventlet.spawn(self._guard, function, *args)
        self._running.add(thread)
        thread.link(self._running.discard)

    def supervise(self, function: Callable[[], None]) -> None:
        """Runs a function beside the caller, again each time that it fails."""
        self.spawn(self._again, function)

    def _again(self, function: Callable[[], None]) -> None:
        while True:
            try:
                function()
            except Exception as exc:  # noqa: BLE001 - the work must go on
                logs.warning(
                    "greenlet-failed",
                    function=_name(function),
                    error=f"{type(exc).__name__}: {exc}",
                )
                eventlet.sleep(RESTART_PAUSE_S)
            else:
                return

    def close(self) -> None:
        """Ends all greenlets but the calling one."""
        current = eventlet.getcurrent()
        for thread in list(self._running):
            if thread is not current:
                thread.kill()

    def _guard(self, function: Callable[..., None], *args: object) -> None:
        try:
            function(*args)
        except Exception as exc:  # noqa: BLE001 - one fault ends one greenlet
            logs.warning(
                "greenlet-failed",
                function=_name(function),
                error=f"{type(exc).__name__}: {exc}",
            )


def _name(function: Callable[..., None]) -> str:
    return getattr(function, "__qualname__", repr(function))
