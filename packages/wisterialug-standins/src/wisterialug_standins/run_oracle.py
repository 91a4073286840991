"""Checks a trace of runs against the guarantees of the scheduler."""

from __future__ import annotations

import collections
import dataclasses
import itertools
from typing import TYPE_CHECKING

from wisterialug_core.decisions import resources
from wisterialug_core.workflow import job_table, model

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wisterialug_core.schema import workflow_pb2
    from wisterialug_standins import emulated_worker

# Time after the reply to a cancel in which all tasks of the job must end: the
# users' limits for starts and for stops, plus the longest stop.
CANCEL_LIMIT_S = 3.4
# Time after which a capacity that has shrunk counts, as the users allow.
SHRUNK_CAPACITY_GRACE_S = 3.0
# A task that crashes its workers may start twice more after three crashes, as
# the users allow.
CRASHES_BEFORE_LIMIT = 3
MAX_STARTS_AFTER_CRASHES = 2


@dataclasses.dataclass
class Trace:
    """All observations of a test or demo run.

    Attributes:
      history: All runs, by start time.
      jobs: Submitted jobs.
      workers: All workers by id, including removed ones.
      cancelled_s: Time of the reply to a cancel, by job.
      checked_s: Time at which the trace was taken.
      capacities: Capacities by worker, with the times since which they hold.
    """

    history: list[emulated_worker.RunRecord]
    jobs: Iterable[workflow_pb2.Job]
    workers: Mapping[str, model.WorkerReport] = dataclasses.field(
        default_factory=dict
    )
    cancelled_s: Mapping[str, float] = dataclasses.field(default_factory=dict)
    checked_s: float = float("inf")
    capacities: Mapping[str, list[tuple[float, resources.Amount]]] = (
        dataclasses.field(default_factory=dict)
    )

    def capacities_at(
        self, worker: str, until_s: float
    ) -> list[resources.Amount]:
        """Returns the capacities that a start at this time may rely on."""
        changes = self.capacities.get(worker) or [
            (0.0, self.workers[worker].capacity)
        ]
        ends_s = [since_s for since_s, _ in changes[1:]] + [float("inf")]
        return [
            amount
            for (since_s, amount), end_s in zip(changes, ends_s, strict=True)
            if since_s <= until_s < end_s + SHRUNK_CAPACITY_GRACE_S
        ]


def violations(trace: Trace) -> list[str]:
    """Returns a description of each broken guarantee."""
    found = []
    by_task: dict[str, list[emulated_worker.RunRecord]] = {}
    for run in trace.history:
        by_task.setdefault(run.task, []).append(run)
    by_id = {job.id: job for job in trace.jobs}
    for name, runs in by_task.items():
        key = model.parse_task_name(name)
        job = by_id.get(key.job) if key else None
        if job is None:
            found.append(f"{name}: belongs to no submitted job")
            continue
        step = job.steps[key.step]
        found += _repeated(name, runs, restarts=step.long_running)
        found += _early(name, key, job, runs, by_task)
        failed = [r for r in runs if r.end is model.RunEnd.FAILED and r.acked]
        if not step.long_running and len(failed) > job.policy.max_attempts:
            found.append(f"{name}: failed {len(failed)} times")
        found += _crashing(name, runs)
        found += _outliving(name, runs, trace.cancelled_s.get(key.job))
        found += _missing_label(name, step, runs, trace.workers)
    found += _overload(trace, by_id)
    return found


def _repeated(
    name: str, runs: list[emulated_worker.RunRecord], *, restarts: bool
) -> list[str]:
    found = []
    for earlier, later in itertools.pairwise(runs):
        if not earlier.ended_s or earlier.ended_s > later.began_s:
            found.append(
                f"{name}: run {later.run} on {later.worker} overlaps run"
                f" {earlier.run} on {earlier.worker}"
            )
    for number, run in enumerate(runs):
        # Long-running tasks are restarted however they end.
        if run.end is model.RunEnd.DONE and run.acked and not restarts:
            if number + 1 < len(runs):
                found.append(f"{name}: ran again after completed run {run.run}")
    return found


def _crashing(name: str, runs: list[emulated_worker.RunRecord]) -> list[str]:
    """Finds a task that goes on starting after it has crashed workers."""
    crashes = [n for n, run in enumerate(runs) if run.crashed_worker]
    if len(crashes) < CRASHES_BEFORE_LIMIT:
        return []
    later = len(runs) - 1 - crashes[CRASHES_BEFORE_LIMIT - 1]
    if later <= MAX_STARTS_AFTER_CRASHES:
        return []
    return [
        f"{name}: started {later} times more after {CRASHES_BEFORE_LIMIT}"
        " workers had crashed under it"
    ]


def _early(
    name: str,
    key: model.TaskKey,
    job: workflow_pb2.Job,
    runs: list[emulated_worker.RunRecord],
    by_task: dict[str, list[emulated_worker.RunRecord]],
) -> list[str]:
    found = []
    for step in job.steps[key.step].after:
        ends = []
        for index in range(job.steps[step].count):
            task = model.TaskKey(key.job, key.repetition, step, index)
            earlier = by_task.get(".".join(map(str, task)), [])
            done = [r.ended_s for r in earlier if r.end is model.RunEnd.DONE]
            ends.append(min(done, default=float("inf")))
        # A gang is done as soon as one member is.
        ended_s = min(ends) if job.steps[step].gang else max(ends)
        if ended_s > runs[0].began_s:
            found.append(f"{name}: started before step {step} was done")
    return found


def _outliving(
    name: str,
    runs: list[emulated_worker.RunRecord],
    cancelled_s: float | None,
) -> list[str]:
    if cancelled_s is None:
        return []
    until_s = cancelled_s + CANCEL_LIMIT_S
    return [
        f"{name}: run {run.run} outlived its cancelled job"
        for run in runs
        if not run.ended_s or run.ended_s > until_s
    ]


def _missing_label(
    name: str,
    step: workflow_pb2.Step,
    runs: list[emulated_worker.RunRecord],
    workers: Mapping[str, model.WorkerReport],
) -> list[str]:
    return [
        f"{name}: run {run.run} on {run.worker}, which lacks the required label"
        for run in runs
        if step.required_label
        and run.worker in workers
        and step.required_label not in workers[run.worker].labels
    ]


def _overload(trace: Trace, jobs: Mapping[str, workflow_pb2.Job]) -> list[str]:
    """Finds starts beyond a worker's capacity or a step's max_per_worker."""
    found = []
    by_worker: dict[str, list[emulated_worker.RunRecord]] = {}
    for run in trace.history:
        by_worker.setdefault(run.worker, []).append(run)
    for worker, runs in by_worker.items():
        if worker not in trace.workers:
            continue
        for run in runs:
            concurrent = [
                other
                for other in runs
                if other.began_s <= run.began_s
                and not (other.ended_s and other.ended_s <= run.began_s)
            ]
            used = resources.ZERO
            groups: collections.Counter[model.GroupKey] = collections.Counter()
            for other in concurrent:
                key = model.parse_task_name(other.task)
                if key is None or key.job not in jobs:
                    continue
                used = used.plus(
                    job_table.reserved_amount(jobs[key.job].steps[key.step])
                )
                groups[model.GroupKey(*key[:3])] += 1
            if not any(
                used.fits(c) for c in trace.capacities_at(worker, run.began_s)
            ):
                found.append(f"{run.task}: {worker} is over its capacity")
            for group, count in groups.items():
                limit = jobs[group.job].steps[group.step].max_per_worker
                if limit and count > limit:
                    found.append(f"{run.task}: {count} of a step on {worker}")
    return found
