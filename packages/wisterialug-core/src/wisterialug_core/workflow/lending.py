"""Selects waiting tasks to lend to other shards.

A shard may lose workers, get more long-running tasks than its share, or get a
job with more tasks than its workers hold, while others have free capacity.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from wisterialug_core.workflow import waiting_groups

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Mapping

    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import job_table, model, worker_table

# A shard must have this many times the capacity that a long-running task needs:
# what is free is fragmented over workers, and the reported value is a second
# old.
ROOM_FACTOR = 3.0
# After this many loans, a task stays and waits in its current shard.
MAX_LOANS = 12
# Sizes of finite tasks for which shards report how many fit, up to that of
# their largest worker. The stored report is by index: sizes are only added.
TASK_SIZES_MILLICORES = (
    1000,
    2000,
    4000,
    8000,
    16_000,
    24_000,
    32_000,
    48_000,
    64_000,
    96_000,
    128_000,
    192_000,
    256_000,
)
# Share of the reported capacity that one shard may use: others lend as well,
# and the report is up to a second old.
OFFER_SHARE = 0.5


def choose(
    waiting: Iterable[tuple[model.Task, int]],
    free_millicores: Mapping[str, int],
) -> list[tuple[model.Task, str]]:
    """Returns long-running tasks to lend, each with the least loaded shard.

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


@dataclasses.dataclass(frozen=True)
class SpareCapacity:
    """What a shard can run beside its own waiting tasks.

    Attributes:
      free_slots: How many finite tasks fit, by TASK_SIZES_MILLICORES;
        those that are larger than any worker are left out.
      fill_room_millicores: Processor time left for fill work.
    """

    free_slots: tuple[int, ...] = ()
    fill_room_millicores: int = 0


def spare_capacity(
    jobs: job_table.JobTable,
    workers: worker_table.WorkerTable,
    now_s: float,
    now_ms: int,
    waits_by_choice: Container[model.TaskKey] = (),
) -> SpareCapacity:
    """Returns what the shard can run beside its own waiting tasks.

    Args:
      jobs: The shard's jobs.
      workers: The shard's workers.
      now_s: Monotonic time.
      now_ms: Unix time.
      waits_by_choice: Tasks that wait though there is room for them.
    """
    usable = [w for w in workers.workers.values() if w.usable(now_s)]
    least_waiting = math.inf
    fill_waits = False
    for group, waiting in waiting_groups.pending_groups(jobs, now_s, now_ms):
        if all(task.key in waits_by_choice for task in waiting):
            continue
        step = jobs.step(group)
        if step.fills:
            fill_waits = True
        else:
            least_waiting = min(least_waiting, step.cpu_millicores)
    free = [max(0, w.free().cpu_millicores) for w in usable]
    largest = max((w.report.capacity.cpu_millicores for w in usable), default=0)
    return SpareCapacity(
        tuple(
            0 if size >= least_waiting else sum(f // size for f in free)
            for size in TASK_SIZES_MILLICORES
            if size <= largest
        ),
        0
        if fill_waits
        else sum(max(0, w.fill_room_millicores()) for w in usable),
    )


class Offer:
    """What another shard can take, reduced by what is lent to it."""

    def __init__(self, spare: SpareCapacity) -> None:
        # Rounded up: few workers have room for the largest tasks.
        self._slots = [math.ceil(n * OFFER_SHARE) for n in spare.free_slots]
        self._fill_millicores = int(spare.fill_room_millicores * OFFER_SHARE)

    def tasks(self, step: workflow_pb2.Step) -> int:
        """Returns how many tasks of a step the shard can take."""
        if step.fills:
            return self._fill_millicores // max(1, step.cpu_millicores)
        for size, slots in zip(
            TASK_SIZES_MILLICORES, self._slots, strict=False
        ):
            if size >= step.cpu_millicores:
                return slots
        return 0

    def take(self, step: workflow_pb2.Step) -> None:
        """Counts one task of a step."""
        if step.fills:
            self._fill_millicores -= step.cpu_millicores
            return
        for number, size in enumerate(
            TASK_SIZES_MILLICORES[: len(self._slots)]
        ):
            used = max(1, math.ceil(step.cpu_millicores / size))
            self._slots[number] = max(0, self._slots[number] - used)


def choose_finite(
    waiting: Iterable[tuple[model.Task, workflow_pb2.Step, set[str]]],
    offers: Mapping[str, Offer],
) -> list[tuple[model.Task, str]]:
    """Returns finite tasks to lend, each with the shard that has most room.

    It answers a burst of wide steps: a step of 160 tasks waits for three rounds
    in a shard of 80 workers while others idle.

    Args:
      waiting: Tasks with their step and the shards that may run them, the most
        urgent first.
      offers: What the other shards can take; reduced by what is chosen.
    """
    chosen = []
    for task, step, eligible in waiting:
        options = [name for name in eligible if name in offers]
        if not options or task.loans >= MAX_LOANS:
            continue
        shard = max(options, key=lambda name: offers[name].tasks(step))
        if offers[shard].tasks(step) > 0:
            offers[shard].take(step)
            chosen.append((task, shard))
    return chosen
