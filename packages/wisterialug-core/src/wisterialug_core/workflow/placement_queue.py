"""Bounds how many waiting groups one round considers.

A backlog may hold thousands of groups, and the most urgent of them may be those
that can start nowhere now: other kinds of work are looked at behind them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

from wisterialug_core.decisions import resources
from wisterialug_core.workflow import job_table, worker_table

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Iterable

    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import job_entry, model

# Groups that one round considers; bounds its duration.
MAX_GROUPS_PER_ROUND = 400

_Item = TypeVar("_Item")
Waiting = tuple["model.GroupKey", list["model.Task"]]


class WorkKind(NamedTuple):
    """What decides on which workers tasks may run."""

    service: str
    label: str
    fills: bool


def kind_of(entry: job_entry.JobEntry, step: workflow_pb2.Step) -> WorkKind:
    """Returns the kind of a step's tasks."""
    return WorkKind(entry.job.policy.service, step.required_label, step.fills)


def bounded(
    items: Iterable[_Item], kind: Callable[[_Item], Hashable], limit: int
) -> list[_Item]:
    """Returns the first items, and some of each kind that is not among them.

    Args:
      items: All items, the most urgent first.
      kind: Returns the kind of an item.
      limit: How many to take in their order, and how many more at the most.
    """
    items = list(items)
    first = items[:limit]
    known = set(map(kind, first))
    rest = [item for item in items[limit:] if kind(item) not in known]
    return first + rest[:limit]


def placeable(
    queue: Iterable[Waiting],
    jobs: job_table.JobTable,
    usable: list[worker_table.Worker],
    limit: int = MAX_GROUPS_PER_ROUND,
) -> list[Waiting]:
    """Returns the groups that a round considers, in their order.

    In a long queue, groups that can neither start nor have a worker held for
    them are left out: they may wait for as long as long-running tasks run.

    Args:
      queue: All groups that wait, the most urgent first.
      jobs: The shard's jobs.
      usable: Workers that may get runs.
      limit: The most groups to return.
    """
    queue = list(queue)
    if len(queue) <= limit:
        return queue
    rooms = _Rooms(jobs, usable)

    def kind(item: Waiting) -> WorkKind:
        entry = jobs.jobs[item[0].job]
        return kind_of(entry, entry.job.steps[item[0].step])

    return bounded(filter(rooms.may_get_room, queue), kind, limit)


class _Rooms:
    """Where waiting groups can get room, for one round."""

    def __init__(
        self, jobs: job_table.JobTable, usable: list[worker_table.Worker]
    ) -> None:
        self._jobs = jobs
        self._usable = usable
        # Eligible workers, and the most of each resource that one has.
        self._eligible: dict[
            tuple[str, str], tuple[list[worker_table.Worker], resources.Amount]
        ] = {}
        self._fits: dict[tuple, bool] = {}

    def may_get_room(self, item: Waiting) -> bool:
        """Returns whether any of a group fits once finite runs have ended."""
        group = item[0]
        entry = self._jobs.jobs[group.job]
        step = entry.job.steps[group.step]
        workers, most = self._eligible_workers(entry, step)
        need = job_table.reserved_amount(step)
        if not need.fits(most):
            return False
        limited = group if step.max_per_worker else None
        key = (entry.job.policy.service, step.required_label, need, limited)
        if key not in self._fits:
            self._fits[key] = any(
                w.has_room_after_batch(step, group) for w in workers
            )
        return self._fits[key]

    def _eligible_workers(
        self, entry: job_entry.JobEntry, step: workflow_pb2.Step
    ) -> tuple[list[worker_table.Worker], resources.Amount]:
        key = (entry.job.policy.service, step.required_label)
        if key not in self._eligible:
            workers = worker_table.eligible_workers(entry, step, self._usable)
            most = resources.ZERO
            for worker in workers:
                most = most.at_least(worker.free_after_batch())
            self._eligible[key] = workers, most
        return self._eligible[key]
