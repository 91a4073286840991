"""Division of a new job's tasks among shards of workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result

from wisterialug_core import errors
from wisterialug_core.decisions import resources

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wisterialug_core.schema import peer_pb2, work_pb2

CHUNK_TASKS = 64


def spread(
    job: work_pb2.Job, shards: Sequence[peer_pb2.ShardLoad]
) -> result.Result[list[tuple[str, int]], errors.FieldError]:
    """Divides a job's tasks by the free capacity of shards.

    Args:
      job: The job; its tasks are alike.
      shards: Loads of the shards that have an owner.

    Returns:
      Shard and number of tasks for each chunk, or an error if no worker is
      large enough for a task.
    """
    need = resources.from_message(job.each)
    eligible = [load for load in shards if need.fits(_largest(load))]
    if not eligible:
        limits = ", ".join(f"{load.shard}: {_largest(load)}" for load in shards)
        return result.Err(
            errors.FieldError(
                "each",
                str(need),
                f"at most what one worker has ({limits or 'no shard is owned'})",
            )
        )
    capacity = {load.shard: _tasks_that_fit(need, load) for load in eligible}
    counts = dict.fromkeys(capacity, 0)
    for _ in range(job.tasks):
        best = max(capacity, key=lambda shard: (capacity[shard], shard))
        counts[best] += 1
        capacity[best] -= 1
    chunks = []
    for shard, count in counts.items():
        for first in range(0, count, CHUNK_TASKS):
            chunks.append((shard, min(count - first, CHUNK_TASKS)))
    return result.Ok(chunks)


def _largest(load: peer_pb2.ShardLoad) -> resources.Amount:
    return resources.Amount(
        load.largest_cpu_millicores,
        load.largest_memory_mib,
        load.largest_accelerators,
    )


def _tasks_that_fit(need: resources.Amount, load: peer_pb2.ShardLoad) -> int:
    """Returns how many more tasks fit, less those that wait already."""
    free = (
        load.free_cpu_millicores,
        load.free_memory_mib,
        load.free_accelerators,
    )
    fits = [have // want for have, want in zip(free, need, strict=True) if want]
    return min(fits, default=0) - load.pending_tasks
