"""The workers of a shard, as known to its owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.decisions import (
    resources,
    task_order,
    task_registry,
    worker_record,
)
from wisterialug_core.schema import work_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class WorkerPool:
    """The records of all workers of a shard."""

    def __init__(self, target_ratio: float) -> None:
        self.records: dict[str, worker_record.WorkerRecord] = {}
        self._target_ratio = target_ratio

    def update(
        self, vms: Iterable[work_pb2.Vm], drained: set[str], now: float
    ) -> None:
        """Updates the shard's workers from the VM list."""
        listed = {vm.id: vm for vm in vms}
        for vm in listed.values():
            record = self.records.get(vm.id)
            if record is None:
                record = worker_record.WorkerRecord(vm.id, resources.ZERO)
                record.throttle.target_ratio = self._target_ratio
                self.records[vm.id] = record
            record.capacity = resources.from_message(vm.resources)
            record.listed = True
            record.unlisted_at = None
            record.leaving = (
                vm.state == work_pb2.VM_STATE_LEAVING or vm.id in drained
            )
        for record in list(self.records.values()):
            if record.id in listed:
                continue
            record.listed = False
            if record.unlisted_at is None:
                record.unlisted_at = now
            if not record.held and not record.to_acknowledge:
                del self.records[record.id]

    def hold(self, worker: str, attempt: worker_record.HeldAttempt) -> None:
        """Reserves resources for an attempt that an earlier owner recorded."""
        record = self.records.get(worker)
        if record is None:
            record = worker_record.WorkerRecord(
                worker, resources.ZERO, listed=False
            )
            self.records[worker] = record
        record.held[attempt.key] = attempt

    def attempt(
        self, worker: str, key: worker_record.AttemptKey
    ) -> worker_record.HeldAttempt | None:
        """Returns an attempt if the worker holds it."""
        record = self.records.get(worker)
        return None if record is None else record.held.get(key)

    def usage(
        self, tasks: task_registry.TaskRegistry
    ) -> Mapping[task_order.Group, resources.Amount]:
        """Returns what each group's attempts hold."""
        usage: dict[task_order.Group, resources.Amount] = {}
        for record in self.records.values():
            for attempt in record.held.values():
                job = tasks.jobs.get(task_registry.task_job(attempt.key.task))
                if job is not None:
                    group = task_order.group_of(job)
                    used = usage.get(group, resources.ZERO)
                    usage[group] = used.plus(attempt.need)
        return usage

    def total_capacity(self) -> resources.Amount:
        """Returns the capacity of all workers together."""
        total_capacity = resources.ZERO
        for record in self.records.values():
            total_capacity = total_capacity.plus(record.capacity)
        return total_capacity
