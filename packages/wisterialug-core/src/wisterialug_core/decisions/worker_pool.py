"""The workers of a shard, as their owner knows them."""

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
    """The books of all workers of a shard."""

    def __init__(self, target_ratio: float) -> None:
        self.records: dict[str, worker_record.WorkerRecord] = {}
        self._target_ratio = target_ratio

    def update(
        self, vms: Iterable[work_pb2.Vm], drained: set[str], now: float
    ) -> None:
        """Takes the shard's workers as the VM list has them."""
        listed = {vm.id: vm for vm in vms}
        for vm in listed.values():
            book = self.records.get(vm.id)
            if book is None:
                book = worker_record.WorkerRecord(vm.id, resources.ZERO)
                book.reaction.target_ratio = self._target_ratio
                self.records[vm.id] = book
            book.capacity = resources.from_message(vm.resources)
            book.listed = True
            book.unlisted_at = None
            book.leaving = (
                vm.state == work_pb2.VM_STATE_LEAVING or vm.id in drained
            )
        for book in list(self.records.values()):
            if book.id in listed:
                continue
            book.listed = False
            if book.unlisted_at is None:
                book.unlisted_at = now
            if not book.held and not book.acknowledge:
                del self.records[book.id]

    def hold(self, worker: str, attempt: worker_record.HeldAttempt) -> None:
        """Holds the room of an attempt that an earlier owner recorded."""
        book = self.records.get(worker)
        if book is None:
            book = worker_record.WorkerRecord(
                worker, resources.ZERO, listed=False
            )
            self.records[worker] = book
        book.held[attempt.key] = attempt

    def attempt(
        self, worker: str, key: worker_record.AttemptKey
    ) -> worker_record.HeldAttempt | None:
        """Returns an attempt if the worker's book has it."""
        book = self.records.get(worker)
        return None if book is None else book.held.get(key)

    def usage(
        self, tasks: task_registry.TaskRegistry
    ) -> Mapping[task_order.Group, resources.Amount]:
        """Returns what each group's attempts hold."""
        usage: dict[task_order.Group, resources.Amount] = {}
        for book in self.records.values():
            for attempt in book.held.values():
                job = tasks.jobs.get(task_registry.task_job(attempt.key.task))
                if job is not None:
                    group = task_order.group_of(job)
                    used = usage.get(group, resources.ZERO)
                    usage[group] = used.plus(attempt.need)
        return usage

    def total(self) -> resources.Amount:
        """Returns what all workers have together."""
        total = resources.ZERO
        for book in self.records.values():
            total = total.plus(book.capacity)
        return total
