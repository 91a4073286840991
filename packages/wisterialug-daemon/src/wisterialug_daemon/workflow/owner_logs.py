"""Log lines of a shard's owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import model, placement_wait, urgency
from wisterialug_daemon import logs, metrics
from wisterialug_daemon.workflow import clock

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_core.workflow import (
        job_entry,
        job_table,
        run_proofs,
        task_placement,
    )


def log_job_end(entry: job_entry.JobEntry) -> None:
    """Logs and counts the end of a job."""
    state = workflow_pb2.JobState.Name(entry.state)
    took_ms = entry.ended_ms - entry.job.accepted_ms
    metrics.JOB_SECONDS.labels(state).observe(took_ms / 1000)
    logs.event(
        "job-ended",
        job=entry.job.id,
        state=state,
        took_ms=took_ms,
        objective_ms=int(urgency.objective_ms(entry.job)),
    )


def log_job_running(task: model.Task, shard: str) -> None:
    """Logs that the first run of a job that a shard knows of has begun."""
    logs.event(
        "job-running",
        job=task.key.job,
        shard=shard,
        task=task.name,
        run=task.run,
        worker=task.worker,
    )


def log_run_end(
    task: model.Task,
    worker: str,
    end: model.RunEnd,
    proof: run_proofs.Proof,
) -> None:
    """Logs how a run on a worker ended, and what proves that it did."""
    logs.event(
        "run-ended",
        task=task.name,
        run=task.run,
        worker=worker,
        end=end.value,
        failures=task.failures,
        unanswered=task.orders.open,
        why=proof.value,
    )


def log_waits(
    shard: str,
    changes: Iterable[placement_wait.Began | placement_wait.Ended],
) -> None:
    """Logs begun and ended waits for better places, one line for a step."""
    for change in changes:
        group = change.group
        if isinstance(change, placement_wait.Began):
            logs.event(
                "placement-wait",
                job=group.job,
                repetition=group.repetition,
                step=group.step,
                shard=shard,
                rack=change.rack,
                tasks=change.tasks,
                expected_s=round(change.expected_s, 3),
                lost_elsewhere_s=round(change.lost_s, 3),
            )
            continue
        metrics.PLACEMENT_WAITS.labels(change.outcome.value).inc()
        logs.event(
            "placement-wait-ended",
            job=group.job,
            repetition=group.repetition,
            step=group.step,
            shard=shard,
            outcome=change.outcome.value,
            waited_s=round(change.waited_s, 3),
        )


def log_placed(
    jobs: job_table.JobTable,
    placements: list[task_placement.Placement],
    epoch: int,
    version: int,
) -> None:
    """Logs recorded placements, one line for all tasks of a step.

    Args:
      jobs: The shard's jobs.
      placements: The placements.
      epoch: Epoch of the owner.
      version: Version of the change that recorded them.
    """
    by_group: dict[model.GroupKey, list[task_placement.Placement]] = {}
    for start in placements:
        group = model.GroupKey(*start.task.key[:3])
        by_group.setdefault(group, []).append(start)
    for group, placed in by_group.items():
        job = jobs.jobs[group.job].job
        logs.event(
            "tasks-placed",
            job=group.job,
            repetition=group.repetition,
            step=group.step,
            tasks=[start.task.key.index for start in placed],
            workers=sorted({start.worker.report.id for start in placed}),
            epoch=epoch,
            version=version,
            age_ms=clock.wall_ms() - job.accepted_ms,
            objective_ms=int(urgency.objective_ms(job)),
        )
