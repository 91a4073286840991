"""Checks a record of runs against what the scheduler promises."""

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
    from wisterialug_standins import emulated_workers

# A cancelled job's tasks are over this long after the caller was told; starts
# and stops of the users' rule together, with the longest stop.
CANCEL_S = 3.4


@dataclasses.dataclass
class Trace:
    """All that is known of a played time.

    Attributes:
      history: All runs, in the order of their starts.
      jobs: Jobs that callers handed in.
      workers: Workers that ever were, by id.
      cancelled_s: When callers were told that a job is cancelled, by job.
      checked_s: When the record was taken.
    """

    history: list[emulated_workers.RunRecord]
    jobs: Iterable[workflow_pb2.Job]
    workers: Mapping[str, model.WorkerReport] = dataclasses.field(
        default_factory=dict
    )
    cancelled_s: Mapping[str, float] = dataclasses.field(default_factory=dict)
    checked_s: float = float("inf")


def violations(trace: Trace) -> list[str]:
    """Returns each promise that a trace breaks, in words."""
    found = []
    by_task: dict[str, list[emulated_workers.RunRecord]] = {}
    for run in trace.history:
        by_task.setdefault(run.task, []).append(run)
    by_id = {job.id: job for job in trace.jobs}
    for name, runs in by_task.items():
        key = model.parse_task_name(name)
        job = by_id.get(key.job) if key else None
        if job is None:
            found.append(f"{name}: nobody asked for it")
            continue
        step = job.steps[key.step]
        found += _twice(name, runs, lasts=step.long_running)
        found += _order(name, key, job, runs, by_task)
        failed = [r for r in runs if r.end is model.RunEnd.FAILED and r.acked]
        if not step.long_running and len(failed) > job.policy.max_attempts:
            found.append(f"{name}: failed {len(failed)} times")
        found += _after_cancel(name, runs, trace.cancelled_s.get(key.job))
        found += _misplaced(name, step, runs, trace.workers)
    found += _crowded(trace, by_id)
    return found


def _twice(
    name: str, runs: list[emulated_workers.RunRecord], *, lasts: bool
) -> list[str]:
    found = []
    for earlier, later in itertools.pairwise(runs):
        if not earlier.ended_s or earlier.ended_s > later.began_s:
            found.append(
                f"{name}: run {later.run} on {later.worker} beside run"
                f" {earlier.run} on {earlier.worker}"
            )
    for number, run in enumerate(runs):
        # Tasks that last are started again however they end.
        if run.end is model.RunEnd.DONE and run.acked and not lasts:
            if number + 1 < len(runs):
                found.append(f"{name}: ran again after run {run.run}")
    return found


def _order(
    name: str,
    key: model.TaskKey,
    job: workflow_pb2.Job,
    runs: list[emulated_workers.RunRecord],
    by_task: dict[str, list[emulated_workers.RunRecord]],
) -> list[str]:
    found = []
    for step in job.steps[key.step].after:
        ends = []
        for index in range(job.steps[step].count):
            before = model.TaskKey(key.job, key.repetition, step, index)
            earlier = by_task.get(".".join(map(str, before)), [])
            done = [r.ended_s for r in earlier if r.end is model.RunEnd.DONE]
            ends.append(min(done, default=float("inf")))
        # The end of one member of a gang stands for all.
        ended_s = min(ends) if job.steps[step].gang else max(ends)
        if ended_s > runs[0].began_s:
            found.append(f"{name}: began before step {step} was done")
    return found


def _after_cancel(
    name: str,
    runs: list[emulated_workers.RunRecord],
    cancelled_s: float | None,
) -> list[str]:
    if cancelled_s is None:
        return []
    until_s = cancelled_s + CANCEL_S
    return [
        f"{name}: run {run.run} at work after its job was cancelled"
        for run in runs
        if not run.ended_s or run.ended_s > until_s
    ]


def _misplaced(
    name: str,
    step: workflow_pb2.Step,
    runs: list[emulated_workers.RunRecord],
    workers: Mapping[str, model.WorkerReport],
) -> list[str]:
    return [
        f"{name}: run {run.run} on {run.worker}, which lacks its label"
        for run in runs
        if step.required_label
        and run.worker in workers
        and step.required_label not in workers[run.worker].labels
    ]


def _crowded(trace: Trace, jobs: Mapping[str, workflow_pb2.Job]) -> list[str]:
    """Finds starts that exceeded a worker's room or a step's spread."""
    found = []
    by_worker: dict[str, list[emulated_workers.RunRecord]] = {}
    for run in trace.history:
        by_worker.setdefault(run.worker, []).append(run)
    for worker, runs in by_worker.items():
        if worker not in trace.workers:
            continue
        capacity = trace.workers[worker].capacity
        for run in runs:
            beside = [
                other
                for other in runs
                if other.began_s <= run.began_s
                and not (other.ended_s and other.ended_s <= run.began_s)
            ]
            used = resources.ZERO
            groups: collections.Counter[model.GroupKey] = collections.Counter()
            for other in beside:
                key = model.parse_task_name(other.task)
                if key is None or key.job not in jobs:
                    continue
                used = used.plus(
                    job_table.reserved_amount(jobs[key.job].steps[key.step])
                )
                groups[model.GroupKey(*key[:3])] += 1
            if not used.fits(capacity):
                found.append(f"{run.task}: {worker} is over its capacity")
            for group, count in groups.items():
                most = jobs[group.job].steps[group.step].max_per_worker
                if most and count > most:
                    found.append(f"{run.task}: {count} of a step on {worker}")
    return found
