"""Workers of a shard, with their reservations and health."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from wisterialug_core.decisions import resources
from wisterialug_core.workflow import (
    evacuations,
    fill_samples,
    health,
    job_table,
    leases,
    model,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import job_entry

# Highest share of their processors that serving tasks are assumed to use; their
# load is not reported.
MAX_SERVING_USE = 0.65


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """One incarnation of a worker.

    Attributes:
      reserved: Reservations of active runs, until their end is reported.
      long_running_reserved: The part of it that long-running tasks reserve.
      fill_millicores: Processor time that fill runs request.
      silent_since_s: When the failed polls began; 0 if there are none.
      unanswered_polls: Latest polls in a row without a response. A refused one
        has a response.
      fenced: The worker has answered under this owner's epoch.
      kept_until_s: Until when its room is kept for tasks that go before
        long-running ones.
      step_counts: Active runs by group.
      serving: Runs of tasks that serve users, by image.
      samples: Latest samples of its runs.
      fill_shares: Part of the processors that fill runs request, by image.
      changes: Number of reservations and releases so far.
      drained: It has said that it drains, and may leave without a crash.
      least_epoch: Epoch from which orders are for this incarnation: those for
        an earlier one carry a lower epoch, and it rejects them once asked
        under this one.
      restarted_until_s: Until when calls for an earlier incarnation may give it
        the longest lease; 0 if it has not restarted under its name.
      evacuated: Its data centre is out of service, or may be.
    """

    report: model.WorkerReport
    reserved: resources.Amount = resources.ZERO
    long_running_reserved: resources.Amount = resources.ZERO
    fill_millicores: int = 0
    serving_millicores: int = 0
    runs: set[model.TaskKey] = dataclasses.field(default_factory=set)
    lease: leases.LeaseView = dataclasses.field(
        default_factory=leases.LeaseView
    )
    health: health.WorkerHealth = dataclasses.field(
        default_factory=health.WorkerHealth
    )
    silent_since_s: float = 0.0
    unanswered_polls: int = 0
    fenced: bool = False
    kept_until_s: float = 0.0
    gone: bool = False
    step_counts: dict[model.GroupKey, int] = dataclasses.field(
        default_factory=dict
    )
    serving: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    samples: fill_samples.WorkerSamples = dataclasses.field(
        default_factory=fill_samples.WorkerSamples
    )
    fill_shares: dict[str, float] = dataclasses.field(default_factory=dict)
    changes: int = 0
    drained: bool = False
    least_epoch: int = 0
    restarted_until_s: float = 0.0
    evacuated: bool = False

    @property
    def listed_as_ready(self) -> bool:
        """Returns whether the list of workers shows it as ready."""
        return self.report.state is model.WorkerState.READY

    @property
    def rack(self) -> str:
        """Returns the label of the worker's rack."""
        return self.report.rack

    def usable(self, now_s: float) -> bool:
        """Returns whether the worker may get new runs."""
        return (
            self.listed_as_ready
            and not self.evacuated
            and self.fenced
            and not self.gone
            and not self.silent_since_s
            and self.health.usable(now_s)
        )

    def cpu_share(self, step: workflow_pb2.Step) -> float:
        """Returns the part of the processors that a task requests."""
        return step.cpu_millicores / max(1, self.report.capacity.cpu_millicores)

    def count_colocated(self, step: workflow_pb2.Step, change: int) -> None:
        """Adds a change to the number of fill or serving runs."""
        if step.fills:
            self.fill_millicores += change * step.cpu_millicores
            share = self.fill_shares.get(step.image, 0.0)
            self.fill_shares[step.image] = max(
                0.0, share + change * self.cpu_share(step)
            )
        elif step.target_ms:
            self.serving_millicores += change * step.cpu_millicores
            self.serving[step.image] += change
            if self.serving[step.image] <= 0:
                del self.serving[step.image]

    def free(self) -> resources.Amount:
        """Returns what is not reserved."""
        return self.report.capacity.minus(self.reserved)

    def has_unsampled_serving(self) -> bool:
        """Returns whether a serving image here has no sample yet."""
        targets = self.samples.targets
        return any(image not in targets for image in self.serving)

    def has_room(self, need: resources.Amount) -> bool:
        """Returns whether an amount fits into what is not reserved."""
        capacity, reserved = self.report.capacity, self.reserved
        return (
            capacity.cpu_millicores - reserved.cpu_millicores
            >= need.cpu_millicores
            and capacity.memory_mib - reserved.memory_mib >= need.memory_mib
            and capacity.accelerators - reserved.accelerators
            >= need.accelerators
        )

    def free_after_batch(self) -> resources.Amount:
        """Returns what is free once all finite runs have ended."""
        return self.report.capacity.minus(self.long_running_reserved)

    def has_room_after_batch(
        self, step: workflow_pb2.Step, group: model.GroupKey
    ) -> bool:
        """Returns whether a task fits once all finite runs have ended."""
        return not (
            step.max_per_worker
            and self.step_counts.get(group, 0) >= step.max_per_worker
        ) and job_table.reserved_amount(step).fits(self.free_after_batch())

    def fill_room_millicores(self) -> int:
        """Returns the processor time that one more fill run may expect."""
        unused = int(self.serving_millicores * (1 - MAX_SERVING_USE))
        free = (
            self.report.capacity.cpu_millicores - self.reserved.cpu_millicores
        )
        return free + unused - self.fill_millicores


class WorkerTable:
    """Workers by id, with the reservations of the shard's runs.

    Args:
      restarted_until_s: Returns what is known of a worker's
        `restarted_until_s` when it is added.
    """

    def __init__(
        self,
        restarted_until_s: Callable[[model.Incarnation], float] = lambda _: 0.0,
    ) -> None:
        self._restarted_until_s = restarted_until_s
        self.workers: dict[str, Worker] = {}
        # Latest incarnation of each name.
        self._current: dict[str, Worker] = {}
        self._evacuated = evacuations.NONE

    def set_evacuated(self, evacuated: evacuations.Evacuations) -> None:
        """Sets the data centres whose workers get no new runs."""
        if evacuated == self._evacuated:
            return
        self._evacuated = evacuated
        for worker in self.workers.values():
            worker.evacuated = evacuated.covers(worker.report.data_centre)

    def current(self, name: str) -> Worker | None:
        """Returns the latest incarnation of a worker that is known."""
        return self._current.get(name)

    def update(self, report: model.WorkerReport) -> Worker:
        """Adds or updates a worker from its registry entry."""
        worker = self.workers.get(report.id)
        if worker is None:
            worker = Worker(
                report, restarted_until_s=self._restarted_until_s(report.id)
            )
            self.workers[report.id] = worker
            self._current[report.name] = worker
        else:
            worker.report = report
        worker.evacuated = self._evacuated.covers(report.data_centre)
        if report.state is model.WorkerState.DRAINING:
            worker.drained = True
        return worker

    def add_recorded(self, worker: model.Incarnation) -> None:
        """Adds a worker that is known from the record of a run only."""
        if worker not in self.workers:
            self.update(
                model.WorkerReport(
                    id=worker,
                    address="",
                    service="",
                    data_centre="",
                    state=model.WorkerState.ABSENT,
                    capacity=resources.ZERO,
                    labels=(),
                    remaining_ms=0,
                )
            )

    def mark_absent(self, worker_id: str) -> None:
        """Marks a worker whose registry entry is gone."""
        worker = self.workers[worker_id]
        worker.report = dataclasses.replace(
            worker.report, state=model.WorkerState.ABSENT
        )

    def unused(self) -> list[Worker]:
        """Returns the workers that are no longer listed and have no runs."""
        return [
            worker
            for worker in self.workers.values()
            if worker.report.state is model.WorkerState.ABSENT
            and not worker.runs
        ]

    def remove(self, worker_id: str) -> None:
        """Removes a worker without runs."""
        worker = self.workers.pop(worker_id)
        if self._current.get(worker.report.name) is worker:
            del self._current[worker.report.name]

    def replace(
        self, old: Worker, report: model.WorkerReport, restarted_until_s: float
    ) -> Worker:
        """Adds a worker's next incarnation, or one that was taken for ended."""
        new = self.update(report)
        self._current[report.name] = new
        new.gone = False
        new.restarted_until_s = restarted_until_s
        new.fenced = False
        old.gone = True
        self.mark_absent(old.report.id)
        return new

    def reserve(self, task: model.Task, step: workflow_pb2.Step) -> None:
        """Reserves resources for a task's active run."""
        worker = self.workers[task.worker]
        if task.key in worker.runs:
            return
        worker.runs.add(task.key)
        worker.changes += 1
        worker.reserved = worker.reserved.plus(job_table.reserved_amount(step))
        group = model.GroupKey(*task.key[:3])
        worker.step_counts[group] = worker.step_counts.get(group, 0) + 1
        if step.long_running:
            worker.long_running_reserved = worker.long_running_reserved.plus(
                job_table.reserved_amount(step)
            )
        worker.count_colocated(step, 1)

    def release(
        self, task: model.Task, worker_id: str, step: workflow_pb2.Step
    ) -> None:
        """Releases the resources of a run that has ended."""
        worker = self.workers.get(worker_id)
        if worker is None or task.key not in worker.runs:
            return
        worker.runs.discard(task.key)
        worker.changes += 1
        worker.reserved = worker.reserved.minus(job_table.reserved_amount(step))
        group = model.GroupKey(*task.key[:3])
        worker.step_counts[group] -= 1
        if not worker.step_counts[group]:
            del worker.step_counts[group]
        if step.long_running:
            worker.long_running_reserved = worker.long_running_reserved.minus(
                job_table.reserved_amount(step)
            )
        worker.count_colocated(step, -1)

    def reserved_share(self) -> float:
        """Returns the reserved part of the ready workers' processors."""
        ready = [
            w
            for w in self.workers.values()
            if w.listed_as_ready and not w.evacuated
        ]
        total = sum(w.report.capacity.cpu_millicores for w in ready)
        return sum(w.reserved.cpu_millicores for w in ready) / max(1, total)

    def room_millicores(self, now_s: float) -> int:
        """Returns the capacity that is not reserved by long-running tasks."""
        return sum(
            w.free_after_batch().cpu_millicores
            for w in self.workers.values()
            if w.usable(now_s)
        )

    def capacity_millicores(self, now_s: float) -> int:
        """Returns the processor capacity of all usable workers."""
        return sum(
            w.report.capacity.cpu_millicores
            for w in self.workers.values()
            if w.usable(now_s)
        )


def eligible_workers(
    entry: job_entry.JobEntry,
    step: workflow_pb2.Step,
    usable: list[Worker],
) -> list[Worker]:
    """Returns the workers that are eligible for a step."""
    service, label = entry.job.policy.service, step.required_label
    return [
        w
        for w in usable
        if w.report.service == service
        and (not label or label in w.report.labels)
    ]
