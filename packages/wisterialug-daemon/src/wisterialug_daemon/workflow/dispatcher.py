"""Sends start and stop orders until their outcome is known."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet

from wisterialug_core.workflow import leases, model, preemption, run_proofs
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock, errors, worker_calls

if TYPE_CHECKING:
    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import task_placement, worker_table
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

    def send(self, start: task_placement.Placement) -> None:
        """Sends a committed start."""
        self._owner.greenlets.spawn(self._start, start)

    def stop_unwanted(self) -> None:
        """Stops runs of ended jobs and those that must leave their worker."""
        for entry in list(self._owner.shard_jobs.open_jobs.values()):
            if not entry.active:
                continue
            for group, tasks in entry.groups.items():
                # Members that a new owner adopts may be without the others.
                incomplete = entry.job.steps[group.step].gang and any(
                    task.pending for task in tasks
                )
                for task in tasks:
                    if not task.active:
                        continue
                    if entry.final:
                        self.stop(task, "job ended")
                    elif incomplete:
                        self.stop(task, "gang is not complete")
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
            self._owner.waits.chosen,
        ):
            self.stop(task, "room for short tasks")

    def stop(self, task: model.Task, why: str) -> None:
        """Stops a task's active run; its end arrives in a report."""
        if not task.active:
            return
        if task.phase is model.Phase.STARTING and task.orders.unsent:
            # Its start still waits for a commit, and is not sent after this.
            task.phase = model.Phase.STOPPING
            self._owner.greenlets.spawn(self._end_unsent, task, task.run)
            return
        order = (task.key, task.run)
        worker = self._owner.shard_workers.workers.get(task.worker)
        if order in self._stopping or worker is None:
            return
        if task.phase in {model.Phase.ADOPTED, model.Phase.STOPPING}:
            # Only a report shows whether an adopted run exists.
            return
        self._stopping.add(order)
        task.phase = model.Phase.STOPPING
        self._owner.greenlets.spawn(self._stop, worker, task, task.run, why)

    def _end_unsent(self, task: model.Task, run: int) -> None:
        """Ends a run that was given up before its start was sent.

        Apart from `stop`, as the end of one member of a gang stops the others.
        """
        if task.active and task.run == run:
            self._owner.end_run(
                task, model.RunEnd.LOST, "", run_proofs.Proof.NO_OPEN_START
            )

    def _must_move(self, task: model.Task, job: workflow_pb2.Job) -> bool:
        worker = self._owner.shard_workers.workers.get(task.worker)
        if (
            worker is None
            or worker.report.state is not model.WorkerState.DRAINING
            or task.phase is not model.Phase.RUNNING
        ):
            return False
        return job.steps[task.key.step].long_running

    def _is_starting(self, start: task_placement.Placement) -> bool:
        """Returns whether the run is active and not known to have begun."""
        task = start.task
        return (
            not self._owner.lost
            and task.is_active_on(start.worker.report.id, start.run)
            and task.phase is model.Phase.STARTING
        )

    def _start(self, start: task_placement.Placement) -> None:
        task, worker = start.task, start.worker
        for _ in range(MAX_START_ATTEMPTS):
            if not self._is_starting(start):
                return
            if worker.report.state is not model.WorkerState.READY:
                # It may have begun to drain since the run was placed there.
                self._abandon(start, "worker takes no new runs")
                return
            if self._owner.evacuations.covers(worker):
                self._abandon(start, "data centre is out of service", 0.0)
                return
            entry = self._owner.shard_jobs.jobs[task.key.job]
            sent_s = clock.now_s()
            deadline_ms = None
            if worker.report.id not in self._owner.rows.withheld:
                deadline_ms = worker.lease.grant(
                    sent_s,
                    self._owner.rows.renewed_s,
                    self._owner.cfg.lease_ms,
                )
            if entry.final or deadline_ms is None:
                self._abandon(start, "no longer needed, or no lease")
                return
            order = worker_calls.StartOrder(
                task.name,
                start.run,
                entry.job.spec,
                task.checkpoint,
                deadline_ms,
                self._owner.epoch_for(worker),
            )
            self._owner.session(worker)
            orders = task.orders
            orders.send(
                deadline_ms,
                leases.order_expiry_s(sent_s, self._owner.cfg.lease_ms),
            )
            outcome = self._owner.calls.start(
                worker.report, order, ORDER_TIMEOUT_S
            )
            if outcome.is_ok():
                orders.open -= 1
                orders.confirm(outcome.ok_value.received_s)
                self._handle_started(start, outcome.ok_value)
                return
            exc = outcome.err_value
            if not isinstance(exc, errors.NoAnswerError):
                orders.open -= 1
                self._handle_rejection(start, exc, orders)
                return
            logs.event(
                "start-unanswered",
                task=task.name,
                run=start.run,
                worker=worker.report.id,
                error=str(exc),
            )
            eventlet.sleep(RETRY_INTERVAL_S)
        self._abandon(start, "no response to start")

    def _handle_started(
        self, start: task_placement.Placement, reply: worker_calls.Reply
    ) -> None:
        task = start.task
        if not self._is_starting(start):
            return
        task.phase = model.Phase.RUNNING
        task.phase_since_s = reply.received_s
        task.started_clock_ms = reply.clock_ms
        self._owner.mark_running(task)
        self._owner.session(start.worker).pacing.run_started(task)

    def _abandon(
        self,
        start: task_placement.Placement,
        why: str,
        backoff_s: float = REJECTED_BACKOFF_S,
    ) -> None:
        """Gives up a run that is not known to have begun.

        A rejection holds for one order only: while another one is open, the
        run ends once the worker has acknowledged a stop.

        Args:
          start: The placement of the run.
          why: Why it is given up.
          backoff_s: Least time before the next start.
        """
        task = start.task
        if not self._is_starting(start):
            return
        task.not_before_s = clock.now_s() + backoff_s
        if task.orders.open:
            self.stop(task, why)
            return
        self._owner.end_run(
            task, model.RunEnd.LOST, "", run_proofs.Proof.NO_OPEN_START
        )

    def _handle_rejection(
        self,
        start: task_placement.Placement,
        exc: errors.WorkerError,
        orders: run_proofs.StartOrders,
    ) -> None:
        worker = start.worker
        now_s = clock.now_s()
        backoff_s = REJECTED_BACKOFF_S
        logs.event(
            "start-rejected",
            task=start.task.name,
            run=start.run,
            worker=worker.report.id,
            error=str(exc),
            unanswered=orders.open,
        )
        if isinstance(exc, errors.OtherLifeError):
            self._owner.session(worker).note_restart()
            return
        if worker.gone:
            # Its next incarnation was asked under a higher epoch meanwhile.
            return
        if isinstance(exc, errors.UnwellError):
            worker.health.record_refusal(now_s)
        elif isinstance(exc, errors.RejectedError):
            if exc.reason is errors.Rejection.FENCED:
                self._owner.lose("a worker has seen a higher epoch")
                return
            if exc.reason is errors.Rejection.OLD_RUN:
                # The run has ended there; the next report shows how.
                orders.confirm(now_s)
                self._owner.session(worker)
                return
            if exc.reason is errors.Rejection.NO_ROOM:
                worker.health.record_refusal(now_s)
            if exc.reason is errors.Rejection.INVALID:
                backoff_s = INVALID_BACKOFF_S
        self._abandon(start, str(exc), backoff_s)

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
            while not self._owner.lost and task.is_active_on(
                worker.report.id, run
            ):
                outcome = self._owner.calls.stop(
                    worker.report,
                    task.name,
                    run,
                    self._owner.epoch_for(worker),
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
