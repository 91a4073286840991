"""Shards of workers that this VM owns."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from wisterialug_core.decisions import (
    colocation,
    placement,
    resources,
    task_order,
)
from wisterialug_core.decisions import shard as shard_lib
from wisterialug_core.schema import peer_pb2, work_pb2
from wisterialug_daemon import metrics, shard_runner

if TYPE_CHECKING:
    from wisterialug_core.decisions import worker_record
    from wisterialug_daemon import config_sync, presence, vm_inventory
    from wisterialug_daemon.adapters import table as table_lib
    from wisterialug_daemon.adapters import upstream

_QUOTA_COLUMNS = ("cpu_millicores", "memory_mib", "accelerators")
_NO_LIMIT = 2**40


class Shards:
    """Claims, runs and releases shards."""

    def __init__(
        self,
        own_vm: str,
        data_centre: str,
        placement_policy: str,
        task_lease_s: float,
        sync_interval_s: float,
        target_ratio: float,
        table: table_lib.TableClient,
        workers: upstream.WorkerClient,
        inventory: vm_inventory.VmInventory,
        config: config_sync.ConfigSync,
        presence_: presence.Presence,
    ) -> None:
        self.runners: dict[str, shard_runner.ShardRunner] = {}
        self._own_vm = own_vm
        self._data_centre = data_centre
        self._placement_policy = placement_policy
        self._task_lease_s = task_lease_s
        self._sync_interval_s = sync_interval_s
        self._colocation = colocation.Colocation(target_ratio)
        self._table = table
        self._workers = workers
        self._inventory = inventory
        self._config = config
        self._presence = presence_

    def update(self) -> None:
        """Drops lost shards, claims unowned ones, updates workers."""
        for shard, runner in list(self.runners.items()):
            if runner.lost or self._presence.session.ended:
                runner.stop()
                del self.runners[shard]
        by_shard = self._workers_by_shard()
        for shard in self._presence.claimable(
            by_shard.keys() - self.runners.keys()
        ):
            self._claim(shard)
        for shard, runner in self.runners.items():
            workers = by_shard.get(shard, [])
            drained = self._config.state.drained_vms("worker", workers)
            runner.set_workers(workers, drained)
        metrics.SHARDS_OWNED.set(len(self.runners))
        metrics.TASKS.labels("pending").set(
            sum(r.scheduler.pending_count() for r in self.runners.values())
        )
        metrics.TASKS.labels("held").set(
            sum(r.scheduler.running_count() for r in self.runners.values())
        )

    def wake(self, shard: str) -> bool:
        """Notifies a shard of new work; returns False if not owned."""
        runner = self.runners.get(shard)
        if runner is None:
            return False
        runner.wake()
        return True

    def release_all(self) -> None:
        """Releases all shards."""
        for shard, runner in self.runners.items():
            runner.stop()
            self._presence.release_shard(
                shard, runner.row_version, runner.scheduler.epoch
            )
        self.runners.clear()

    def loads(self) -> list[peer_pb2.ShardLoad]:
        """Returns the load of each owned shard."""
        return [self._load(runner) for runner in self.runners.values()]

    def listed_loads(self) -> dict[str, peer_pb2.ShardLoad]:
        """Returns the loads of all shards in the VM list, as if idle."""
        loads: dict[str, peer_pb2.ShardLoad] = {}
        for vm in self._inventory.of_role(work_pb2.VM_ROLE_WORKER):
            shard = shard_of(vm)
            load = loads.setdefault(shard, peer_pb2.ShardLoad(shard=shard))
            amount = resources.from_message(vm.resources)
            load.free_cpu_millicores += amount.cpu_millicores
            load.free_memory_mib += amount.memory_mib
            load.free_accelerators += amount.accelerators
            _raise_largest(load, amount)
        return loads

    def describe(
        self, req: peer_pb2.DescribeRequest
    ) -> peer_pb2.DescribeResponse:
        """Reports the owned shards' workers and why tasks of a job wait."""
        now = time.monotonic()
        resp = peer_pb2.DescribeResponse()
        for shard, runner in self.runners.items():
            scheduler = runner.scheduler
            if scheduler.knows_job(req.job):
                text = scheduler.explain(req.job, now)
                resp.explanations.add(shard=shard, text=text)
            for worker in scheduler.workers():
                resp.workers.add(
                    id=worker.id,
                    shard=shard,
                    state=_worker_state(worker, now),
                    attempts=len(worker.held),
                    capacity=resources.to_message(worker.capacity),
                    reserved=resources.to_message(worker.reserved()),
                )
        return resp

    def _claim(self, shard: str) -> None:
        claimed = self._presence.claim(shard)
        if claimed is None:
            return
        epoch, version = claimed
        scheduler = shard_lib.ShardScheduler(
            shard,
            epoch,
            self._own_vm,
            self._task_lease_s,
            placement.make(
                self._placement_policy, self._colocation.target_ratio
            ),
            self._limits_of,
            self._colocation,
        )
        runner = shard_runner.ShardRunner(
            scheduler,
            version,
            self._table,
            self._workers,
            self._presence,
            self._sync_interval_s,
        )
        self.runners[shard] = runner
        runner.start()

    def _workers_by_shard(self) -> dict[str, list[work_pb2.Vm]]:
        shards: dict[str, list[work_pb2.Vm]] = {}
        for vm in self._inventory.of_role(
            work_pb2.VM_ROLE_WORKER, self._data_centre
        ):
            shards.setdefault(shard_of(vm), []).append(vm)
        return shards

    def _limits_of(self, group: task_order.Group) -> task_order.Limits:
        """Returns a team's weight and this shard's part of its quota."""
        customer, team = group
        row = self._config.state.limit(customer, "team", team)
        if row is None:
            return task_order.Limits()
        weight = (
            row.weight
            if row.HasField("weight")
            else (task_order.DEFAULT_WEIGHT)
        )
        if not any(row.HasField(column) for column in _QUOTA_COLUMNS):
            return task_order.Limits(weight)
        count = self._shard_count()
        quota = resources.Amount(
            *(
                getattr(row, column) // count
                if row.HasField(column)
                else _NO_LIMIT
                for column in _QUOTA_COLUMNS
            )
        )
        return task_order.Limits(weight, quota)

    def _shard_count(self) -> int:
        workers = self._inventory.of_role(work_pb2.VM_ROLE_WORKER)
        return max(1, len({shard_of(vm) for vm in workers}))

    def _load(self, runner: shard_runner.ShardRunner) -> peer_pb2.ShardLoad:
        free = resources.ZERO
        load = peer_pb2.ShardLoad(
            shard=runner.scheduler.shard,
            pending_tasks=runner.scheduler.pending_count(),
        )
        for worker in runner.scheduler.workers():
            if worker.listed and not worker.leaving:
                free = free.plus(worker.free())
                _raise_largest(load, worker.capacity)
        load.free_cpu_millicores = max(0, free.cpu_millicores)
        load.free_memory_mib = max(0, free.memory_mib)
        load.free_accelerators = max(0, free.accelerators)
        return load


def _raise_largest(
    load: peer_pb2.ShardLoad, capacity: resources.Amount
) -> None:
    """Raises a shard's largest capacities to those of a worker."""
    load.largest_cpu_millicores = max(
        load.largest_cpu_millicores, capacity.cpu_millicores
    )
    load.largest_memory_mib = max(load.largest_memory_mib, capacity.memory_mib)
    load.largest_accelerators = max(
        load.largest_accelerators, capacity.accelerators
    )


def _worker_state(worker: worker_record.WorkerRecord, now: float) -> str:
    """Returns the state of a worker as shown to operators."""
    if not worker.listed:
        return "not listed"
    if worker.answered_at is None:
        return "does not answer"
    if worker.leaving:
        return "leaving"
    return worker.health.state_text(now)


def shard_of(vm: work_pb2.Vm) -> str:
    """Returns the shard of a worker: its data centre and rack."""
    return f"{vm.data_centre}-{vm.rack}"
