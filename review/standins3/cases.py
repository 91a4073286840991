"""What the cases of this review have in common."""

from __future__ import annotations

import os
import pathlib
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
    world = make()
    result = CANNOT_RUN
    lines: list[str] = []

    def give_up() -> None:
        world.record.add("result", found="out of time")
        world.record.write(pathlib.Path(folder) / "record.txt")
        world.close()
        os._exit(CANNOT_RUN)

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
