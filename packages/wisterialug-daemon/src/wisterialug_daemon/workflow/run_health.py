"""Judges workers by what becomes of the runs there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.workflow import model, task_durations
from wisterialug_daemon import logs

if TYPE_CHECKING:
    from wisterialug_core.workflow import worker_table
    from wisterialug_daemon.workflow import owner, worker_calls, worker_session

# A run without progress for this long has stalled, unless it is throttled.
STALL_TIMEOUT_S = 1.8


def check_progress(
    shard_owner: owner.ShardOwner,
    session: worker_session.WorkerSession,
    task: model.Task,
    run: worker_calls.RunningRun,
    report: worker_calls.RunReport,
) -> None:
    """Stops a run that makes no progress, and sets its worker aside."""
    step = shard_owner.shard_jobs.step(task.key)
    now_s = report.reply.received_s
    if (
        run.progress != task.progress
        or step.long_running
        or step.gang
        or session.pacing.is_throttled(task)
        or task.phase is not model.Phase.RUNNING
    ):
        task.progress = run.progress
        task.stalled_since_s = 0.0
    elif not task.stalled_since_s:
        task.stalled_since_s = now_s
    elif now_s - task.stalled_since_s > STALL_TIMEOUT_S:
        session.worker.health.set_aside(now_s)
        shard_owner.stop_run(task, "makes no progress")


def record_end(
    worker: worker_table.Worker,
    ended: worker_calls.EndedRun,
    task: model.Task,
    report: worker_calls.RunReport,
) -> None:
    """Records what the end of a run says of its worker."""
    health = worker.health
    now_s = report.reply.received_s
    if ended.end is model.RunEnd.DONE:
        health.record_success()
    elif set(task.failed_on) - {worker.report.id}:
        # It has failed elsewhere too: the task is at fault.
        return
    elif ended.end is model.RunEnd.FAILED and health.record_failure(
        task.key.job, now_s
    ):
        logs.event(
            "worker-set-aside",
            worker=worker.report.id,
            failed_jobs=len(health.failed_jobs),
            until_s=round(health.aside_until_s - now_s, 3),
        )


def learn_duration(
    shard_owner: owner.ShardOwner,
    session: worker_session.WorkerSession,
    ended: worker_calls.EndedRun,
    task: model.Task,
    report: worker_calls.RunReport,
) -> None:
    """Learns from the time of a run that began at the start and was not slowed."""
    job = shard_owner.shard_jobs.jobs[task.key.job].job
    step = job.steps[task.key.step]
    if (
        ended.end is not model.RunEnd.DONE
        or step.long_running
        or step.gang
        or task.run > 1
        or not task.orders.confirmed_s
        or session.pacing.is_throttled(task)
    ):
        return
    ran_s = report.reply.received_s - task.orders.confirmed_s
    key = task_durations.key_of(job, task.key.step)
    shard_owner.durations.learn(key, step, ran_s * 1000)
