"""Ends the runs of a worker that has crashed or can't be reached.

A crash has no listed end. Where a worker is only silent, its runs may have
crashed it as well: else a task whose worker stays down would start for ever. It
counts once it is known that the worker did crash (`loss_watch`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.workflow import (
    awaited_workers,
    crash_evidence,
    model,
    run_proofs,
)
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock, owner_logs

if TYPE_CHECKING:
    from wisterialug_core.workflow import worker_table
    from wisterialug_daemon.workflow import owner

# Runs that one log line names, those that began last.
MAX_LOGGED_RUNS = 4
# Workers that fall silent within this time have a cause in common: polls fail
# at once where a process ends, and after this time where it is cut off.
COINCIDENCE_S = 0.3


def end_runs(
    shard_owner: owner.ShardOwner,
    worker: worker_table.Worker,
    proof: run_proofs.Proof,
) -> None:
    """Ends all runs of a worker, which has reported none of these ends."""
    tasks = active_tasks(shard_owner, worker)
    guilty = record_crash(shard_owner, worker, tasks, proof)
    for task in tasks:
        # The end of one member of a gang may have ended another.
        if task.worker == worker.report.id:
            shard_owner.end_run(task, model.RunEnd.LOST, "", proof)
    held = [task.name for task in tasks if task.crash_evidence.held]
    if held:
        logs.event(
            "tasks-held",
            worker=worker.report.id,
            tasks=held[:MAX_LOGGED_RUNS],
            count=len(held),
        )
    for task in guilty:
        give_up(shard_owner, task)


def active_tasks(
    shard_owner: owner.ShardOwner, worker: worker_table.Worker
) -> list[model.Task]:
    """Returns the tasks with an active run on a worker."""
    return [
        task
        for task in map(shard_owner.shard_jobs.task, worker.runs)
        if task is not None and task.worker == worker.report.id
    ]


def record_crash(
    shard_owner: owner.ShardOwner,
    worker: worker_table.Worker,
    tasks: list[model.Task],
    proof: run_proofs.Proof,
) -> list[model.Task]:
    """Records a crash or a loss of a worker; returns tasks to give up."""
    if not tasks:
        return []
    _log(shard_owner, worker, tasks, proof)
    begun = [task for task in tasks if task.orders.may_have_begun]
    if worker.drained:
        return []
    if proof is run_proofs.Proof.RESTARTED:
        shard_owner.shard_jobs.note_crash(
            begun, ambiguous=_is_coincident(shard_owner, worker)
        )
    else:
        # It may be cut off, and run on.
        crash_evidence.record_loss(
            [task.crash_evidence for task in begun], worker.report.id
        )
        shard_owner.shard_jobs.add_suspects(begun)
    return [task for task in tasks if task.crash_evidence.guilty]


def _is_coincident(
    shard_owner: owner.ShardOwner, worker: worker_table.Worker
) -> bool:
    """Returns whether another worker was lost at the same moment."""
    silent_since_s = worker.silent_since_s or clock.now_s()
    return any(
        other is not worker
        and other.silent_since_s
        and abs(other.silent_since_s - silent_since_s) < COINCIDENCE_S
        for other in shard_owner.shard_workers.workers.values()
    )


def check_expiry(
    shard_owner: owner.ShardOwner, worker: worker_table.Worker
) -> None:
    """Ends the runs of a worker whose lease has surely expired."""
    if worker.restarted_until_s and not worker.fenced:
        _end_answered(shard_owner, worker)
    expiry_s = awaited_workers.expiry_of(worker, shard_owner.rows.earlier)
    if clock.now_s() > expiry_s:
        end_runs(shard_owner, worker, run_proofs.Proof.LEASE_EXPIRED)


def _end_answered(
    shard_owner: owner.ShardOwner, worker: worker_table.Worker
) -> None:
    """Ends runs that a silent worker's next incarnation can't begin."""
    for task in active_tasks(shard_owner, worker):
        if task.orders.answered and task.worker == worker.report.id:
            shard_owner.end_run(
                task, model.RunEnd.LOST, "", run_proofs.Proof.RESTARTED
            )


def check_silent(shard_owner: owner.ShardOwner) -> None:
    """Ends the runs of silent workers as soon as their leases have expired.

    Their sessions wait for a response most of the time.
    """
    for worker in list(shard_owner.shard_workers.workers.values()):
        if worker.runs and worker.silent_since_s and not worker.gone:
            check_expiry(shard_owner, worker)


def give_up(shard_owner: owner.ShardOwner, task: model.Task) -> None:
    """Fails the job of a task that crashes its workers."""
    evidence = task.crash_evidence
    if not shard_owner.shard_jobs.give_up(task, clock.wall_ms()):
        return
    logs.event(
        "task-given-up",
        task=task.name,
        run=task.run,
        crashes=evidence.crashes,
        unshared=evidence.unshared_crashes,
    )
    entry = shard_owner.shard_jobs.jobs[task.key.job]
    if entry.home:
        owner_logs.log_job_end(entry)
    shard_owner.wake()


def _log(
    shard_owner: owner.ShardOwner,
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
        # False if the bound was that of leases which earlier owners granted.
        heard=worker.fenced,
        owned_s=round(now_s - shard_owner.acquired_s, 3),
        runs=len(tasks),
        latest=[
            {
                "task": task.name,
                "run": task.run,
                "phase": task.phase.value,
                "age_s": _age_s(task, silent_since_s),
                "crashes": task.crash_evidence.crashes,
                "open_losses": len(task.crash_evidence.open_losses),
                "unshared": task.crash_evidence.unshared_crashes,
                "outlived": task.crash_evidence.outlived_start,
            }
            for task in latest[:MAX_LOGGED_RUNS]
        ],
    )


def _age_s(task: model.Task, now_s: float) -> float | None:
    """Returns how long a run has been in its phase; None if it was adopted."""
    if not task.phase_since_s:
        return None
    return round(now_s - task.phase_since_s, 3)
