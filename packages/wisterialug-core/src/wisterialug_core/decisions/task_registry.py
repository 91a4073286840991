"""The tasks of a shard in memory, and the changes not yet durable."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from wisterialug_core.schema import work_pb2

if TYPE_CHECKING:
    from wisterialug_core import ids
    from wisterialug_core.decisions import worker_record

FINAL_STATES = frozenset(
    {
        work_pb2.TASK_STATE_DONE,
        work_pb2.TASK_STATE_FAILED,
        work_pb2.TASK_STATE_CANCELLED,
        work_pb2.TASK_STATE_UNKNOWN,
    }
)
ACTIVE_STATES = frozenset(
    {
        work_pb2.TASK_STATE_STARTING,
        work_pb2.TASK_STATE_RUNNING,
        work_pb2.TASK_STATE_STOPPING,
    }
)

ChunkKey = tuple[str, int]
# Workers that may restart in a row soon after a task has started there: it may
# have crashed them, and would take one after the other.
MAX_EARLY_CRASHES = 4


@dataclasses.dataclass(frozen=True)
class Commit:
    """Changes that must become durable together."""

    chunks: tuple[work_pb2.Chunk, ...]
    finished: tuple[ChunkKey, ...]
    starts: tuple[tuple[str, worker_record.AttemptKey], ...]
    ends: tuple[tuple[str, worker_record.AttemptKey], ...]

    def jobs_started(self) -> set[str]:
        """Returns the jobs whose cancellation makes this commit invalid."""
        return {task_job(key.task) for _, key in self.starts}


@dataclasses.dataclass
class Counters:
    """Totals since this owner took over the shard."""

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


class TaskRegistry:
    """Jobs, chunks and tasks that a shard's owner has loaded.

    Attributes:
      pending: Waiting tasks by job, in order of arrival.
      dirty: Chunks that changed since the last commit was taken.
      starts: Worker and attempt of starts that are in no commit yet.
      ends: Worker and attempt of ends that are in no commit yet.
      uncommitted_ends: Ends that are not durable yet.
    """

    def __init__(self) -> None:
        self.counters = Counters()
        self.jobs: dict[str, work_pb2.Job] = {}
        self.chunks: dict[ChunkKey, work_pb2.Chunk] = {}
        self.tasks: dict[str, work_pb2.Task] = {}
        self.chunk_of: dict[str, ChunkKey] = {}
        self.pending: dict[str, dict[str, None]] = {}
        self.dirty: set[ChunkKey] = set()
        self.starts: list[tuple[str, worker_record.AttemptKey]] = []
        self.ends: list[tuple[str, worker_record.AttemptKey]] = []
        self.uncommitted_ends: set[worker_record.AttemptKey] = set()

    def add(self, job: work_pb2.Job, chunk: work_pb2.Chunk) -> list[str]:
        """Adds a chunk; returns its tasks that a worker may be running."""
        key = (chunk.job, chunk.number)
        self.jobs[job.id] = job
        self.chunks[key] = chunk
        active = []
        for task in chunk.tasks:
            name = task_id(job.id, task.index)
            self.tasks[name] = task
            self.chunk_of[name] = key
            if task.state == work_pb2.TASK_STATE_PENDING:
                self.pending.setdefault(job.id, {})[name] = None
            elif task.state in ACTIVE_STATES:
                active.append(name)
        if all(task.state in FINAL_STATES for task in chunk.tasks):
            # The next commit deletes the chunk's marker.
            self.dirty.add(key)
        return active

    def requeue(self, name: str) -> None:
        """Returns a task to the queue, unless its job was cancelled."""
        task = self.tasks[name]
        self.dirty.add(self.chunk_of[name])
        if self.jobs[task_job(name)].cancelled:
            self.finish(name, work_pb2.TASK_STATE_CANCELLED, "cancelled")
            return
        task.state = work_pb2.TASK_STATE_PENDING
        task.worker = ""
        self.pending.setdefault(task_job(name), {})[name] = None

    def finish(self, name: str, state: work_pb2.TaskState, reason: str) -> None:
        """Gives a task a final state."""
        task = self.tasks[name]
        task.state = state
        task.reason = reason
        self.dirty.add(self.chunk_of[name])

    def mark_lost(
        self, name: str, reason: str, *, restarted: bool = False
    ) -> None:
        """Handles a task whose attempt ended without a report.

        Args:
          name: The task.
          reason: Why its attempt was lost.
          restarted: Its worker has restarted, maybe because of the task.
        """
        self.counters.lost += 1
        job = self.jobs[task_job(name)]
        task = self.tasks[name]
        if job.cancelled:
            self.finish(name, work_pb2.TASK_STATE_CANCELLED, "cancelled")
        elif restarted and self._crashes_workers(task):
            self.finish(name, work_pb2.TASK_STATE_FAILED, reason)
        elif job.repeatable:
            task.evictions += 1
            self.requeue(name)
        else:
            self.finish(name, work_pb2.TASK_STATE_UNKNOWN, reason)

    def _crashes_workers(self, task: work_pb2.Task) -> bool:
        """Counts a restart; returns whether the task starts no more."""
        task.early_crashes += 1
        return task.early_crashes >= MAX_EARLY_CRASHES

    def unload(self, key: ChunkKey) -> None:
        """Unloads a chunk whose tasks are all durably final."""
        chunk = self.chunks.get(key)
        if chunk is None or key in self.dirty:
            return
        del self.chunks[key]
        for task in chunk.tasks:
            name = task_id(key[0], task.index)
            self.tasks.pop(name, None)
            self.chunk_of.pop(name, None)
        if not any(other[0] == key[0] for other in self.chunks):
            self.jobs.pop(key[0], None)
            self.pending.pop(key[0], None)

    def take_commit(self) -> Commit | None:
        """Returns all uncommitted changes, or None if there are none."""
        if not self.dirty:
            return None
        chunks = []
        finished = []
        for key in sorted(self.dirty):
            copy = work_pb2.Chunk()
            copy.CopyFrom(self.chunks[key])
            chunks.append(copy)
            if all(task.state in FINAL_STATES for task in copy.tasks):
                finished.append(key)
        commit = Commit(
            tuple(chunks),
            tuple(finished),
            tuple(self.starts),
            tuple(self.ends),
        )
        self.dirty.clear()
        self.starts = []
        self.ends = []
        return commit

    def may_evict(self, name: str) -> bool:
        """Returns whether a task may be stopped in favour of others."""
        job = self.jobs.get(task_job(name))
        return job is not None and not job.urgent

    def kind_of(self, attempt: worker_record.HeldAttempt) -> str:
        """Returns the kind of batch work that an attempt does."""
        job = self.jobs.get(task_job(attempt.key.task))
        return job.kind if job is not None else ""

    def pending_count(self) -> int:
        """Returns the number of waiting tasks."""
        return sum(len(waiting) for waiting in self.pending.values())
