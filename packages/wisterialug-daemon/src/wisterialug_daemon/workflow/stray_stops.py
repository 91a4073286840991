"""Stops runs that a worker lists and no task claims."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_daemon import logs

if TYPE_CHECKING:
    from wisterialug_core.workflow import stray_runs, worker_table
    from wisterialug_daemon.workflow import owner

RESPONSE_TIMEOUT_S = 0.8


def stop(
    shard_owner: owner.ShardOwner,
    worker: worker_table.Worker,
    strays: stray_runs.StrayRuns,
    stray: stray_runs.ListedRun,
) -> None:
    """Stops a stray run; one that is listed after that is stopped again."""
    logs.event(
        "stray-stop-ordered",
        task=stray.task,
        run=stray.run,
        worker=worker.report.id,
    )
    try:
        shard_owner.calls.stop(
            worker.report,
            *stray,
            shard_owner.epoch_for(worker),
            RESPONSE_TIMEOUT_S,
        )
    finally:
        strays.end_stop(stray)
