"""Schedules a shard's jobs: plans, commits and dispatches their runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
import eventlet.event

from wisterialug_core.workflow import (
    fill_interference,
    job_table,
    model,
    ownership,
    placement_wait,
    step_placement,
    task_durations,
    worker_table,
)
from wisterialug_daemon import logs, metrics
from wisterialug_daemon.workflow import (
    clock,
    dispatcher,
    lender,
    loss_watch,
    lost_worker,
    owner_logs,
    pool,
    shard_contents,
    shard_evacuations,
    shard_feeds,
    shard_recorder,
    shard_store,
    shared_effects,
    waiting_log,
    worker_sessions,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import (
        evacuations,
        run_proofs,
        task_placement,
    )
    from wisterialug_daemon.workflow import (
        job_rows,
        layout_keeper,
        row_store,
        settings,
        sources,
        worker_calls,
        worker_session,
    )

# Interval of ownership renewals; candidates take over after three missed ones.
RENEWAL_INTERVAL_S = 0.5
# Interval of looks at silent workers' leases.
EXPIRY_INTERVAL_S = 0.1
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
        evacuated: Callable[[], evacuations.Evacuations],
    ) -> None:
        self.cfg = cfg
        self.rows = rows
        self._first_epoch = rows.epoch
        self.shard_jobs = job_table.JobTable()
        self.shard_workers = worker_table.WorkerTable(
            rows.earlier.restarted_until_s
        )
        self.waits = placement_wait.Waits(cfg.remote_slowdown)
        self.interference = fill_interference.InterferenceModel()
        self.durations = task_durations.DurationTable()
        self.calls = calls
        self.lost = False
        self.claim_backoff_s = CLAIM_BACKOFF_S
        self.evacuations = shard_evacuations.ShardEvacuations(self, evacuated)
        self.greenlets = pool.Greenlets()
        self.acquired_s = clock.now_s()
        self._feeds = shard_feeds.ShardFeeds(self, store, registry, keeper)
        self._sessions = worker_sessions.WorkerSessions(self)
        self._dispatcher = dispatcher.Dispatcher(self)
        self._lender = lender.Lender(
            rows.shard,
            self.shard_jobs,
            store,
            keeper,
            room_elsewhere,
            self.waits,
            cfg.row_bytes,
        )
        self._shared_effects = shared_effects.SharedEffects(self, store, keeper)
        self._losses = loss_watch.LossWatch(self, self._feeds)
        self._recorder = shard_recorder.ShardRecorder(self, self._lender)
        self.contents = shard_contents.ShardContents(
            self, self._feeds, self._lender, self._recorder
        )
        self._waiting_log = waiting_log.WaitingLog(
            rows.shard, self.shard_jobs, self.shard_workers
        )
        self._pending: list[task_placement.Placement] = []
        self._wake = eventlet.event.Event()
        self._stopping = False
        self._expiry_checked_s = 0.0
        self._renewal_wanted = False

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

    @property
    def inbox_version(self) -> int:
        """Returns the version of the store up to which the inbox is applied."""
        return self._feeds.inbox_cursor

    def renew_soon(self) -> None:
        """Renews the ownership in the next scheduling cycle."""
        self._renewal_wanted = True
        self.wake()

    def wake(self) -> None:
        """Triggers the next scheduling cycle at once."""
        if not self._wake.ready():
            self._wake.send()

    def listed_data_centres(self) -> set[str]:
        """Returns the data centres of all listed workers, of any shard."""
        return self._feeds.data_centres()

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
        loaded = self.contents.load()
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

    def mark_running(self, task: model.Task) -> None:
        """Records that a worker has begun a task's active run."""
        if self.shard_jobs.mark_running(task):
            owner_logs.log_job_running(task, self.rows.shard)

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
        self.evacuations.apply(now_s)
        if now_s - self._expiry_checked_s >= EXPIRY_INTERVAL_S:
            self._expiry_checked_s = now_s
            lost_worker.check_silent(self)
        self._losses.settle()
        waiting = self._waiting_log.begin(now_s)
        if self._feeds.registry_seen:
            self._pending += step_placement.plan(
                self.shard_jobs,
                self.shard_workers,
                self.interference,
                now_s,
                clock.wall_ms(),
                waits=self.waits,
            )
            owner_logs.log_waits(self.rows.shard, self.waits.take_changes())
        self._waiting_log.end(waiting, now_s)
        self._dispatcher.stop_unwanted()
        self._dispatcher.make_room(now_s)
        self._lender.check(now_s)
        renewal_due = (
            now_s - self.rows.renewed_s >= RENEWAL_INTERVAL_S
            or self.rows.next_epoch > self.rows.epoch
            or self._renewal_wanted
        )
        if self.shard_jobs.dirty or renewal_due:
            self._renewal_wanted = False
            self._commit(renewal_due)
            eventlet.sleep(COMMIT_SPACING_S)
        if renewal_due:
            self._sessions.remove_unused()
            if self._is_partitioned(now_s):
                self.give_up("most workers unreachable from this VM")

    def _commit(self, renewal_due: bool) -> None:
        """Commits changes, then sends the starts that depend on them."""
        taken = self._recorder.take()
        if not (taken.changes or renewal_due):
            # What has changed belongs to jobs that can't be recorded now.
            return
        self._sessions.begin_commit(taken)
        outcome = self._recorder.commit(taken, renewal_due=renewal_due)
        if outcome.is_err():
            self.lose(str(outcome.err_value))
            return
        recorded = outcome.ok_value
        rejected = taken.changes.keys() - recorded.changes.keys()
        self._sessions.finish_commit(rejected)
        self._send_recorded(recorded)
        if rejected:
            self._drop_placements(rejected)

    def _send_recorded(self, recorded: job_rows.Batch) -> None:
        """Sends the starts that are recorded."""
        ready, waiting = [], []
        for start in self._pending:
            covered = recorded.covers(self.shard_jobs.page_of(start.task))
            (ready if covered else waiting).append(start)
        self._pending = waiting
        owner_logs.log_placed(
            self.shard_jobs, ready, self.epoch, self.rows.version
        )
        for start in ready:
            self._dispatcher.send(start)

    def _drop_placements(self, rejected: Collection[str]) -> None:
        """Drops placements of jobs whose record the store has rejected."""
        kept = []
        for start in self._pending:
            if start.task.key.job in rejected:
                self.stop_run(start.task, "its record is rejected")
            else:
                kept.append(start)
        self._pending = kept

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
