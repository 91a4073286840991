"""Moves the runs of a worker that has restarted to its next incarnation.

A worker may start again under its name. It knows nothing of before, its clock
and its counts start anew, and it takes calls for the one that it was: a start
that was sent to the earlier incarnation may run there, now or seconds later. So
its runs stay active until the new one has answered under a higher epoch. What it
does not list then has ended with the earlier one, and what is still on its way
carries a lower epoch.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.workflow import leases, model, run_proofs
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock, lost_worker

if TYPE_CHECKING:
    from wisterialug_core.workflow import worker_table
    from wisterialug_daemon.workflow import owner


def is_stale(current: worker_table.Worker, report: model.WorkerReport) -> bool:
    """Returns whether an entry of the list is of an earlier incarnation.

    Lists may be read seconds late. A clock that was set back hides a restart
    only until the worker is asked.
    """
    return model.born_ms(report.id) < model.born_ms(current.report.id)


def replace(
    shard_owner: owner.ShardOwner,
    old: worker_table.Worker,
    report: model.WorkerReport,
) -> worker_table.Worker:
    """Replaces an incarnation that has ended by the one that is reported."""
    jobs, workers = shard_owner.shard_jobs, shard_owner.shard_workers
    tasks = lost_worker.active_tasks(shard_owner, old)
    new = workers.replace(
        old,
        report,
        leases.restarted_until_s(
            clock.now_s(), shard_owner.cfg.longest_lease_ms
        ),
    )
    # One that has not answered this owner got no orders from it.
    new.least_epoch = (
        shard_owner.raise_epoch() if old.fenced else old.least_epoch
    )
    logs.event(
        "worker-reborn",
        worker=new.report.id,
        before=old.report.id,
        runs=len(tasks),
        least_epoch=new.least_epoch,
    )
    guilty = lost_worker.record_crash(
        shard_owner, old, tasks, run_proofs.Proof.RESTARTED
    )
    for task in tasks:
        step = jobs.step(task.key)
        workers.release(task, old.report.id, step)
        jobs.move_run(task, new.report.id)
        workers.reserve(task, step)
    for task in guilty:
        lost_worker.give_up(shard_owner, task)
    shard_owner.session(new)
    # The next owner must learn of it with the record of these runs.
    shard_owner.renew_soon()
    return new


def resolve_unlisted(
    shard_owner: owner.ShardOwner, listed: dict[str, model.WorkerReport]
) -> None:
    """Replaces recorded incarnations whose name is listed as another one."""
    for worker in list(shard_owner.shard_workers.workers.values()):
        report = listed.get(worker.report.name)
        if (
            not worker.report.address
            and not worker.gone
            and report is not None
            and report.id != worker.report.id
        ):
            replace(shard_owner, worker, report)
