"""One worker's lease: extends it, and learns what runs and what has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
import eventlet.event

from wisterialug_core.workflow import model
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import (
    clock,
    errors,
    fill_pacing,
    worker_calls,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_core.workflow import worker_table
    from wisterialug_daemon.workflow import owner

# How long a worker may wait for an end before it answers; leases are extended
# this often.
HOLD_WAIT_MS = 1000
ANSWER_TIMEOUT_S = 0.8
# Silence after which leases are no longer extended: answers may be lost one
# way, and a lease that is extended can't lapse.
SILENT_S = 1.2
SILENT_PAUSE_S = 0.25
# How long ends may wait to be recorded before the worker is asked again.
RECORD_WAIT_S = 0.4
# A worker that drains may leave at any moment; with short leases its runs are
# known to be over soon after.
DRAINING_LEASE_MS = 1500
# Wait while something may change for the worse within a second.
SHORT_WAIT_MS = 450
# A run without progress for this long has stalled, unless it was slowed.
STALL_S = 1.8
# Most ends that a worker lists in one report.
MAX_LISTED_ENDS = 500


class WorkerSession:
    """Keeps one worker's lease while it runs something."""

    def __init__(
        self, owner: owner.ShardOwner, worker: worker_table.Worker
    ) -> None:
        self._owner = owner
        self.worker = worker
        self._running = False
        # Ends that were noted, by number, with the job that they change.
        self._noted: dict[int, str] = {}
        self._in_commit: set[int] = set()
        self._highest_seq = 0
        self._acked_seq = 0
        self._recorded = eventlet.event.Event()
        self.pacing = fill_pacing.FillPacing(owner, worker)
        self._other_life = False
        # When stops were answered, by run; the end follows in a report.
        self._stops_answered: dict[tuple[model.TaskKey, int], float] = {}

    def ensure_running(self) -> None:
        """Starts the session if the worker needs one."""
        if not self._running and not self._owner.lost and self._needed():
            self._running = True
            self._owner.greenlets.spawn(self._run)

    def note_other_life(self) -> None:
        """Notes that the worker's life is over, and all its runs with it."""
        self.worker.gone = True
        self._other_life = True
        self._lose_runs("another life of the worker has answered")

    def note_stopped(
        self, task: model.Task, run: int, reply: worker_calls.Reply
    ) -> None:
        """Notes that the worker has answered a stop."""
        self._stops_answered[(task.key, run)] = reply.received_s
        self.ensure_running()

    def take_ends(self, jobs: Iterable[str]) -> None:
        """Notes that changes of jobs are on their way to the store."""
        if self._noted:
            taken = set(jobs)
            self._in_commit = {
                seq
                for seq, job in self._noted.items()
                if job in taken or job not in self._owner.book.dirty
            }

    def ends_recorded(self) -> None:
        """Notes that the ends taken before are durable."""
        if not self._in_commit:
            return
        for seq in self._in_commit:
            self._noted.pop(seq, None)
        self._in_commit = set()
        if not self._noted and not self._recorded.ready():
            self._recorded.send()

    def _needed(self) -> bool:
        worker = self.worker
        return not worker.gone and bool(
            worker.runs
            or self._noted
            or self._acked_seq < self._highest_seq
            or (
                (not worker.fenced or worker.silent_since_s)
                and worker.report.state is not model.WorkerState.ABSENT
            )
        )

    def _run(self) -> None:
        try:
            while not self._owner.lost and self._needed():
                self._step()
        finally:
            self._running = False

    def _step(self) -> None:
        worker = self.worker
        if not worker.report.address:
            self._wait_for_lapse()
            return
        if self._noted:
            with eventlet.Timeout(RECORD_WAIT_S, False):
                self._recorded.wait()
        self._recorded = eventlet.event.Event()
        wait_ms = 0
        if worker.fenced and not self._noted and worker.runs:
            draining = worker.report.state is model.WorkerState.DRAINING
            wait_ms = HOLD_WAIT_MS
            if draining or self.pacing.may_disturb():
                wait_ms = SHORT_WAIT_MS
        durable_seq = self._durable_up_to()
        sent_s = clock.now_s()
        outcome = self._owner.calls.hold(
            worker.report,
            self._owner.epoch,
            durable_seq,
            self._deadline_ms(sent_s),
            wait_ms,
            wait_ms / 1000 + ANSWER_TIMEOUT_S,
        )
        if self._owner.lost:
            return
        if outcome.is_ok():
            self._acked_seq = max(self._acked_seq, durable_seq)
            self._answered(outcome.ok_value)
        else:
            self._failed(outcome.err_value, sent_s)

    def _durable_up_to(self) -> int:
        """Returns the number up to which all ends are durable."""
        if self._noted:
            return min(self._noted) - 1
        return self._highest_seq

    def _deadline_ms(self, now_s: float) -> int | None:
        worker = self.worker
        silent_s = now_s - worker.silent_since_s if worker.silent_since_s else 0
        if (
            not worker.runs
            or not worker.fenced
            or silent_s > SILENT_S
            or not self._owner.may_extend_leases()
        ):
            return None
        length_ms = self._owner.cfg.lease_ms
        if worker.report.state is model.WorkerState.DRAINING:
            length_ms = DRAINING_LEASE_MS
        return worker.lease.grant(now_s, length_ms)

    def _answered(self, report: worker_calls.WorkReport) -> None:
        worker = self.worker
        reply = report.reply
        worker.lease.record_clock(
            reply.clock_ms, reply.sent_s, reply.received_s
        )
        if worker.silent_since_s:
            logs.event(
                "worker-answers-again",
                worker=worker.report.id,
                silent_s=round(reply.received_s - worker.silent_since_s, 3),
            )
            worker.silent_since_s = 0.0
            self._owner.wake()
        self._note_running(report)
        self._note_ended(report)
        self._note_missing(report)
        if not worker.fenced:
            worker.fenced = True
            # An earlier owner may have extended the lease just before.
            worker.lease.deadline_ms = max(
                worker.lease.deadline_ms,
                reply.clock_ms + self._owner.cfg.lease_ms,
            )
            self._owner.wake()
        self.pacing.adjust(report)

    def _note_running(self, report: worker_calls.WorkReport) -> None:
        for run in report.running:
            task = self._owner.active_run(self.worker, run.task, run.run)
            if task is None:
                self._owner.greenlets.spawn(self._stop_stray, run.task, run.run)
                continue
            if run.checkpoint:
                task.checkpoint = run.checkpoint
            if task.phase in {model.Phase.STARTING, model.Phase.ADOPTED}:
                task.phase = model.Phase.RUNNING
                task.phase_since_s = report.reply.received_s
                self._owner.book.mark_running(task)
                self._owner.wake()
            self._check_progress(task, run, report.reply.received_s)

    def _stop_stray(self, name: str, run: int) -> None:
        logs.event(
            "stray-stop-ordered",
            task=name,
            run=run,
            worker=self.worker.report.id,
        )
        self._owner.calls.stop(
            self.worker.report,
            name,
            run,
            self._owner.epoch,
            ANSWER_TIMEOUT_S,
        )

    def _check_progress(
        self, task: model.Task, run: worker_calls.RunningRun, now_s: float
    ) -> None:
        step = self._owner.book.step(task.key)
        if (
            run.progress != task.progress
            or step.long_running
            or step.gang
            or self.pacing.is_slowed(task)
            or task.phase is not model.Phase.RUNNING
        ):
            task.progress = run.progress
            task.stalled_since_s = 0.0
        elif not task.stalled_since_s:
            task.stalled_since_s = now_s
        elif now_s - task.stalled_since_s > STALL_S:
            self.worker.health.set_aside(now_s)
            self._owner.stop_run(task, "makes no progress")

    def _note_ended(self, report: worker_calls.WorkReport) -> None:
        for ended in report.ended:
            if ended.seq <= self._highest_seq:
                continue
            self._highest_seq = ended.seq
            task = self._owner.active_run(self.worker, ended.task, ended.run)
            if task is None:
                continue
            self._noted[ended.seq] = task.key.job
            self._owner.book.mark_running(task)
            self._note_health(ended, task, report.reply.received_s)
            self._stops_answered.pop((task.key, ended.run), None)
            self._owner.end_run(task, ended.end, ended.checkpoint, "reported")

    def _note_health(
        self, ended: worker_calls.EndedRun, task: model.Task, now_s: float
    ) -> None:
        health = self.worker.health
        if ended.end is model.RunEnd.DONE:
            health.record_success()
        elif ended.end is model.RunEnd.FAILED and health.record_failure(
            task.key.job, now_s
        ):
            logs.event(
                "worker-set-aside",
                worker=self.worker.report.id,
                failed_jobs=len(health.failed_jobs),
                until_s=round(health.aside_until_s - now_s, 3),
            )

    def _note_missing(self, report: worker_calls.WorkReport) -> None:
        """Finds runs that were there, or never came, by their absence."""
        if len(report.ended) >= MAX_LISTED_ENDS:
            return
        listed = {(run.task, run.run) for run in report.running}
        for key in list(self.worker.runs):
            task = self._owner.book.task(key)
            if task is None or (task.name, task.run) in listed:
                continue
            sent_s = report.reply.sent_s
            if task.phase is model.Phase.ADOPTED:
                # Orders of earlier epochs are rejected from now on.
                known = True
            elif task.phase is model.Phase.RUNNING:
                known = task.phase_since_s < sent_s
            else:
                answered_s = self._stops_answered.get((key, task.run), sent_s)
                known = answered_s < sent_s
            if known:
                self._stops_answered.pop((key, task.run), None)
                self._owner.end_run(
                    task, model.RunEnd.LOST, "", "not on the worker"
                )

    def _failed(self, exc: errors.WorkerError, sent_s: float) -> None:
        worker = self.worker
        if isinstance(exc, errors.OtherLifeError):
            self.note_other_life()
            return
        if (
            isinstance(exc, errors.RejectedError)
            and exc.reason is errors.Rejection.FENCED
        ):
            self._owner.lose("a worker has seen a higher epoch")
            return
        now_s = clock.now_s()
        if not worker.silent_since_s:
            worker.silent_since_s = sent_s
            logs.event("worker-silent", worker=worker.report.id, error=str(exc))
        self._check_lapse(now_s)
        eventlet.sleep(SILENT_PAUSE_S)

    def _wait_for_lapse(self) -> None:
        self._check_lapse(clock.now_s())
        eventlet.sleep(SILENT_PAUSE_S)

    def _check_lapse(self, now_s: float) -> None:
        lapsed_s = (
            self.worker.lease.latest_expiry_s()
            if self.worker.fenced
            else self._owner.lapsed_under_earlier_owner_s()
        )
        if now_s > lapsed_s and self.worker.runs:
            self._lose_runs("lease has lapsed")

    def _lose_runs(self, why: str) -> None:
        for key in list(self.worker.runs):
            task = self._owner.book.task(key)
            if task is not None and task.worker == self.worker.report.id:
                self._owner.end_run(task, model.RunEnd.LOST, "", why)
