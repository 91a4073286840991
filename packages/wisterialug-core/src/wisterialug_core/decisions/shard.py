"""Scheduling of one shard's workers by its owner.

The scheduler holds resources from before a start is durable until the
worker confirms the end or the attempt's lease has surely lapsed.  Changes
gather until the driver takes them as one commit; starts are sent, and
ends acknowledged, only after the commit that records them.
"""

from __future__ import annotations

import dataclasses
import heapq
from typing import TYPE_CHECKING

from wisterialug_core.decisions import (
    colocation,
    resources,
    task_order,
    worker_book,
)
from wisterialug_core.decisions import placement as placement_lib
from wisterialug_core.schema import work_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from wisterialug_core import ids

AttemptKey = worker_book.AttemptKey
AttemptStage = worker_book.AttemptStage

# A task that failed on this many workers is given up.
MAX_FAILED_WORKERS = 3
LEASE_MARGIN_RATIO = 0.1
FINAL_STATES = frozenset(
    {
        work_pb2.TASK_STATE_DONE,
        work_pb2.TASK_STATE_FAILED,
        work_pb2.TASK_STATE_CANCELLED,
        work_pb2.TASK_STATE_UNKNOWN,
    }
)
_ACTIVE_STATES = frozenset(
    {
        work_pb2.TASK_STATE_STARTING,
        work_pb2.TASK_STATE_RUNNING,
        work_pb2.TASK_STATE_STOPPING,
    }
)

ChunkKey = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class Commit:
    """Changes that must become durable together."""

    chunks: tuple[work_pb2.Chunk, ...]
    finished: tuple[ChunkKey, ...]
    starts: tuple[tuple[str, AttemptKey], ...]
    ends: tuple[tuple[str, AttemptKey], ...]

    def jobs_started(self) -> set[str]:
        """Returns the jobs that must not be cancelled for this commit."""
        return {task_job(key.task) for _, key in self.starts}


@dataclasses.dataclass
class Counters:
    """Totals since this owner took the shard."""

    starts: int = 0
    done: int = 0
    failed: int = 0
    evicted: int = 0
    lost: int = 0
    preempted_ms: int = 0


def task_id(job: str, index: int) -> ids.TaskId:
    """Returns the id of a job's task."""
    return f"{job}/{index}"


def task_job(task: str) -> str:
    """Returns the job of a task id."""
    return task.rpartition("/")[0]


class ShardScheduler:
    """The pure scheduler of one shard."""

    def __init__(
        self,
        shard: ids.ShardId,
        epoch: int,
        owner: ids.VmId,
        lease_s: float,
        placement: placement_lib.Placement,
        limits_of: Callable[[task_order.Group], task_order.Limits],
        colocation_: colocation.Colocation | None = None,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.fenced = False
        self.counters = Counters()
        self._owner = owner
        self._lease_s = lease_s
        self._placement = placement
        self._limits_of = limits_of
        self._colocation = colocation_ or colocation.Colocation()
        self._jobs: dict[str, work_pb2.Job] = {}
        self._chunks: dict[ChunkKey, work_pb2.Chunk] = {}
        self._tasks: dict[str, work_pb2.Task] = {}
        self._chunk_of: dict[str, ChunkKey] = {}
        # Waiting tasks by job, in the order they were added.
        self._pending: dict[str, dict[str, None]] = {}
        self._workers: dict[str, worker_book.WorkerBook] = {}
        self._dirty: set[ChunkKey] = set()
        self._starts: list[tuple[str, AttemptKey]] = []
        self._ends: list[tuple[str, AttemptKey]] = []
        # Ends taken from workers and not durable yet.
        self._ending: set[AttemptKey] = set()
        self._wait_reasons: dict[str, str] = {}

    # Loading and workers.

    def has_chunk(self, key: ChunkKey) -> bool:
        """Tells whether a chunk is loaded."""
        return key in self._chunks

    def load(self, job: work_pb2.Job, chunk: work_pb2.Chunk) -> None:
        """Takes a chunk that the table has for this shard."""
        key = (chunk.job, chunk.number)
        if key in self._chunks:
            return
        self._jobs[job.id] = job
        self._chunks[key] = chunk
        for task in chunk.tasks:
            name = task_id(job.id, task.index)
            self._tasks[name] = task
            self._chunk_of[name] = key
            if task.state == work_pb2.TASK_STATE_PENDING:
                self._pending.setdefault(job.id, {})[name] = None
            elif task.state in _ACTIVE_STATES:
                self._adopt_record(job, task, name)
        if all(task.state in FINAL_STATES for task in chunk.tasks):
            # Only the marker is left to be removed.
            self._dirty.add(key)
        if job.cancelled:
            self.cancel(job.id)

    def set_workers(
        self, vms: Iterable[work_pb2.Vm], drained: set[str], now: float
    ) -> None:
        """Takes the shard's workers as the VM list has them."""
        listed = {vm.id: vm for vm in vms}
        for vm in listed.values():
            book = self._workers.get(vm.id)
            if book is None:
                book = worker_book.WorkerBook(vm.id, resources.ZERO)
                book.reaction.target_ratio = self._colocation.target_ratio
                self._workers[vm.id] = book
            book.capacity = resources.of(vm.resources)
            book.listed = True
            book.unlisted_at = None
            book.leaving = (
                vm.state == work_pb2.VM_STATE_LEAVING or vm.id in drained
            )
        for book in list(self._workers.values()):
            if book.id in listed:
                continue
            book.listed = False
            if book.unlisted_at is None:
                book.unlisted_at = now
            if not book.held and not book.acknowledge:
                del self._workers[book.id]

    def worker_ids(self) -> list[str]:
        """Returns the ids of all workers known."""
        return list(self._workers)

    # Cancellation.

    def cancel(self, job_id: str) -> None:
        """Takes an accepted cancellation of a job."""
        job = self._jobs.get(job_id)
        if job is None:
            return
        job.cancelled = True
        self._undo_planned(job_id)
        for name in self._pending.pop(job_id, {}):
            self._finish(name, work_pb2.TASK_STATE_CANCELLED, "cancelled")
        for book in self._workers.values():
            for attempt in book.held.values():
                if task_job(attempt.key.task) == job_id:
                    attempt.stopping = True

    # Placement.

    def plan(self, now: float, now_unix_ms: int) -> int:
        """Places waiting tasks; returns how many were placed."""
        self._expire_leases(now)
        order = task_order.JobOrder(
            self._usage(), self._total(), self._limits_of, now_unix_ms
        )
        free = {
            book.id: book.free()
            for book in self._workers.values()
            if book.takes_starts(now)
        }
        self._wait_reasons.clear()
        heap = [
            (order.key(self._jobs[job]), job)
            for job, waiting in self._pending.items()
            if waiting
        ]
        heapq.heapify(heap)
        # Needs that no worker has room for; larger ones have none either.
        too_large: list[resources.Amount] = []
        placed = 0
        while heap:
            held_key, job_id = heapq.heappop(heap)
            job = self._jobs[job_id]
            key = order.key(job)
            if key > held_key:
                # Its group has got something since.
                heapq.heappush(heap, (key, job_id))
                continue
            need = resources.of(job.each)
            if any(other.fits(need) for other in too_large):
                count = 0
            else:
                count = self._place_one(job, order, free, now)
                if not count and not any(map(need.fits, free.values())):
                    too_large.append(need)
            placed += count
            if count and self._pending[job_id]:
                heapq.heappush(heap, (order.key(job), job_id))
            elif not count and job.urgent:
                self._preempt_for(job, now)
        return placed

    def _place_one(
        self,
        job: work_pb2.Job,
        order: task_order.JobOrder,
        free: dict[str, resources.Amount],
        now: float,
    ) -> int:
        """Places one task of a job; returns 0 if none can be placed."""
        need = resources.of(job.each)
        if not order.within_quota(job):
            quota = self._limits_of(task_order.group_of(job)).quota
            self._wait_reasons[job.id] = (
                f"quota of team {job.team} in this shard is used up: {quota}"
            )
            return 0
        for name in self._pending[job.id]:
            task = self._tasks[name]
            candidates = [
                placement_lib.Candidate(
                    worker,
                    room,
                    self._workers[worker].capacity,
                    self._colocation.slowdown(
                        self._workers[worker], self._kinds, job
                    ),
                )
                for worker, room in free.items()
                if need.fits(room)
                and worker not in task.failed_on
                and self._workers[worker].takes_starts(now)
            ]
            if not candidates:
                continue
            chosen = self._placement.choose(
                need, candidates, pressing=job.urgent
            )
            if chosen is None:
                self._wait_reasons[job.id] = (
                    "each worker with room has a service that this kind of"
                    f" work, {job.kind!r}, is predicted to slow too much"
                )
                return 0
            self._start(job, name, chosen.worker)
            free[chosen.worker] = free[chosen.worker].minus(need)
            order.placed(job)
            return 1
        return 0

    def _start(self, job: work_pb2.Job, name: str, worker: str) -> None:
        book = self._workers[worker]
        task = self._tasks[name]
        del self._pending[job.id][name]
        task.attempt += 1
        task.state = work_pb2.TASK_STATE_STARTING
        task.worker = worker
        task.worker_incarnation = book.incarnation
        task.reason = ""
        key = AttemptKey(name, task.attempt)
        book.held[key] = worker_book.HeldAttempt(
            key, resources.of(job.each), AttemptStage.PLANNED
        )
        self._starts.append((worker, key))
        self._dirty.add(self._chunk_of[name])

    def _preempt_for(self, job: work_pb2.Job, now: float) -> None:
        """Stops the batch attempts whose loss is least to make room.

        Makes room for as many workers as the job has waiting tasks, counts
        what already stops, and never stops urgent work.
        """
        need = resources.of(job.each)
        wanted = len(self._pending[job.id])
        options = []
        for book in self._workers.values():
            if not book.takes_starts(now) or not need.fits(book.capacity):
                continue
            victims = self._victims(book, need)
            if victims is None:
                continue
            loss_ms = sum(v.progress_ms for v in victims if not v.stopping)
            options.append((loss_ms, book.id, victims))
        options.sort(key=lambda option: option[:2])
        for _, _, victims in options[:wanted]:
            for victim in victims:
                if not victim.stopping:
                    victim.stopping = True
                    self.counters.preempted_ms += victim.progress_ms

    def _victims(
        self, book: worker_book.WorkerBook, need: resources.Amount
    ) -> list[worker_book.HeldAttempt] | None:
        """Returns what must stop so that a task fits, or None."""
        free = book.free()
        chosen = []
        batch = [
            attempt
            for attempt in book.held.values()
            if attempt.stage is AttemptStage.RUNNING
            and self._may_evict(attempt.key.task)
        ]
        batch.sort(key=lambda a: (not a.stopping, a.progress_ms))
        for attempt in batch:
            if need.fits(free):
                break
            chosen.append(attempt)
            free = free.plus(attempt.need)
        return chosen if need.fits(free) else None

    def _may_evict(self, name: str) -> bool:
        job = self._jobs.get(task_job(name))
        return job is not None and not job.urgent

    # Commits.

    def next_commit(self) -> Commit | None:
        """Returns all gathered changes, or None if there are none."""
        if not self._dirty:
            return None
        chunks = []
        finished = []
        for key in sorted(self._dirty):
            copy = work_pb2.Chunk()
            copy.CopyFrom(self._chunks[key])
            chunks.append(copy)
            if all(task.state in FINAL_STATES for task in copy.tasks):
                finished.append(key)
        commit = Commit(
            tuple(chunks),
            tuple(finished),
            tuple(self._starts),
            tuple(self._ends),
        )
        self._dirty.clear()
        self._starts = []
        self._ends = []
        return commit

    def commit_done(self, commit: Commit) -> None:
        """Releases starts and acknowledgements of a durable commit."""
        for worker, key in commit.starts:
            attempt = self._attempt(worker, key)
            if attempt and attempt.stage is AttemptStage.PLANNED:
                attempt.stage = AttemptStage.COMMITTED
                self.counters.starts += 1
                if attempt.stopping:
                    self._undo_start(worker, key)
        for worker, key in commit.ends:
            self._ending.discard(key)
            book = self._workers.get(worker)
            if book is not None:
                book.acknowledge.add(key)
        for key in commit.finished:
            self._forget(key)

    def commit_refused(self, commit: Commit) -> None:
        """Takes back the starts of a commit that surely has no effect."""
        for worker, key in commit.starts:
            self._undo_start(worker, key)
        self._ends.extend(commit.ends)
        for chunk in commit.chunks:
            self._dirty.add((chunk.job, chunk.number))

    def _undo_planned(self, job_id: str) -> None:
        """Takes back starts of a job that no commit has taken yet."""
        mine = [s for s in self._starts if task_job(s[1].task) == job_id]
        self._starts = [s for s in self._starts if s not in mine]
        for worker, key in mine:
            self._undo_start(worker, key)

    def _undo_start(self, worker: str, key: AttemptKey) -> None:
        book = self._workers.get(worker)
        if book is None or key not in book.held:
            return
        del book.held[key]
        self._requeue(key.task)

    # Exchange with workers.

    def sync_request(self, worker: str) -> work_pb2.WorkerSyncRequest:
        """Returns the next message to a worker."""
        book = self._workers[worker]
        req = work_pb2.WorkerSyncRequest(
            epoch=self.epoch,
            owner=self._owner,
            lease_ms=int(self._lease_s * 1000),
            renew_from_ms=book.clock_ms,
            incarnation=book.incarnation,
            speed_percent=book.reaction.percent,
        )
        for key, attempt in book.held.items():
            if attempt.stage is AttemptStage.COMMITTED and not attempt.stopping:
                if book.answered_at is None:
                    continue
                attempt.sent = True
                self._add_start(req, key)
            elif attempt.stopping and attempt.stage in (
                AttemptStage.COMMITTED,
                AttemptStage.RUNNING,
            ):
                req.stop.add(task=key.task, attempt=key.attempt)
        for key in book.acknowledge:
            req.acknowledge.add(task=key.task, attempt=key.attempt)
        return req

    def _add_start(
        self, req: work_pb2.WorkerSyncRequest, key: AttemptKey
    ) -> None:
        job = self._jobs[task_job(key.task)]
        task = self._tasks[key.task]
        req.start.add(
            task=key.task,
            attempt=key.attempt,
            resources=job.each,
            run_ms=job.run_ms,
            progress_ms=task.progress_ms,
            kind=job.kind,
        )

    def on_sync(
        self,
        worker: str,
        req: work_pb2.WorkerSyncRequest,
        resp: work_pb2.WorkerSyncResponse,
        now: float,
    ) -> None:
        """Takes a worker's answer to a message."""
        book = self._workers.get(worker)
        if book is None:
            return
        if resp.refused:
            self.fenced = True
            return
        if resp.incarnation == book.incarnation and (
            resp.clock_ms < book.clock_ms
        ):
            return
        restarted = book.incarnation not in ("", resp.incarnation)
        book.incarnation = resp.incarnation
        book.clock_ms = resp.clock_ms
        book.answered_at = now
        self._colocation.take_samples(book, resp, self._evictable_kinds(book))
        for ref in req.acknowledge:
            book.acknowledge.discard(AttemptKey(ref.task, ref.attempt))
        listed = self._take_running(book, resp)
        listed |= self._take_ended(book, resp, now)
        for key, attempt in list(book.held.items()):
            if key not in listed:
                self._not_listed(book, attempt, restarted)

    def _take_running(
        self, book: worker_book.WorkerBook, resp: work_pb2.WorkerSyncResponse
    ) -> set[AttemptKey]:
        listed = set()
        for running in resp.running:
            key = AttemptKey(running.task, running.attempt)
            listed.add(key)
            attempt = book.held.get(key)
            used = resources.of(running.used)
            if attempt is None:
                # An attempt that no record knows holds its room until it
                # has stopped.
                attempt = worker_book.HeldAttempt(
                    key, used, AttemptStage.RUNNING, sent=True, stopping=True
                )
                book.held[key] = attempt
            attempt.stage = AttemptStage.RUNNING
            attempt.need = attempt.need.at_least(used)
            attempt.progress_ms = running.progress_ms
            book.health.ran(running.progress_ms)
            task = self._tasks.get(running.task)
            if task is not None and task.attempt == running.attempt:
                task.progress_ms = running.progress_ms
                if task.state == work_pb2.TASK_STATE_STARTING:
                    task.state = work_pb2.TASK_STATE_RUNNING
        return listed

    def _take_ended(
        self,
        book: worker_book.WorkerBook,
        resp: work_pb2.WorkerSyncResponse,
        now: float,
    ) -> set[AttemptKey]:
        listed = set()
        for ended in resp.ended:
            key = AttemptKey(ended.task, ended.attempt)
            listed.add(key)
            if key in book.acknowledge or key in self._ending:
                continue
            attempt = book.held.pop(key, None)
            task = self._tasks.get(ended.task)
            if task is None or not self._counts(task, ended, attempt):
                # Its record is final or belongs to a later attempt.
                book.acknowledge.add(key)
                continue
            self._take_end(book, task, key, ended, now)
        return listed

    def _counts(
        self,
        task: work_pb2.Task,
        ended: work_pb2.EndedAttempt,
        attempt: worker_book.HeldAttempt | None,
    ) -> bool:
        """Tells whether an end still decides about its task."""
        if task.attempt != ended.attempt:
            return False
        late_success = (
            task.state == work_pb2.TASK_STATE_UNKNOWN
            and ended.end == work_pb2.ATTEMPT_END_DONE
        )
        return attempt is not None or late_success

    def _take_end(
        self,
        book: worker_book.WorkerBook,
        task: work_pb2.Task,
        key: AttemptKey,
        ended: work_pb2.EndedAttempt,
        now: float,
    ) -> None:
        self._ends.append((book.id, key))
        self._ending.add(key)
        if ended.end == work_pb2.ATTEMPT_END_DONE:
            book.health.succeeded()
            self.counters.done += 1
            self._finish(key.task, work_pb2.TASK_STATE_DONE, "")
            return
        job = self._jobs[task_job(key.task)]
        task.progress_ms = max(task.progress_ms, ended.progress_ms)
        if job.cancelled:
            self._finish(key.task, work_pb2.TASK_STATE_CANCELLED, "cancelled")
        elif ended.end == work_pb2.ATTEMPT_END_FAILED:
            self._take_failure(book, task, key.task, ended.reason, now)
        elif ended.end == work_pb2.ATTEMPT_END_LAPSED:
            self._lost(key.task, f"lease lapsed on worker {book.id}")
        else:
            self.counters.evicted += 1
            task.evictions += 1
            self._requeue(key.task)

    def _take_failure(
        self,
        book: worker_book.WorkerBook,
        task: work_pb2.Task,
        name: str,
        reason: str,
        now: float,
    ) -> None:
        self.counters.failed += 1
        task.failures += 1
        task.progress_ms = 0
        if book.id not in task.failed_on:
            task.failed_on.append(book.id)
        book.health.failed(len(task.failed_on), now)
        job = self._jobs[task_job(name)]
        everywhere = len(task.failed_on) >= min(
            MAX_FAILED_WORKERS, len(self._workers)
        )
        if not job.repeatable or everywhere:
            text = f"failed on {', '.join(task.failed_on)}; last: {reason}"
            self._finish(name, work_pb2.TASK_STATE_FAILED, text)
        else:
            self._requeue(name)

    def _not_listed(
        self,
        book: worker_book.WorkerBook,
        attempt: worker_book.HeldAttempt,
        restarted: bool,
    ) -> None:
        """Handles a held attempt that the worker says it does not have."""
        if attempt.stage is AttemptStage.PLANNED:
            return
        task = self._tasks.get(attempt.key.task)
        same_worker_life = (
            task is not None and task.worker_incarnation == book.incarnation
        )
        never_ran = (
            attempt.stage is AttemptStage.COMMITTED
            and same_worker_life
            and not restarted
        )
        if never_ran and (attempt.sent or not attempt.stopping):
            # Sent again, or stopped by name, with the next message.
            return
        del book.held[attempt.key]
        if task is None or task.attempt != attempt.key.attempt:
            return
        if never_ran or not attempt.sent:
            self._requeue(attempt.key.task)
        else:
            self._lost(attempt.key.task, f"worker {book.id} restarted")

    # Lapsed leases and lost attempts.

    def _expire_leases(self, now: float) -> None:
        """Gives up attempts on workers that can't be running them.

        A worker counts its lease from a clock reading that this owner has
        echoed, so it ends at the latest one lease after the last answer.
        After a change of owner an unanswered worker may still have a lease
        from the owner before, until the VM list no longer has it.
        """
        wait_s = self._lease_s * (1 + LEASE_MARGIN_RATIO)
        for book in self._workers.values():
            if book.answered_at is not None:
                if now - book.answered_at >= wait_s:
                    book.answered_at = None
                    self._drop_attempts(book, sent_too=True)
                continue
            gone = book.unlisted_at is not None and (
                now - book.unlisted_at >= wait_s
            )
            self._drop_attempts(book, sent_too=gone)

    def _drop_attempts(
        self, book: worker_book.WorkerBook, sent_too: bool
    ) -> None:
        """Gives up durable attempts that a silent worker holds."""
        for attempt in list(book.held.values()):
            if attempt.stage is AttemptStage.PLANNED:
                continue
            if attempt.sent and not sent_too:
                continue
            del book.held[attempt.key]
            name = attempt.key.task
            task = self._tasks.get(name)
            if task is None or task.attempt != attempt.key.attempt:
                continue
            if attempt.sent:
                self._lost(name, f"worker {book.id} does not answer")
            else:
                self._requeue(name)

    def _lost(self, name: str, reason: str) -> None:
        """Handles a task whose attempt has ended without a word."""
        self.counters.lost += 1
        job = self._jobs[task_job(name)]
        task = self._tasks[name]
        if job.cancelled:
            self._finish(name, work_pb2.TASK_STATE_CANCELLED, "cancelled")
        elif job.repeatable:
            task.evictions += 1
            self._requeue(name)
        else:
            self._finish(name, work_pb2.TASK_STATE_UNKNOWN, reason)

    # Records.

    def _adopt_record(
        self, job: work_pb2.Job, task: work_pb2.Task, name: str
    ) -> None:
        """Holds the room of an attempt that an earlier owner recorded."""
        book = self._workers.get(task.worker)
        if book is None:
            book = worker_book.WorkerBook(
                task.worker, resources.ZERO, listed=False
            )
            self._workers[task.worker] = book
        key = AttemptKey(name, task.attempt)
        book.held[key] = worker_book.HeldAttempt(
            key,
            resources.of(job.each),
            AttemptStage.COMMITTED,
            sent=True,
            stopping=job.cancelled,
            progress_ms=task.progress_ms,
        )

    def _requeue(self, name: str) -> None:
        task = self._tasks[name]
        self._dirty.add(self._chunk_of[name])
        if self._jobs[task_job(name)].cancelled:
            self._finish(name, work_pb2.TASK_STATE_CANCELLED, "cancelled")
            return
        task.state = work_pb2.TASK_STATE_PENDING
        task.worker = ""
        self._pending.setdefault(task_job(name), {})[name] = None

    def _finish(
        self, name: str, state: work_pb2.TaskState, reason: str
    ) -> None:
        task = self._tasks[name]
        task.state = state
        task.reason = reason
        self._dirty.add(self._chunk_of[name])

    def _forget(self, key: ChunkKey) -> None:
        """Drops a chunk whose tasks are all durably final."""
        chunk = self._chunks.get(key)
        if chunk is None or key in self._dirty:
            return
        del self._chunks[key]
        for task in chunk.tasks:
            name = task_id(key[0], task.index)
            self._tasks.pop(name, None)
            self._chunk_of.pop(name, None)
        if not any(other[0] == key[0] for other in self._chunks):
            self._jobs.pop(key[0], None)
            self._pending.pop(key[0], None)

    def _attempt(
        self, worker: str, key: AttemptKey
    ) -> worker_book.HeldAttempt | None:
        book = self._workers.get(worker)
        return None if book is None else book.held.get(key)

    # Services beside the tasks.

    def _kinds(self, attempt: worker_book.HeldAttempt) -> str:
        """Returns the kind of batch work that an attempt does."""
        job = self._jobs.get(task_job(attempt.key.task))
        return job.kind if job is not None else ""

    def _evictable_kinds(
        self, book: worker_book.WorkerBook
    ) -> list[tuple[worker_book.HeldAttempt, str]]:
        """Returns the attempts that may be stopped for a service's sake."""
        return [
            (attempt, self._kinds(attempt))
            for attempt in book.held.values()
            if attempt.stage is AttemptStage.RUNNING
            and not attempt.stopping
            and self._may_evict(attempt.key.task)
        ]

    # Summaries.

    def _usage(self) -> Mapping[task_order.Group, resources.Amount]:
        usage: dict[task_order.Group, resources.Amount] = {}
        for book in self._workers.values():
            for attempt in book.held.values():
                job = self._jobs.get(task_job(attempt.key.task))
                if job is not None:
                    group = task_order.group_of(job)
                    used = usage.get(group, resources.ZERO)
                    usage[group] = used.plus(attempt.need)
        return usage

    def _total(self) -> resources.Amount:
        total = resources.ZERO
        for book in self._workers.values():
            total = total.plus(book.capacity)
        return total

    def workers(self) -> list[worker_book.WorkerBook]:
        """Returns the accounts of all workers."""
        return list(self._workers.values())

    def pending_count(self) -> int:
        """Returns the number of waiting tasks."""
        return sum(len(waiting) for waiting in self._pending.values())

    def running_count(self) -> int:
        """Returns the number of attempts that hold resources."""
        return sum(len(book.held) for book in self._workers.values())

    def knows_job(self, job_id: str) -> bool:
        """Tells whether chunks of a job are loaded."""
        return job_id in self._jobs

    def explain(self, job_id: str, now: float) -> str:
        """Returns why tasks of a job wait, in words and numbers."""
        waiting = len(self._pending.get(job_id, {}))
        if not waiting:
            return "no task of this job waits in this shard"
        reason = self._wait_reasons.get(job_id) or self._why_no_worker(
            self._jobs[job_id], now
        )
        return f"{waiting} tasks wait: {reason}"

    def _why_no_worker(self, job: work_pb2.Job, now: float) -> str:
        need = resources.of(job.each)
        parts = []
        for book in sorted(self._workers.values(), key=lambda b: b.id):
            room = book.free()
            if not book.listed:
                parts.append(f"{book.id}: not in the VM list")
            elif book.leaving:
                parts.append(f"{book.id}: leaving")
            elif book.answered_at is None:
                parts.append(f"{book.id}: does not answer")
            elif not need.fits(room):
                short = need.shortage(room)
                parts.append(
                    f"{book.id}: {short} {getattr(room, short)} free,"
                    f" {getattr(need, short)} needed"
                )
            elif not book.health.room_for_starts(len(book.held), now):
                parts.append(f"{book.id}: {book.health.state_text(now)}")
            else:
                parts.append(f"{book.id}: this task failed there")
        return "; ".join(parts) or "the shard has no workers"
