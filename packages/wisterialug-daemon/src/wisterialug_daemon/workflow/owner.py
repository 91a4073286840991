"""Schedules a shard's jobs: plans, commits and dispatches their runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
import eventlet.event
import result

from wisterialug_core.workflow import (
    fill_interference,
    job_table,
    model,
    ownership,
    step_placement,
    worker_table,
)
from wisterialug_daemon import logs, metrics
from wisterialug_daemon.workflow import (
    clock,
    dispatcher,
    errors,
    lender,
    owner_logs,
    pool,
    records,
    shard_feeds,
    shard_recorder,
    shard_store,
    shared_effects,
    worker_sessions,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import run_proofs
    from wisterialug_daemon.workflow import (
        layout_keeper,
        row_store,
        settings,
        sources,
        worker_calls,
        worker_session,
    )

# Interval of ownership renewals; candidates take over after three missed ones.
RENEWAL_INTERVAL_S = 0.5
# Events trigger a scheduling cycle at once.
MAX_CYCLE_INTERVAL_S = 0.25
# Pause after each commit, so that run ends are committed in batches.
COMMIT_SPACING_S = 0.02
# A process that lost or released a shard does not claim it for this time.
CLAIM_BACKOFF_S = 4.0
PARTITION_CHECK_DELAY_S = 5.0


class ShardOwner:
    """Schedules the jobs of one shard while its epoch is current.

    Attributes:
      lost: Another process owns the shard, or this one released it.
      claim_backoff_s: How long this process does not claim the shard again.
    """

    def __init__(
        self,
        cfg: settings.WorkflowSettings,
        rows: shard_store.ShardStore,
        store: row_store.RowStore,
        calls: worker_calls.WorkerCalls,
        registry: sources.WorkerRegistry,
        keeper: layout_keeper.LayoutKeeper,
        room_elsewhere: Callable[[], Mapping[str, workflow_pb2.Ownership]],
    ) -> None:
        self.cfg = cfg
        self.rows = rows
        self._first_epoch = rows.epoch
        self.shard_jobs = job_table.JobTable()
        self.shard_workers = worker_table.WorkerTable()
        self.interference = fill_interference.InterferenceModel()
        self.calls = calls
        self.lost = False
        self.claim_backoff_s = CLAIM_BACKOFF_S
        self.greenlets = pool.Greenlets()
        self.acquired_s = clock.now_s()
        self._feeds = shard_feeds.ShardFeeds(self, store, registry, keeper)
        self._sessions = worker_sessions.WorkerSessions(self)
        self._dispatcher = dispatcher.Dispatcher(self)
        self._lender = lender.Lender(
            rows.shard, self.shard_jobs, store, keeper, room_elsewhere
        )
        self._shared_effects = shared_effects.SharedEffects(self, store, keeper)
        self._recorder = shard_recorder.ShardRecorder(self, self._lender)
        self._pending: list[step_placement.Placement] = []
        self._wake = eventlet.event.Event()
        self._stopping = False

    # State for the worker sessions and the dispatcher.

    @property
    def epoch(self) -> int:
        """Returns the recorded fencing token."""
        return self.rows.epoch

    def epoch_for(self, worker: worker_table.Worker) -> int:
        """Returns the fencing token of orders to a worker.

        It stays the same for an incarnation: calls may overtake each other.
        """
        return max(self._first_epoch, worker.least_epoch)

    def raise_epoch(self) -> int:
        """Returns an epoch above that of all orders, to be recorded next."""
        self.rows.next_epoch = self.rows.epoch + 1
        self.wake()
        return self.rows.next_epoch

    def wake(self) -> None:
        """Triggers the next scheduling cycle at once."""
        if not self._wake.ready():
            self._wake.send()

    def apply_layout(self) -> None:
        """Adds workers that a new layout assigns to the shard."""
        if self._feeds.registry_seen:
            self._feeds.apply_layout()
            self.wake()

    def lose(self, reason: str) -> None:
        """Stops scheduling the shard."""
        if self.lost:
            return
        self.lost = True
        logs.event(
            "shard-lost",
            shard=self.rows.shard,
            epoch=self.epoch,
            reason=reason,
            held_s=round(clock.now_s() - self.acquired_s, 3),
        )
        self.wake()

    # Lifecycle.

    def run(self) -> None:
        """Schedules the shard until it is lost or released."""
        loaded = self._load()
        if loaded.is_err():
            self.lose(f"loading failed: {loaded.err_value}")
            return
        self._feeds.start()
        self.greenlets.supervise(self._shared_effects.run)
        try:
            while not self.lost:
                self._wait_for_events()
                if not self.lost:
                    self._run_cycle()
        finally:
            self.greenlets.close()

    def give_up(
        self, reason: str, claim_backoff_s: float = CLAIM_BACKOFF_S
    ) -> None:
        """Releases the shard in the next scheduling cycle."""
        self._stopping = True
        self.claim_backoff_s = claim_backoff_s
        logs.event(
            "shard-given-up",
            shard=self.rows.shard,
            epoch=self.epoch,
            reason=reason,
        )
        self.wake()

    def _load(self) -> result.Result[None, errors.StoreError]:
        begun_s = clock.now_s()
        loaded = self.rows.load()
        if loaded.is_err():
            return loaded
        content = loaded.ok_value
        self._feeds.inbox_cursor = content.cursor
        self.interference.factors.restore(content.effects)
        adopted = 0
        for job in content.inbox.jobs:
            self.shard_jobs.add(job)
        for loan in content.inbox.loans:
            if not self._is_orphan(loan):
                self.shard_jobs.add_borrowed(loan.job)
        for job, entry in list(self.shard_jobs.jobs.items()):
            progress = content.progress.get(job)
            if progress is not None:
                for task in self.shard_jobs.restore(entry, progress):
                    self._adopt(task)
                    adopted += 1
        # Of borrowed jobs whose loan was removed before the record was.
        self._recorder.orphans += [
            records.progress(self.rows.shard, job)
            for job in content.progress.keys() - self.shard_jobs.jobs.keys()
        ]
        self.apply_inbox(content.inbox)
        for entry in list(self.shard_jobs.jobs.values()):
            self.shard_jobs.close_if_ended(entry, clock.wall_ms())
            if not entry.home or self._lender.rows_are_left(entry.job.id):
                # Its results, or its end, may not have been sent to others.
                self.shard_jobs.dirty.add(entry.job.id)
        logs.event(
            "shard-loaded",
            shard=self.rows.shard,
            epoch=self.epoch,
            jobs=len(self.shard_jobs.jobs),
            open_jobs=len(self.shard_jobs.open_jobs),
            runs=adopted,
            took_s=round(clock.now_s() - begun_s, 3),
        )
        return result.Ok(None)

    def apply_inbox(self, inbox: shard_store.Inbox) -> None:
        """Applies what others have written for this shard."""
        now_ms = clock.wall_ms()
        for job in inbox.jobs:
            self.shard_jobs.add(job)
        for loan in inbox.loans:
            if not self._is_orphan(loan):
                self._lender.borrow(loan)
                continue
            ref = records.loan(loan.job.id, loan.from_shard, loan.to_shard)
            self._recorder.orphans.append(ref)
        for loan_result in inbox.results:
            if loan_result.job not in self.shard_jobs.jobs:
                # The job's rows were removed before this one was written.
                ref = records.result(
                    loan_result.job,
                    loan_result.from_shard,
                    loan_result.to_shard,
                )
                self._recorder.orphans.append(ref)
                continue
            entry = self._lender.apply_result(loan_result)
            if entry is not None and entry.final:
                owner_logs.log_job_end(entry)
        for job in inbox.cancelled:
            if self.shard_jobs.cancel(job, now_ms):
                logs.event("job-cancelled", job=job, shard=self.rows.shard)

    def _is_orphan(self, loan: workflow_pb2.Loan) -> bool:
        """Returns whether a loan brings back tasks of a job that was removed.

        Its job's own row is in the same inbox until the job is removed.
        """
        at_home = loan.job.shard == self.rows.shard
        return at_home and loan.job.id not in self.shard_jobs.jobs

    def _adopt(self, task: model.Task) -> None:
        self.shard_workers.add_recorded(model.Incarnation(task.worker))
        self.shard_workers.reserve(task, self.shard_jobs.step(task.key))

    def session(
        self, worker: worker_table.Worker
    ) -> worker_session.WorkerSession:
        """Returns the worker's session, started if the worker needs one."""
        return self._sessions.get(worker)

    def active_run(
        self, worker: worker_table.Worker, name: str, run: int
    ) -> model.Task | None:
        """Returns a task if this run of it is active on a worker."""
        key = model.parse_task_name(name)
        task = self.shard_jobs.task(key) if key else None
        if task is None or not task.is_active_on(worker.report.id, run):
            return None
        return task

    def can_move(self, task: model.Task) -> bool:
        """Returns whether another worker has room for an interfering task."""
        return step_placement.can_move(
            self.shard_jobs.jobs[task.key.job],
            task,
            self.shard_workers,
            self.interference,
            clock.now_s(),
        )

    def stop_run(self, task: model.Task, why: str) -> None:
        """Stops a task's active run."""
        self._dispatcher.stop(task, why)

    def end_run(
        self,
        task: model.Task,
        end: model.RunEnd,
        checkpoint: str,
        proof: run_proofs.Proof,
    ) -> None:
        """Records the end of a task's active run.

        Args:
          task: The task; it may start again from now on.
          end: How the run ended.
          checkpoint: Where a next run can resume; empty if nothing is saved.
          proof: Why no order for the run can take effect any more.
        """
        worker_id = task.worker
        step = self.shard_jobs.step(task.key)
        self.shard_jobs.end(task, end, checkpoint, clock.wall_ms())
        self.shard_workers.release(task, worker_id, step)
        metrics.RUN_ENDS.labels(end.value).inc()
        if step.gang and end is not model.RunEnd.DONE:
            self._stop_gang(task)
        if end is not model.RunEnd.DONE:
            owner_logs.log_run_end(task, worker_id, end, proof)
        entry = self.shard_jobs.jobs[task.key.job]
        if entry.home and entry.final:
            if end in {model.RunEnd.DONE, model.RunEnd.FAILED}:
                owner_logs.log_job_end(entry)
        self.wake()

    def _stop_gang(self, ended: model.Task) -> None:
        """Stops the other members, which can't proceed without this one."""
        entry = self.shard_jobs.jobs[ended.key.job]
        for member in entry.group(model.GroupKey(*ended.key[:3])):
            if member.active:
                self.stop_run(member, "another member of the gang ended")

    # One scheduling cycle.

    def _wait_for_events(self) -> None:
        with eventlet.Timeout(MAX_CYCLE_INTERVAL_S, False):
            self._wake.wait()
        self._wake = eventlet.event.Event()

    def _run_cycle(self) -> None:
        now_s = clock.now_s()
        if self._stopping:
            self._release()
            return
        if self._feeds.registry_seen:
            self._pending += step_placement.plan(
                self.shard_jobs,
                self.shard_workers,
                self.interference,
                now_s,
                clock.wall_ms(),
            )
        self._dispatcher.stop_unwanted()
        self._dispatcher.make_room(now_s)
        self._lender.check(now_s)
        renewal_due = (
            now_s - self.rows.renewed_s >= RENEWAL_INTERVAL_S
            or self.rows.next_epoch > self.rows.epoch
        )
        if self.shard_jobs.dirty or renewal_due:
            self._commit(renewal_due)
            eventlet.sleep(COMMIT_SPACING_S)
        if renewal_due:
            self._sessions.remove_unused()
            if self._is_partitioned(now_s):
                self.give_up("most workers unreachable from this VM")

    def _commit(self, renewal_due: bool) -> None:
        """Commits changes, then sends the starts that depend on them."""
        taken = self._recorder.take_jobs()
        self._sessions.begin_commit(taken)
        outcome = self._recorder.commit(taken, renewal_due=renewal_due)
        if outcome.is_err():
            self.lose(str(outcome.err_value))
            return
        self._sessions.finish_commit()
        ready = [p for p in self._pending if p.task.key.job in taken]
        self._pending = [
            p for p in self._pending if p.task.key.job not in taken
        ]
        owner_logs.log_placed(
            self.shard_jobs, ready, self.epoch, outcome.ok_value
        )
        for start in ready:
            self._dispatcher.send(start)

    def _is_partitioned(self, now_s: float) -> bool:
        if now_s - self.acquired_s < PARTITION_CHECK_DELAY_S:
            return False
        return ownership.is_cut_off(
            [
                w.unanswered_polls
                for w in self.shard_workers.workers.values()
                if w.report.state is model.WorkerState.READY
            ]
        )

    def _release(self) -> None:
        """Commits pending changes and releases the shard."""
        self._recorder.release()
        self.lose("released")
