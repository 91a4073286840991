"""Connects the scheduler of one owned shard to the table and workers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import eventlet
import eventlet.greenthread
import eventlet.semaphore
from absl import logging

from wisterialug_core.schema import work_pb2
from wisterialug_daemon import errors, logs, metrics
from wisterialug_daemon.adapters import table as table_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisterialug_core.decisions import shard as shard_lib
    from wisterialug_core.decisions import task_registry
    from wisterialug_daemon import presence
    from wisterialug_daemon.adapters import upstream

POLL_INTERVAL_S = 2.0
PLAN_INTERVAL_S = 0.1
LOAD_POLL_INTERVAL_S = 0.05
COMMIT_RETRY_S = 5.0
SYNC_TIMEOUT_S = 2.0
JOB_PREFIX = "job/"


def job_key(job: str) -> str:
    """Returns the table key of a job."""
    return JOB_PREFIX + job


def chunk_key(job: str, number: int) -> str:
    """Returns the table key of a chunk of tasks."""
    return f"chunk/{job}/{number:06d}"


def marker_prefix(shard: str) -> str:
    """Returns the prefix of a shard's markers of unfinished chunks."""
    return f"queue/{shard}/"


def marker_key(shard: str, job: str, number: int) -> str:
    """Returns the table key of a chunk's marker."""
    return f"{marker_prefix(shard)}{job}/{number:06d}"


class ShardRunner:
    """Polls, plans, commits and syncs workers for one shard."""

    def __init__(
        self,
        scheduler: shard_lib.ShardScheduler,
        row_version: int,
        table: table_lib.TableClient,
        workers: upstream.WorkerClient,
        presence_: presence.Presence,
        sync_interval_s: float,
    ) -> None:
        self.scheduler = scheduler
        self.row_version = row_version
        self._table = table
        self._workers = workers
        self._presence = presence_
        self._sync_interval_s = sync_interval_s
        self._addresses: dict[str, tuple[str, int]] = {}
        self._job_versions: dict[str, int] = {}
        self._marker_versions: dict[tuple[str, int], int] = {}
        self._chunk_versions: dict[tuple[str, int], int] = {}
        self._loaded = False
        # Rows read by one poll may be out of date once another has loaded them.
        self._polling = eventlet.semaphore.Semaphore()
        self._pending_commit: task_registry.Commit | None = None
        self._pending_transaction: table_lib.Transaction | None = None
        # Whether the pending commit was called before, without an outcome.
        self._commit_repeated = False
        self._threads: list[eventlet.greenthread.GreenThread] = []
        self._sync_loops: dict[str, eventlet.greenthread.GreenThread] = {}
        self._syncs_in_flight: set[str] = set()
        self._committing = False

    def start(self) -> None:
        """Starts the loops of this shard."""
        self._threads = [
            eventlet.spawn(self._loop, self.poll, POLL_INTERVAL_S),
            eventlet.spawn(self._loop, self._plan_and_commit, PLAN_INTERVAL_S),
        ]

    def stop(self) -> None:
        """Stops all loops; nothing more is sent or written."""
        for thread in [*self._threads, *self._sync_loops.values()]:
            eventlet.greenthread.kill(thread)
        self._threads = []
        self._sync_loops = {}

    @property
    def lost(self) -> bool:
        """Whether another VM owns the shard now."""
        return self.scheduler.fenced

    def wake(self) -> None:
        """Polls the table, plans and commits at once."""
        eventlet.spawn(self._poll_and_commit)

    def _poll_and_commit(self) -> None:
        self.poll()
        self._plan_and_commit()

    def set_workers(self, vms: list[work_pb2.Vm], drained: set[str]) -> None:
        """Sets the shard's workers and starts a sync loop for each."""
        self.scheduler.set_workers(vms, drained, time.monotonic())
        self._addresses = {vm.id: (vm.ip, vm.port) for vm in vms}
        for vm in vms:
            if vm.id not in self._sync_loops:
                self._sync_loops[vm.id] = eventlet.spawn(self._sync_loop, vm.id)

    # Reading the table.

    def poll(self) -> None:
        """Loads new chunks and applies cancellations."""
        with self._polling:
            self._poll()

    def _poll(self) -> None:
        rows = self._table.scan(marker_prefix(self.scheduler.shard))
        if rows.is_err():
            return
        new_keys = []
        for row in rows.ok_value:
            job, _, number = row.key.removeprefix(
                marker_prefix(self.scheduler.shard)
            ).rpartition("/")
            key = (job, int(number))
            self._marker_versions[key] = row.version
            marker = work_pb2.ChunkMarker.FromString(row.value or b"")
            if not self.scheduler.has_chunk(key):
                new_keys.append(key)
            elif marker.cancelled:
                self._reload_job(job)
        if not new_keys or self._load(new_keys):
            self._loaded = True

    def _load(self, keys: list[tuple[str, int]]) -> bool:
        """Loads chunks with their jobs in one read."""
        row_keys = [job_key(job) for job, _ in keys]
        row_keys += [chunk_key(*key) for key in keys]
        rows = self._table.read(row_keys)
        if rows.is_err():
            return False
        found = {row.key: row for row in rows.ok_value}
        for key in keys:
            job_row = found[job_key(key[0])]
            chunk_row = found[chunk_key(*key)]
            if job_row.value is None or chunk_row.value is None:
                continue
            if self.scheduler.has_chunk(key):
                continue
            self._job_versions[key[0]] = job_row.version
            self._chunk_versions[key] = chunk_row.version
            self.scheduler.load(
                work_pb2.Job.FromString(job_row.value),
                work_pb2.Chunk.FromString(chunk_row.value),
            )
        return True

    def _reload_job(self, job: str) -> None:
        row = self._table.read_one(job_key(job), urgent=True)
        if row.is_err() or row.ok_value.value is None:
            return
        self._job_versions[job] = row.ok_value.version
        if work_pb2.Job.FromString(row.ok_value.value).cancelled:
            self.scheduler.cancel(job)

    # Planning and committing.

    def _plan_and_commit(self) -> None:
        """Plans and commits; changes accumulate during a commit."""
        if not self._loaded or self._committing:
            return
        self._committing = True
        try:
            if self._pending_commit is None and not self._prepare_commit():
                return
            self._write_commit()
        finally:
            self._committing = False

    def _prepare_commit(self) -> bool:
        """Collects all changes in one commit; returns False if none."""
        if self._presence.session.valid(time.monotonic()):
            self.scheduler.plan(time.monotonic(), int(time.time() * 1000))
        commit = self.scheduler.next_commit()
        if commit is None:
            return False
        self._pending_transaction = self._transaction(commit)
        self._pending_commit = commit
        self._commit_repeated = False
        return True

    def _write_commit(self) -> None:
        """Writes the pending commit; keeps it if the table is unavailable."""
        commit, transaction = self._pending_commit, self._pending_transaction
        repeated, self._commit_repeated = self._commit_repeated, True
        outcome = self._table.commit(
            transaction, COMMIT_RETRY_S, urgent=True, repeated=repeated
        )
        if outcome.is_ok():
            self._pending_commit = None
            for chunk in commit.chunks:
                key = (chunk.job, chunk.number)
                self._chunk_versions[key] = outcome.ok_value
            self.scheduler.commit_done(commit)
            for key in commit.finished:
                # A late success may have changed the chunk once more.
                if not self.scheduler.has_chunk(key):
                    self._marker_versions.pop(key, None)
                    self._chunk_versions.pop(key, None)
            self._count_tasks(commit)
            self._sync_started(commit)
        elif isinstance(outcome.err_value, errors.TableConflictError):
            self._pending_commit = None
            self.scheduler.commit_refused(commit)
            self._after_conflict(commit)

    def _transaction(
        self, commit: task_registry.Commit
    ) -> table_lib.Transaction:
        """Returns a commit's transaction, fenced by the shard's row version."""
        shard = self.scheduler.shard
        conditions = [
            table_lib.Condition(
                self._presence.shard_key(shard), self.row_version
            )
        ]
        for job in sorted(commit.jobs_started()):
            conditions.append(
                table_lib.Condition(job_key(job), self._job_versions[job])
            )
        puts = []
        for chunk in commit.chunks:
            key = (chunk.job, chunk.number)
            conditions.append(
                table_lib.Condition(chunk_key(*key), self._chunk_versions[key])
            )
            puts.append((chunk_key(*key), chunk.SerializeToString()))
        deletes = tuple(marker_key(shard, *key) for key in commit.finished)
        return table_lib.Transaction(tuple(conditions), tuple(puts), deletes)

    def _after_conflict(self, commit: task_registry.Commit) -> None:
        """Fences the scheduler if the shard is lost; otherwise reloads jobs."""
        row = self._table.read_one(
            self._presence.shard_key(self.scheduler.shard), urgent=True
        )
        if row.is_ok() and row.ok_value.version != self.row_version:
            self.scheduler.fence()
            logs.event("shard-lost", shard=self.scheduler.shard)
            return
        for job in commit.jobs_started():
            self._reload_job(job)

    def _count_tasks(self, commit: task_registry.Commit) -> None:
        metrics.TASK_EVENTS.labels("started").inc(len(commit.starts))
        metrics.TASK_EVENTS.labels("ended").inc(len(commit.ends))

    # Workers.

    def _sync_started(self, commit: task_registry.Commit) -> None:
        """Sends new starts at once instead of at the next exchange."""
        for worker in {worker for worker, _ in commit.starts}:
            eventlet.spawn(self._sync, worker)

    def _sync_loop(self, worker: str) -> None:
        while not self._loaded and not self.lost:
            eventlet.sleep(LOAD_POLL_INTERVAL_S)
        # The first exchange only reads the worker's state; the second renews
        # the leases granted by the previous owner.
        self._sync(worker)
        while worker in self.scheduler.worker_ids() and not self.lost:
            self._sync(worker)
            eventlet.sleep(self._sync_interval_s)
        self._sync_loops.pop(worker, None)

    def _sync(self, worker: str) -> None:
        """Exchanges one message with a worker."""
        address = self._addresses.get(worker)
        if address is None or worker in self._syncs_in_flight:
            return
        self._syncs_in_flight.add(worker)
        try:
            req = self.scheduler.sync_request(worker)
            if not self._presence.session.valid(time.monotonic()):
                # Without a valid session nothing new may start.
                del req.start[:]
            answer = self._workers.sync(address, req, SYNC_TIMEOUT_S)
            label = "ok" if answer.is_ok() else "failed"
            metrics.WORKER_SYNCS.labels(label).inc()
            if answer.is_ok():
                self.scheduler.on_sync(
                    worker, req, answer.ok_value, time.monotonic()
                )
        finally:
            self._syncs_in_flight.discard(worker)

    def _loop(self, work: Callable[[], None], interval_s: float) -> None:
        while not self.lost:
            try:
                work()
            except Exception:  # noqa: BLE001 - the loop must go on
                logging.exception("shard %s loop failed", self.scheduler.shard)
            eventlet.sleep(interval_s)
