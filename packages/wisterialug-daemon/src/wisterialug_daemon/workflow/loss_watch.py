"""Finds out whether silent workers have crashed, and what follows for tasks."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from wisterialug_core.workflow import model, worker_losses
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock, lost_worker

if TYPE_CHECKING:
    from wisterialug_daemon.workflow import owner, shard_feeds


class LossWatch:
    """Follows the workers that fell silent under runs of a shard's tasks."""

    def __init__(
        self, shard_owner: owner.ShardOwner, feeds: shard_feeds.ShardFeeds
    ) -> None:
        self._owner = shard_owner
        self._feeds = feeds
        self._losses = worker_losses.WorkerLosses(
            shard_owner.cfg.unlisted_after_s
        )

    def settle(self) -> None:
        """Settles losses of which it is known now what they were.

        A task is given up once so many of its workers have crashed, or are gone.
        """
        jobs = self._owner.shard_jobs
        # Another shard decides on tasks that are lent.
        tasks = [
            task
            for task in jobs.current_suspects()
            if task.crash_evidence.open_losses and not task.lent_to
        ]
        by_fate = self._judge(tasks)
        for task in tasks:
            evidence = task.crash_evidence
            changed = evidence.settle_losses(
                by_fate[worker_losses.Fate.CRASHED],
                by_fate[worker_losses.Fate.RAN_ON],
            )
            gone = by_fate[worker_losses.Fate.GONE]
            if not task.active and evidence.guilty_if_crashed(gone):
                evidence.settle_losses(gone, ())
                changed = True
            if changed:
                jobs.dirty.add(task.key.job)
                self._owner.wake()
            if evidence.guilty:
                lost_worker.give_up(self._owner, task)

    def _judge(
        self, tasks: list[model.Task]
    ) -> dict[worker_losses.Fate, set[str]]:
        """Returns the workers of open losses by what is known of them."""
        suspected = collections.Counter(
            worker
            for task in tasks
            for worker in task.crash_evidence.open_losses
        )
        self._losses.keep(suspected)
        by_fate: dict[worker_losses.Fate, set[str]] = {
            fate: set() for fate in worker_losses.Fate
        }
        for worker, count in suspected.items():
            fate = self._losses.judge(
                worker, self._sighting(worker), clock.now_s()
            )
            by_fate[fate].add(worker)
            if fate in {
                worker_losses.Fate.CRASHED,
                worker_losses.Fate.RAN_ON,
            }:
                logs.event(
                    "worker-loss-settled",
                    worker=worker,
                    fate=fate.value,
                    tasks=count,
                )
        return by_fate

    def _sighting(self, worker: str) -> worker_losses.Sighting:
        name = model.registered_name(worker)
        workers = self._owner.shard_workers
        known = workers.workers.get(worker)
        current = workers.current(name)
        restarted = current is not None and current is not known
        if known is not None:
            restarted = known.gone
        heard = known is not None and not known.silent_since_s
        return worker_losses.Sighting(
            listed=self._feeds.listed(name),
            list_read_s=self._feeds.list_read_s,
            answered_s=known.lease.clock_received_s if heard else 0.0,
            restarted=restarted,
        )
