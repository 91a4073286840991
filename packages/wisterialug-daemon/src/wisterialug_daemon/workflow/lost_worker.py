"""Ends the runs of a worker that has crashed or can't be reached."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.workflow import model
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock

if TYPE_CHECKING:
    from wisterialug_core.workflow import run_proofs, worker_table
    from wisterialug_daemon.workflow import owner

# Runs that one log line names, those that began last.
MAX_LOGGED_RUNS = 4


def end_runs(
    shard_owner: owner.ShardOwner,
    worker: worker_table.Worker,
    proof: run_proofs.Proof,
) -> None:
    """Ends all runs of a worker, which has reported none of these ends."""
    tasks = [
        task
        for task in map(shard_owner.shard_jobs.task, worker.runs)
        if task is not None and task.worker == worker.report.id
    ]
    if not tasks:
        return
    _log(worker, tasks, proof)
    for task in tasks:
        # The end of one member of a gang may have ended another.
        if task.worker == worker.report.id:
            shard_owner.end_run(task, model.RunEnd.LOST, "", proof)


def _log(
    worker: worker_table.Worker,
    tasks: list[model.Task],
    proof: run_proofs.Proof,
) -> None:
    now_s = clock.now_s()
    silent_since_s = worker.silent_since_s or now_s
    latest = sorted(tasks, key=lambda task: -task.phase_since_s)
    logs.event(
        "worker-lost",
        worker=worker.report.id,
        why=proof.value,
        state=worker.report.state.value,
        silent_s=round(now_s - silent_since_s, 3),
        runs=len(tasks),
        latest=[
            {
                "task": task.name,
                "run": task.run,
                "phase": task.phase.value,
                "age_s": round(silent_since_s - task.phase_since_s, 3),
            }
            for task in latest[:MAX_LOGGED_RUNS]
        ],
    )
