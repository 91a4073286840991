"""Selects waiting tasks to lend to other shards.

A shard may lose workers, or get more long-running tasks than its share, while
others have free capacity. Long-running tasks would wait there indefinitely;
finite ones wait for seconds at most.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wisterialug_core.workflow import model

# A shard must have this many times the capacity that a task needs: what is free
# is fragmented over workers, and the reported value is a second old.
ROOM_FACTOR = 3.0
# After this many loans, a task stays and waits in its current shard.
MAX_LOANS = 12


def choose(
    waiting: Iterable[tuple[model.Task, int]],
    free_millicores: Mapping[str, int],
) -> list[tuple[model.Task, str]]:
    """Returns tasks to lend, each with the shard with most free capacity.

    Args:
      waiting: Tasks with the processor that they need, in millicores.
      free_millicores: What long-running tasks leave, by other shard.
    """
    left = dict(free_millicores)
    chosen = []
    for task, need in waiting:
        if not left:
            break
        shard = max(left, key=left.__getitem__)
        if left[shard] >= ROOM_FACTOR * need and task.loans < MAX_LOANS:
            left[shard] -= need
            chosen.append((task, shard))
    return chosen
