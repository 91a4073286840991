"""Judges workers by what becomes of the runs there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.workflow import (
    model,
    stalls,
    stragglers,
    task_durations,
)
from wisterialug_daemon import logs, metrics

if TYPE_CHECKING:
    from wisterialug_core.workflow import worker_table
    from wisterialug_daemon.workflow import owner, worker_calls, worker_session


def check_progress(
    shard_owner: owner.ShardOwner,
    session: worker_session.WorkerSession,
    task: model.Task,
    run: worker_calls.RunningRun,
    report: worker_calls.RunReport,
) -> None:
    """Stops a run that makes little progress or none."""
    if shard_owner.cfg.compares_runs:
        _compare(shard_owner, session, task, run, report)
    step = shard_owner.shard_jobs.step(task.key)
    now_s = report.reply.received_s
    task.track.note(run.progress, now_s)
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
    elif now_s - task.stalled_since_s > stalls.timeout_s(
        _expected_s(shard_owner, session.worker, task), task.stalls
    ):
        task.stalls += 1
        session.worker.health.set_aside(now_s)
        shard_owner.stop_run(task, "makes no progress")


def _expected_s(
    shard_owner: owner.ShardOwner,
    worker: worker_table.Worker,
    task: model.Task,
) -> float:
    """Returns how long a whole run of a task is expected to take."""
    job = shard_owner.shard_jobs.jobs[task.key.job].job
    step = job.steps[task.key.step]
    key = task_durations.key_of(job, task.key.step)
    expected_ms = shard_owner.durations.expected_ms(key, step)
    if step.data_rack and worker.rack != step.data_rack:
        expected_ms *= max(1.0, shard_owner.cfg.remote_slowdown)
    return expected_ms / 1000


def _compare(
    shard_owner: owner.ShardOwner,
    session: worker_session.WorkerSession,
    task: model.Task,
    run: worker_calls.RunningRun,
    report: worker_calls.RunReport,
) -> None:
    """Stops a run that has fallen behind its step, and rates its worker last."""
    elapsed_s = _elapsed_s(task, report)
    if (
        elapsed_s is None
        or task.restarts
        or task.phase is not model.Phase.RUNNING
    ):
        return
    usual_s = _usual_s(shard_owner, task)
    if usual_s is None or not stragglers.is_better_elsewhere(
        elapsed_s, run.progress, usual_s
    ):
        return
    worker = session.worker
    worker.health.record_slow(report.reply.received_s)
    if not shard_owner.can_move(task):
        return
    task.restarts += 1
    metrics.STRAGGLERS.inc()
    logs.event(
        "run-behind-its-step",
        task=task.name,
        run=task.run,
        worker=worker.report.id,
        elapsed_s=round(elapsed_s, 3),
        percent=run.progress,
        usual_s=round(usual_s, 3),
    )
    shard_owner.stop_run(task, "behind the others of its step")


def _is_comparable(shard_owner: owner.ShardOwner, task: model.Task) -> bool:
    """Returns whether the time of a run is that of the task's whole work.

    Fill work gets what others leave, and tasks away from their data take longer,
    so their times say little of their workers.
    """
    step = shard_owner.shard_jobs.step(task.key)
    return not (
        step.fills
        or step.long_running
        or step.gang
        or step.data_rack
        or task.resumed
    )


def _usual_s(shard_owner: owner.ShardOwner, task: model.Task) -> float | None:
    """Returns the usual time of a run's step; None if it is not known."""
    if not _is_comparable(shard_owner, task):
        return None
    entry = shard_owner.shard_jobs.jobs[task.key.job]
    times = entry.step_times.get(task.group)
    return times.usual_s(task.key.index) if times else None


def _elapsed_s(
    task: model.Task, report: worker_calls.RunReport
) -> float | None:
    """Returns the time of a run by its worker's clock; None if not known."""
    if task.started_clock_ms < 0 or report.reply.clock_ms < 0:
        return None
    return (report.reply.clock_ms - task.started_clock_ms) / 1000


def _record_time(
    shard_owner: owner.ShardOwner,
    worker: worker_table.Worker,
    task: model.Task,
    report: worker_calls.RunReport,
) -> None:
    """Records how long a run took, for the others of its step."""
    elapsed_s = _elapsed_s(task, report)
    if elapsed_s is None or not _is_comparable(shard_owner, task):
        return
    usual_s = _usual_s(shard_owner, task)
    if usual_s and elapsed_s <= stragglers.USUAL_FACTOR * usual_s:
        worker.health.record_usual_speed()
    entry = shard_owner.shard_jobs.jobs[task.key.job]
    times = entry.step_times.setdefault(task.group, stragglers.StepTimes())
    times.note(task.key.index, elapsed_s)


def record_end(
    shard_owner: owner.ShardOwner,
    worker: worker_table.Worker,
    ended: worker_calls.EndedRun,
    task: model.Task,
    report: worker_calls.RunReport,
) -> None:
    """Records what the end of a run says of its worker and its step."""
    health = worker.health
    now_s = report.reply.received_s
    if ended.end is model.RunEnd.DONE:
        health.record_success()
        if shard_owner.cfg.compares_runs:
            _record_time(shard_owner, worker, task, report)
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
