"""Sends start and stop orders until their outcome is known."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from wisterialug_core.workflow import model, preemption
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock, errors, worker_calls

if TYPE_CHECKING:
    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import step_placement, worker_table
    from wisterialug_daemon.workflow import owner

ORDER_TIMEOUT_S = 0.8
MAX_START_ATTEMPTS = 2
RETRY_INTERVAL_S = 0.15
# Time before a task that could not start is retried.
REJECTED_BACKOFF_S = 0.3
INVALID_BACKOFF_S = 2.0
# A stop takes about as long to free room.
MAKE_ROOM_INTERVAL_S = 0.1


class Dispatcher:
    """Sends an owner's start and stop orders to workers."""

    def __init__(self, owner: owner.ShardOwner) -> None:
        self._owner = owner
        self._stopping: set[tuple[model.TaskKey, int]] = set()
        self._made_room_s = 0.0

    def send(self, start: step_placement.Placement) -> None:
        """Sends a committed start."""
        self._owner.greenlets.spawn(self._start, start)

    def stop_unwanted(self) -> None:
        """Stops runs of ended jobs and those that must leave their worker."""
        for entry in list(self._owner.shard_jobs.open_jobs.values()):
            if not entry.active:
                continue
            for tasks in entry.groups.values():
                for task in tasks:
                    if not task.active:
                        continue
                    if entry.final:
                        self.stop(task, "job ended")
                    elif self._must_move(task, entry.job):
                        self.stop(task, "worker is draining")

    def make_room(self, now_s: float) -> None:
        """Stops long-running runs for short tasks that can wait no longer."""
        if now_s - self._made_room_s < MAKE_ROOM_INTERVAL_S:
            return
        self._made_room_s = now_s
        for task in preemption.select(
            self._owner.shard_jobs,
            self._owner.shard_workers,
            now_s,
            clock.wall_ms(),
        ):
            self.stop(task, "room for short tasks")

    def stop(self, task: model.Task, why: str) -> None:
        """Stops a task's active run; its end arrives in a report."""
        order = (task.key, task.run)
        if order in self._stopping:
            return
        if task.phase in {model.Phase.ADOPTED, model.Phase.STOPPING}:
            # Only a report shows whether an adopted run exists.
            return
        self._stopping.add(order)
        task.phase = model.Phase.STOPPING
        worker = self._owner.shard_workers.workers.get(task.worker)
        if worker is not None:
            self._owner.greenlets.spawn(self._stop, worker, task, task.run, why)

    def _must_move(self, task: model.Task, job: workflow_pb2.Job) -> bool:
        worker = self._owner.shard_workers.workers.get(task.worker)
        if (
            worker is None
            or worker.report.state is not model.WorkerState.DRAINING
            or task.phase is not model.Phase.RUNNING
        ):
            return False
        return job.steps[task.key.step].long_running

    def _is_current(self, start: step_placement.Placement) -> bool:
        task = start.task
        return (
            not self._owner.lost
            and task.worker == start.worker.report.id
            and task.run == start.run
            and task.phase is model.Phase.STARTING
            and not self._owner.shard_jobs.jobs[task.key.job].final
        )

    def _start(self, start: step_placement.Placement) -> None:
        task, worker = start.task, start.worker
        job = self._owner.shard_jobs.jobs[task.key.job].job
        for attempt in range(MAX_START_ATTEMPTS):
            deadline_ms = (
                worker.lease.grant(clock.now_s(), self._owner.cfg.lease_ms)
                if self._owner.may_extend_leases()
                else None
            )
            if not self._is_current(start) or deadline_ms is None:
                self._abandon(start, "no longer needed, or no lease")
                return
            order = worker_calls.StartOrder(
                task.name,
                start.run,
                job.spec,
                task.checkpoint,
                deadline_ms,
                self._owner.epoch,
            )
            self._owner.session(worker)
            outcome = self._owner.calls.start(
                worker.report, order, ORDER_TIMEOUT_S
            )
            if outcome.is_ok():
                self._handle_started(start, outcome.ok_value)
                return
            exc = outcome.err_value
            if not isinstance(exc, errors.NoAnswerError):
                self._handle_rejection(start, exc, retried=attempt > 0)
                return
            self._note_unanswered(start, exc)
            eventlet.sleep(RETRY_INTERVAL_S)
        if self._owner.lost or task.run != start.run or not task.active:
            return
        # The start may still take effect; an acknowledged stop prevents it.
        self.stop(task, "no response to start")

    def _note_unanswered(
        self, start: step_placement.Placement, exc: errors.WorkerError
    ) -> None:
        task = start.task
        if task.run == start.run:
            task.unanswered_starts += 1
        logs.event(
            "start-unanswered",
            task=task.name,
            run=start.run,
            worker=start.worker.report.id,
            error=str(exc),
        )

    def _handle_started(
        self, start: step_placement.Placement, reply: worker_calls.Reply
    ) -> None:
        task = start.task
        if task.run != start.run or task.phase is not model.Phase.STARTING:
            return
        task.phase = model.Phase.RUNNING
        task.phase_since_s = reply.received_s
        self._owner.shard_jobs.mark_running(task)
        self._owner.session(start.worker).pacing.run_started(task)

    def _abandon(self, start: step_placement.Placement, why: str) -> None:
        task = start.task
        if (
            self._owner.lost
            or task.run != start.run
            or task.worker != start.worker.report.id
            or task.phase is not model.Phase.STARTING
        ):
            return
        task.not_before_s = clock.now_s() + REJECTED_BACKOFF_S
        self._owner.end_run(task, model.RunEnd.LOST, "", why)

    def _handle_rejection(
        self,
        start: step_placement.Placement,
        exc: errors.WorkerError,
        *,
        retried: bool,
    ) -> None:
        worker = start.worker
        now_s = clock.now_s()
        logs.event(
            "start-rejected",
            task=start.task.name,
            run=start.run,
            worker=worker.report.id,
            error=str(exc),
            unanswered=start.task.unanswered_starts,
        )
        if isinstance(exc, errors.OtherLifeError):
            self._owner.session(worker).note_restart()
            return
        if isinstance(exc, errors.UnwellError):
            worker.health.record_refusal(now_s)
        elif isinstance(exc, errors.RejectedError):
            if exc.reason is errors.Rejection.FENCED:
                self._owner.lose("a worker has seen a higher epoch")
                return
            if exc.reason is errors.Rejection.OLD_RUN or retried:
                # An earlier attempt may have succeeded; the next report shows.
                start.task.phase = model.Phase.RUNNING
                start.task.phase_since_s = now_s
                self._owner.session(worker)
                return
            if exc.reason is errors.Rejection.NO_ROOM:
                worker.health.record_refusal(now_s)
            if exc.reason is errors.Rejection.INVALID:
                start.task.not_before_s = now_s + INVALID_BACKOFF_S
        self._abandon(start, str(exc))

    def _stop(
        self, worker: worker_table.Worker, task: model.Task, run: int, why: str
    ) -> None:
        logs.event(
            "stop-ordered",
            task=task.name,
            run=run,
            worker=worker.report.id,
            why=why,
        )
        try:
            while (
                not self._owner.lost
                and task.run == run
                and task.worker == worker.report.id
            ):
                outcome = self._owner.calls.stop(
                    worker.report,
                    task.name,
                    run,
                    self._owner.epoch,
                    ORDER_TIMEOUT_S,
                )
                if outcome.is_ok():
                    self._owner.session(worker).note_stop_acked(
                        task, run, outcome.ok_value
                    )
                    return
                if isinstance(outcome.err_value, errors.OtherLifeError):
                    self._owner.session(worker).note_restart()
                    return
                eventlet.sleep(RETRY_INTERVAL_S)
        finally:
            self._stopping.discard((task.key, run))
