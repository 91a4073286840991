"""Assignment of workers and new jobs to shards.

There are more starts a second than one process can decide and send. Each shard
gets racks of all data centres, so that the loss of one leaves every shard with
workers; jobs go to shards with short waits.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING, NamedTuple

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import ownership

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable, Mapping

    from wisterialug_core.workflow import model

# Random shards that are compared for one job. With two, VMs that see the same
# stale loads do not all choose the same shard.
SAMPLED_SHARDS = 2
FIRST_SHARD = 0
# Minimum room assumed of a shard, as a fraction of its capacity, so that one
# that seems full is still tried now and then.
MIN_ROOM_FRACTION = 0.01
# Where the settings hold none.
DEFAULT_REMOTE_SLOWDOWN = 2.0


class RackKey(NamedTuple):
    """Identifies a rack's workers of one service."""

    service: str
    data_centre: str
    rack: str


@dataclasses.dataclass(frozen=True)
class ShardLoad:
    """A VM's view of a shard's load.

    Attributes:
      capacity_millicores: Processor capacity of its workers.
      room_millicores: The part not reserved by long-running tasks.
      backlog_core_ms: Unfinished work of other tasks.
      owned: Its owner is believed to be alive.
    """

    capacity_millicores: int
    room_millicores: int
    backlog_core_ms: int
    owned: bool

    @property
    def room(self) -> float:
        """Returns the room to assume, in millicores."""
        least = MIN_ROOM_FRACTION * self.capacity_millicores
        return max(least, self.room_millicores, 1)

    @property
    def wait_s(self) -> float:
        """Returns the time that the backlog will take."""
        return self.backlog_core_ms / self.room


@dataclasses.dataclass
class _RackLabels:
    """Labels of one service's racks in one shard."""

    labels: set[str] = dataclasses.field(default_factory=set)


class Layout:
    """An immutable assignment of racks to shards.

    Attributes:
      message: The stored form.
      shards: Number of shards.
    """

    def __init__(
        self,
        message: workflow_pb2.Layout | None = None,
        remote_slowdown: float = DEFAULT_REMOTE_SLOWDOWN,
    ) -> None:
        """Initializes the layout.

        Args:
          message: The stored form.
          remote_slowdown: How many times as long a task takes away from its
            data.
        """
        self._remote_slowdown = remote_slowdown
        self.message = message or workflow_pb2.Layout()
        self.shards = max(1, self.message.shards)
        self._shard_of: dict[RackKey, int] = {}
        self._rack_labels: dict[str, dict[int, _RackLabels]] = {}
        for place in self.message.racks:
            key = RackKey(place.service, place.data_centre, place.rack)
            self._shard_of[key] = place.shard
            shards = self._rack_labels.setdefault(place.service, {})
            offered = shards.setdefault(place.shard, _RackLabels())
            offered.labels.update(place.labels)

    def shard_of(self, report: model.WorkerReport) -> int | None:
        """Returns a worker's shard; None until its rack is assigned."""
        return self._shard_of.get(rack_key(report))

    def choose(
        self,
        job: workflow_pb2.Job,
        loads: Mapping[int, ShardLoad],
        rng: random.Random,
    ) -> int:
        """Returns the shard for a new job; `rng` draws those to compare."""
        service = job.policy.service
        shards = self._rack_labels.get(service)
        if not shards:
            return FIRST_SHARD
        wanted = {s.required_label for s in job.steps if s.required_label}
        eligible = self.eligible(service, wanted) or list(shards)
        options = [s for s in eligible if loads[s].owned] or eligible
        # All VMs see the same loads, half a second old; if each chose the best
        # shard, a whole burst would go there.
        weights = [loads[shard].room for shard in options]
        if any(step.long_running for step in job.steps):
            return rng.choices(options, weights)[0]
        near = self._near(job)
        if near in options and self._worth_waiting(job, loads, options, near):
            return near
        drawn = rng.choices(options, weights, k=SAMPLED_SHARDS)
        return min(drawn, key=lambda shard: loads[shard].wait_s)

    def eligible(self, service: str, labels: set[str]) -> list[int]:
        """Returns the shards whose workers of a service have these labels."""
        shards = self._rack_labels.get(service, {})
        return [s for s, offered in shards.items() if labels <= offered.labels]

    def _near(self, job: workflow_pb2.Job) -> int | None:
        """Returns the shard of the first rack that holds data of the job."""
        for step in job.steps:
            if step.data_rack:
                for key, shard in self._shard_of.items():
                    if (key.service, key.rack) == (
                        job.policy.service,
                        step.data_rack,
                    ):
                        return shard
        return None

    def _worth_waiting(
        self,
        job: workflow_pb2.Job,
        loads: Mapping[int, ShardLoad],
        options: list[int],
        near: int,
    ) -> bool:
        """Returns whether data locality is worth the wait in `near`."""
        slowed_s = sum(s.estimate_ms for s in job.steps if s.data_rack) / 1000
        lost_s = (self._remote_slowdown - 1) * slowed_s
        shortest_s = min(loads[shard].wait_s for shard in options)
        return loads[near].wait_s <= shortest_s + lost_s


def rack_key(report: model.WorkerReport) -> RackKey:
    """Returns the rack that a worker belongs to."""
    return RackKey(report.service, report.data_centre, report.rack)


def extend(
    layout: Layout,
    reports: Iterable[model.WorkerReport],
    vms: Collection[workflow_pb2.Member] = (),
) -> workflow_pb2.Layout | None:
    """Returns the layout with new racks added; None if there are none.

    A rack goes to the shard with the fewest racks of its service in its data
    centre, then the least capacity of the service, then in all.

    Args:
      layout: The layout so far.
      reports: All listed workers.
      vms: The VMs that may own shards.
    """
    by_rack: dict[RackKey, list[model.WorkerReport]] = {}
    sizes: collections.Counter[str] = collections.Counter()
    for report in reports:
        by_rack.setdefault(rack_key(report), []).append(report)
        sizes[report.service] += 1
    known = {
        RackKey(p.service, p.data_centre, p.rack) for p in layout.message.racks
    }
    new = sorted(by_rack.keys() - known)
    if not new:
        return None
    message = workflow_pb2.Layout()
    message.CopyFrom(layout.message)
    message.shards = max(
        layout.shards, ownership.shards_needed(sum(sizes.values()), vms)
    )
    for key in new:
        workers = by_rack[key]
        message.racks.add(
            service=key.service,
            data_centre=key.data_centre,
            rack=key.rack,
            shard=_emptiest(
                message, key, ownership.shards_needed(sizes[key.service], vms)
            ),
            capacity_millicores=sum(
                worker.capacity.cpu_millicores for worker in workers
            ),
            labels=sorted(
                {label for worker in workers for label in worker.labels}
            ),
        )
    return message


def _emptiest(message: workflow_pb2.Layout, key: RackKey, shards: int) -> int:
    """Returns the shard for a new rack.

    Args:
      message: The layout so far.
      key: The rack.
      shards: Shards that the rack's service is split into; a small service
        stays in one, so that its wide jobs find room.
    """
    here: collections.Counter[int] = collections.Counter()
    service: collections.Counter[int] = collections.Counter()
    total: collections.Counter[int] = collections.Counter()
    for place in message.racks:
        total[place.shard] += place.capacity_millicores
        if place.service == key.service:
            service[place.shard] += place.capacity_millicores
            if place.data_centre == key.data_centre:
                here[place.shard] += 1
    options = set(service)
    if len(options) < shards:
        options = set(range(message.shards))
    return min(
        options,
        key=lambda shard: (here[shard], service[shard], total[shard], shard),
    )
