"""Throttles fill (best-effort) runs that share a worker with serving tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from wisterialug_core.workflow import (
    fill_claims,
    fill_interference,
    fill_samples,
    model,
)
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock

if TYPE_CHECKING:
    from wisterialug_core.workflow import worker_table
    from wisterialug_daemon.workflow import owner, worker_calls

ORDER_TIMEOUT_S = 0.8
RETRY_INTERVAL_S = 0.25
# Progress at which the startup of a long-running task is complete.
STARTED_PERCENT = 100


class FillPacing:
    """Sets the pace of a worker's fill runs from its measurements."""

    def __init__(
        self, owner: owner.ShardOwner, worker: worker_table.Worker
    ) -> None:
        self.worker = worker
        self._owner = owner
        # Fill runs by task name, with the pace ordered last.
        self._fills: dict[str, fill_samples.FillRun] = {}

    def is_throttled(self, task: model.Task) -> bool:
        """Returns whether a run's pace is below full."""
        fill = self._fills.get(task.name)
        return fill is not None and fill.percent < fill_samples.FULL_PERCENT

    def may_interfere(self) -> bool:
        """Returns whether fill runs may interfere with a serving task."""
        return self._owner.interference.any_interfering(
            self.worker.samples, self._fills.values()
        )

    def adjust(self, report: worker_calls.RunReport) -> None:
        """Throttles or moves fill runs that interfere with serving tasks."""
        serving = []
        fills = {}
        runs = {}
        capacity = max(1, self.worker.report.capacity.cpu_millicores)
        for run in report.running:
            task = self._owner.active_run(self.worker, run.task, run.run)
            if task is None or task.phase is not model.Phase.RUNNING:
                continue
            step = self._owner.shard_jobs.step(task.key)
            if step.fills:
                fill = self._fills.get(task.name) or fill_samples.FillRun(
                    step.image, self.worker.cpu_share(step)
                )
                fill.used = run.measurement / capacity
                fill.claim = self._claim(task)
                fills[task.name] = fill
                runs[task.name] = task
            elif step.target_ms and run.progress >= STARTED_PERCENT:
                serving.append(
                    fill_samples.ServingTail(
                        step.image, run.measurement, step.target_ms
                    )
                )
        self._fills = fills
        interference = self._owner.interference
        now_s = report.reply.received_s
        samples = self.worker.samples
        interference.learn(samples, serving, list(fills.values()), now_s)
        reactions = interference.react(samples, serving, fills, now_s)
        for name, reaction in reactions.items():
            self._apply(runs[name], fills[name], reaction)

    def run_started(self, task: model.Task) -> None:
        """Throttles a new fill run if it may interfere."""
        step = self._owner.shard_jobs.step(task.key)
        if not step.fills:
            return
        fill = fill_samples.FillRun(step.image, self.worker.cpu_share(step))
        fill.claim = self._claim(task)
        self._fills[task.name] = fill
        interference = self._owner.interference
        percent = interference.initial_pace(
            self.worker.samples, self._fills, fill
        )
        if percent < fill_samples.FULL_PERCENT:
            fill.set_pace(percent, clock.now_s())
            self._owner.greenlets.spawn(self._send_pace, task, task.run, fill)

    def _claim(self, task: model.Task) -> fill_claims.Claim:
        entry = self._owner.shard_jobs.jobs[task.key.job]
        return fill_claims.claim(entry, task, clock.wall_ms())

    def _apply(
        self,
        task: model.Task,
        fill: fill_samples.FillRun,
        reaction: fill_interference.Reaction,
    ) -> None:
        if reaction is fill_interference.Reaction.PACE:
            self._owner.greenlets.spawn(self._send_pace, task, task.run, fill)
        elif self._owner.shard_jobs.step(
            task.key
        ).saves_progress and self._owner.can_move(task):
            self._owner.stop_run(task, "interferes with serving tasks")

    def _send_pace(
        self, task: model.Task, run: int, fill: fill_samples.FillRun
    ) -> None:
        percent = fill.percent
        logs.event(
            "fill-pace",
            worker=self.worker.report.id,
            task=task.name,
            image=fill.image,
            percent=percent,
            urgency=fill.claim.urgency.name.lower(),
            tasks_left=fill.claim.tasks_left,
            alarm=self.worker.samples.alarmed,
        )
        while not self._owner.lost and fill.percent == percent:
            if task.run != run or task.worker != self.worker.report.id:
                return
            outcome = self._owner.calls.pace(
                self.worker.report,
                task.name,
                run,
                percent,
                self._owner.epoch_for(self.worker),
                ORDER_TIMEOUT_S,
            )
            if outcome.is_ok():
                return
            eventlet.sleep(RETRY_INTERVAL_S)
