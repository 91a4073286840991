"""Which waiting tasks another shard is to run.

Load pattern: a shard loses workers, or got more lasting tasks than its share,
while others have room. Tasks that last would wait there for good; those that
end wait for seconds at most.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wisterialug_core.workflow import model

# A shard gets a task if it has this many times the room. Its room is spread
# over workers, and what is known of it is a second old.
ROOM_FACTOR = 3.0
# After so many shards in vain, a task stays and waits where it is.
MAX_LOANS = 12


def choose(
    waiting: Iterable[tuple[model.Task, int]], rooms: Mapping[str, int]
) -> list[tuple[model.Task, str]]:
    """Returns tasks to lend, each with the shard that has the most room.

    Args:
      waiting: Tasks with the processor that they need, in thousandths of a
        core.
      rooms: What lasting tasks leave in each other shard, alike.
    """
    left = dict(rooms)
    chosen = []
    for task, need in waiting:
        if not left:
            break
        shard = max(left, key=left.__getitem__)
        if left[shard] >= ROOM_FACTOR * need and task.loans < MAX_LOANS:
            left[shard] -= need
            chosen.append((task, shard))
    return chosen
