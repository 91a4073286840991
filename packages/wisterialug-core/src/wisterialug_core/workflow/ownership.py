"""Decides how many shards there are and which VMs own them.

An owner that has more workers than its VM can handle answers late, loses its
leases and is replaced by the next VM, which fails in the same way. So shards
are small enough for the VMs, and no VM owns more than it can carry.
"""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

from wisterialug_core.schema import workflow_pb2

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

# Size of a shard where all VMs are strong: a placement round takes some 10 ms.
# In smaller ones fill work finds fewer workers beside which it does no harm, and
# each shard has to learn which those are.
WORKERS_PER_SHARD = 180
# What a worker of a busy shard takes of its owner's processor, at most, with a
# margin of a third (docs/CAPACITY.md).
WORKER_MILLICORES = 6.0
# Reports, orders and records of a worker on its owner's link.
WORKER_KBPS = 80.0
# Shares of a VM for owning shards; the rest serves callers and absorbs bursts.
OWNER_CPU_SHARE = 0.5
OWNER_LINK_SHARE = 0.5
# Shards must fit on this many times as many VMs as there are shards, so that
# they still do after the loss of some.
SPARE_FACTOR = 2
# Pause between the claims of two candidates: the next one sees a claim within
# some 20 ms.
CLAIM_STEP_S = 0.06
# Candidates after this many do not wait longer than the last of them.
MAX_CLAIM_RANK = 12
# Polls in a row without a response after which a worker is out of reach: single
# ones are lost, or carried out late, on a path that is not cut.
UNREACHABLE_POLLS = 2
# Share of unreachable workers at which the shard is released: another VM may
# reach more of them.
CUT_OFF_SHARE = 0.6


def worker_capacity(vm: workflow_pb2.Member) -> int:
    """Returns how many workers a VM can carry as an owner, at least one."""
    by_cpu = OWNER_CPU_SHARE * vm.millicores / WORKER_MILLICORES
    by_link = OWNER_LINK_SHARE * vm.link_kbps / WORKER_KBPS
    return max(1, int(min(by_cpu, by_link)))


def shards_needed(workers: int, vms: Collection[workflow_pb2.Member]) -> int:
    """Returns the least number of shards that the VMs can carry."""
    capacities = sorted(map(worker_capacity, vms), reverse=True)
    shards = max(1, round(workers / WORKERS_PER_SHARD))
    while shards < workers and capacities:
        weakest = min(SPARE_FACTOR * shards, len(capacities)) - 1
        if math.ceil(workers / shards) <= capacities[weakest]:
            break
        shards += 1
    return shards


def claim_delay_s(
    node: str,
    shard: str,
    vms: Mapping[str, workflow_pb2.Member],
    owned: Mapping[str, int],
) -> float:
    """Returns how long a VM waits before it claims a shard without owner.

    After the loss of many VMs, all others see the same shards without owner.
    They claim one by one: first those that would own the fewest shards for
    their capacity, in an order that differs between shards.

    Args:
      node: The VM.
      shard: Name of the shard.
      vms: All registered VMs, by name; some may be down.
      owned: Number of shards that each VM owns.
    """

    def load(name: str) -> tuple[float, bytes]:
        shards = owned.get(name, 0) + 1
        digest = hashlib.blake2b(f"{name}\0{shard}".encode(), digest_size=8)
        return shards / worker_capacity(vms[name]), digest.digest()

    own = load(node)
    rank = sum(load(name) < own for name in vms if name != node)
    return CLAIM_STEP_S * min(rank, MAX_CLAIM_RANK)


def claim(before: workflow_pb2.Ownership, owner: str) -> workflow_pb2.Ownership:
    """Returns the row of a claim, with counts that are as old as before."""
    return workflow_pb2.Ownership(
        owner=owner,
        epoch=before.epoch + 1,
        renewal=1,
        waiting=before.waiting,
        accepted_version=before.accepted_version,
        counted_version=before.counted_version,
    )


def shard_to_release(
    node: str,
    shards: Mapping[str, int],
    vms: Mapping[str, workflow_pb2.Member],
    owned: Mapping[str, int],
) -> str | None:
    """Returns a shard that other VMs should own instead, if there is one.

    After a restart of all VMs, the first ones up take several shards, or one
    that is too large for them. A VM keeps what it can carry, and its last shard
    unless a stronger VM owns none.

    Args:
      node: The VM that owns the shards.
      shards: Number of workers of each shard that it owns.
      vms: All registered VMs, by name; some may be down.
      owned: Number of shards that each VM owns.
    """
    own_capacity = worker_capacity(vms[node])
    if sum(shards.values()) <= own_capacity:
        return None
    smallest = min(shards, key=lambda name: (shards[name], name))
    least = shards[smallest]
    if len(shards) == 1:
        least = max(least, own_capacity + 1)
    idle = any(
        not owned.get(name) and worker_capacity(vm) >= least
        for name, vm in vms.items()
        if name != node
    )
    return smallest if idle else None


def is_cut_off(unanswered_polls: Collection[int]) -> bool:
    """Returns whether a VM is cut off from most workers of its shard.

    Args:
      unanswered_polls: For each worker, how many of the latest polls in a row
        had no response.
    """
    unreachable = sum(n >= UNREACHABLE_POLLS for n in unanswered_polls)
    least = CUT_OFF_SHARE * len(unanswered_polls)
    return bool(unanswered_polls) and unreachable >= least


def count_owned(owners: Iterable[str]) -> dict[str, int]:
    """Counts the shards of each VM, from the IDs of all shards' owners."""
    counts: dict[str, int] = {}
    for owner in owners:
        name = owner.rpartition("/")[0]
        if name:
            counts[name] = counts.get(name, 0) + 1
    return counts
