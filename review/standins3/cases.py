"""What the cases of this review have in common."""

from __future__ import annotations

import os
import pathlib
import signal
import sys
import threading
import time
import traceback
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    import world as worlds

BROKEN, HELD, CANNOT_RUN = 1, 0, 2
LIMIT_S = 116.0
SETTLE_S = 3.0
# The rule LOST: nothing running for this long.
NOTHING_S = 3.0
OPEN_STATES = frozenset({"queued", "running"})


class CannotRunError(Exception):
    """Reports that a case could not be played."""


def trouble() -> bool:
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(
    folder: str,
    make: Callable[[], worlds.World],
    play: Callable[[worlds.World], list[str]],
) -> None:
    """Plays a case, writes its record, and exits with its result.

    Args:
      folder: Where the record is written.
      make: Makes the deployment.
      play: Plays the case; returns how the rule was broken.
    """
    try:
        world = make()
    except Exception:  # noqa: BLE001 - reported; the case could not run
        sys.stdout.write(traceback.format_exc())
        sys.exit(CANNOT_RUN)
    result = CANNOT_RUN
    lines: list[str] = []

    def give_up(*_: object) -> None:
        world.record.add("result", found="out of time, or told to stop")
        world.record.write(pathlib.Path(folder) / "record.txt")
        world.close()
        os._exit(CANNOT_RUN)

    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGINT, give_up)
    timer = threading.Timer(LIMIT_S, give_up)
    timer.daemon = True
    timer.start()
    try:
        lines = play(world)
        result = BROKEN if lines else HELD
    except CannotRunError as exc:
        lines = [f"could not run: {exc}"]
    except Exception:  # noqa: BLE001 - reported; the case could not run
        lines = traceback.format_exc().splitlines()
    for line in lines:
        world.record.add("result", found=line)
    if not lines:
        world.record.add("result", found="the rule held")
    world.record.write(pathlib.Path(folder) / "record.txt")
    world.close()
    text = "\n".join([*lines, {0: "held", 1: "broken", 2: "not run"}[result]])
    sys.stdout.write(text + "\n")
    sys.stdout.flush()
    os._exit(result)


def begin(world: worlds.World) -> None:
    """Starts the processes and waits until they have settled.

    Raises:
      CannotRunError: They are not ready in time.
    """
    if not world.start_fronts():
        raise CannotRunError("the processes are not ready in time")
    time.sleep(SETTLE_S)


def need(condition: object, what: str) -> None:
    """Raises an error if a case can't go on.

    Raises:
      CannotRunError: The condition does not hold.
    """
    if not condition:
        raise CannotRunError(what)


def idle_jobs(
    world: worlds.World, jobs: list[str], has_room: Callable[[], bool]
) -> list[str]:
    """Returns the open jobs of which nothing runs for three seconds.

    Args:
      world: The deployment.
      jobs: Jobs that were accepted.
      has_room: Returns whether there is capacity for them, as the rule asks.
    """
    idle = [job for job in jobs if world.state(job) in OPEN_STATES]
    until_s = time.monotonic() + NOTHING_S
    while idle and time.monotonic() < until_s:
        if not has_room():
            return []
        idle = [job for job in idle if not world.running(job)]
        time.sleep(0.05)
    # One that has ended in between is not open any more.
    return [job for job in idle if world.state(job) in OPEN_STATES]
