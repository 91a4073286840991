"""Operators' requests about jobs: submit, list, cancel, explain."""

from __future__ import annotations

import collections
import secrets
import time
from typing import TYPE_CHECKING

import eventlet

from wisterialug_core import errors as core_errors
from wisterialug_core import settings
from wisterialug_core.decisions import forecast, spread
from wisterialug_core.schema import peer_pb2, work_pb2
from wisterialug_daemon import errors, shard_runner
from wisterialug_daemon import members as members_lib
from wisterialug_daemon.adapters import table as table_lib

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisterialug_daemon import config_sync, shards

MAX_TASKS = 100_000
COMMIT_RETRY_S = 4.0
PEER_TIMEOUT_S = 1.0
MAX_CANCEL_ATTEMPTS = 5


class Jobs:
    """Writes and reads jobs in the table service."""

    def __init__(
        self,
        table: table_lib.TableClient,
        config: config_sync.ConfigSync,
        members: members_lib.Members,
        shards_: shards.Shards,
    ) -> None:
        self._table = table
        self._config = config
        self._members = members
        self._shards = shards_

    def submit(self, job: work_pb2.Job) -> work_pb2.Job:
        """Accepts a job; it is durable when this returns.

        Raises:
          OperatorError: A field is not allowed, no worker is large enough,
            or the table service does not answer.
        """
        faults = self._field_errors(job)
        if faults:
            raise errors.OperatorError(
                400, "the job is not valid", [str(fault) for fault in faults]
            )
        if not job.id:
            job.id = f"{job.customer}-{job.name}-{secrets.token_hex(4)}"
        job.submitted_unix_ms = int(time.time() * 1000)
        chunks = spread.spread(job, self._shard_loads())
        if chunks.is_err():
            raise errors.OperatorError(
                422, "the job can never run", [str(chunks.err_value)]
            )
        outcome = self._table.commit(
            _job_rows(job, chunks.ok_value), COMMIT_RETRY_S, urgent=True
        )
        if outcome.is_err():
            _raise_error(outcome.err_value, f"job {job.id!r} exists already")
        self._wake({shard for shard, _ in chunks.ok_value})
        return job

    def cancel(self, job_id: str) -> work_pb2.Job:
        """Accepts a cancellation; no task of the job starts from then on."""
        for _ in range(MAX_CANCEL_ATTEMPTS):
            rows = self._table.read_one(
                shard_runner.job_key(job_id), urgent=True
            )
            if rows.is_err():
                _raise_error(rows.err_value, "")
            row = rows.ok_value
            job = _parse_job(row, job_id)
            if job.cancelled:
                return job
            job.cancelled = True
            chunks = self._chunks(job_id)
            outcome = self._table.commit(
                self._cancel_rows(row, job, chunks), COMMIT_RETRY_S, urgent=True
            )
            if outcome.is_ok():
                self._wake({chunk.shard for chunk in chunks})
                return job
            if not isinstance(outcome.err_value, errors.TableConflictError):
                _raise_error(outcome.err_value, "")
        raise errors.OperatorError(409, "conflicting job changes", [])

    def show(self, job_id: str) -> dict[str, object]:
        """Returns a job with the number of its tasks in each state."""
        row = self._table.read_one(shard_runner.job_key(job_id), urgent=True)
        if row.is_err():
            _raise_error(row.err_value, "")
        job = _parse_job(row.ok_value, job_id)
        counts: collections.Counter[str] = collections.Counter()
        reasons: set[str] = set()
        evictions = 0
        for chunk in self._chunks(job_id):
            for task in chunk.tasks:
                counts[state_name(task.state)] += 1
                evictions += task.evictions
                if task.reason:
                    reasons.add(task.reason)
        return {
            "id": job.id,
            "customer": job.customer,
            "team": job.team,
            "name": job.name,
            "cancelled": job.cancelled,
            "tasks": job.tasks,
            "states": dict(sorted(counts.items())),
            "evictions": evictions,
            "reasons": sorted(reasons),
            "deadline_unix_ms": job.deadline_unix_ms,
            **_forecast(job, counts),
        }

    def list(self) -> list[dict[str, object]]:
        """Returns all jobs, without their tasks."""
        rows = self._table.scan(shard_runner.JOB_PREFIX)
        if rows.is_err():
            _raise_error(rows.err_value, "")
        jobs = [work_pb2.Job.FromString(row.value) for row in rows.ok_value]
        return [
            {
                "id": job.id,
                "customer": job.customer,
                "team": job.team,
                "tasks": job.tasks,
                "urgent": job.urgent,
                "cancelled": job.cancelled,
            }
            for job in jobs
        ]

    def explain(self, job_id: str) -> dict[str, object]:
        """Returns why tasks of a job wait, by shard."""
        shown = self.show(job_id)
        reasons_by_shard = {
            text.shard: text.text
            for answer in self._describe(job_id)
            for text in answer.explanations
        }
        return {**shown, "waiting": reasons_by_shard}

    def workers(self) -> list[dict[str, object]]:
        """Returns all workers as the owners of their shards know them."""
        infos = [info for one in self._describe("") for info in one.workers]
        return [
            {
                "id": info.id,
                "shard": info.shard,
                "state": info.state,
                "attempts": info.attempts,
                "cpu_millicores": info.capacity.cpu_millicores,
                "cpu_reserved": info.reserved.cpu_millicores,
                "memory_mib": info.capacity.memory_mib,
                "memory_reserved": info.reserved.memory_mib,
                "accelerators": info.capacity.accelerators,
                "accelerators_reserved": info.reserved.accelerators,
            }
            for info in sorted(infos, key=lambda info: info.id)
        ]

    def _describe(self, job_id: str) -> list[peer_pb2.DescribeResponse]:
        """Returns the descriptions by this VM and all peers that answer."""
        req = peer_pb2.DescribeRequest(job=job_id)
        peers = self._members.table.peers(time.monotonic(), members_lib.PRESENT)
        calls = [
            eventlet.spawn(
                self._members.call, record, "Describe", req, PEER_TIMEOUT_S
            )
            for record in peers
        ]
        replies = [call.wait() for call in calls]
        return [self._shards.describe(req)] + [
            reply.ok_value for reply in replies if reply.is_ok()
        ]

    def _field_errors(self, job: work_pb2.Job) -> list[core_errors.FieldError]:
        faults = []
        for field in ("customer", "team", "name"):
            value = getattr(job, field)
            if not settings.NAME_PATTERN.fullmatch(value):
                faults.append(
                    core_errors.FieldError(
                        field, value, "1 to 63 letters, digits, '.', '_', '-'"
                    )
                )
        if job.id and not settings.NAME_PATTERN.fullmatch(job.id):
            faults.append(
                core_errors.FieldError(
                    "id", job.id, "1 to 63 letters, digits, '.', '_', '-'"
                )
            )
        if job.customer and not self._config.state.has_customer(job.customer):
            faults.append(
                core_errors.FieldError(
                    "customer", job.customer, "a configured customer"
                )
            )
        if not 1 <= job.tasks <= MAX_TASKS:
            faults.append(
                core_errors.FieldError(
                    "tasks", str(job.tasks), f"1 to {MAX_TASKS}"
                )
            )
        if not job.each.cpu_millicores:
            faults.append(
                core_errors.FieldError("each.cpu_millicores", "0", "at least 1")
            )
        if not job.run_ms:
            faults.append(core_errors.FieldError("run_ms", "0", "at least 1"))
        now_ms = time.time() * 1000
        if job.deadline_unix_ms and job.deadline_unix_ms < now_ms:
            faults.append(
                core_errors.FieldError(
                    "deadline_unix_ms",
                    str(job.deadline_unix_ms),
                    "a future time, in ms since 1970",
                )
            )
        return faults

    def _shard_loads(self) -> list[peer_pb2.ShardLoad]:
        """Returns the loads of all shards, from their owners if known."""
        loads = self._shards.listed_loads()
        peers = self._members.table.peers(time.monotonic(), members_lib.PRESENT)
        for record in peers:
            loads.update({load.shard: load for load in record.shards})
        loads.update({load.shard: load for load in self._shards.loads()})
        return list(loads.values())

    def _chunks(self, job_id: str) -> list[work_pb2.Chunk]:
        rows = self._table.scan(f"chunk/{job_id}/", urgent=True)
        if rows.is_err():
            _raise_error(rows.err_value, "")
        return [work_pb2.Chunk.FromString(row.value) for row in rows.ok_value]

    def _cancel_rows(
        self,
        row: table_lib.Row,
        job: work_pb2.Job,
        chunks: list[work_pb2.Chunk],
    ) -> table_lib.Transaction:
        """Cancels the job and marks its chunks for their owners.

        The marker of a chunk that finishes concurrently stays behind; its
        owner finds no unfinished task and removes it.
        """
        key = shard_runner.job_key(job.id)
        marker = work_pb2.ChunkMarker(cancelled=True).SerializeToString()
        puts = [(key, job.SerializeToString())]
        puts += [
            (
                shard_runner.marker_key(chunk.shard, chunk.job, chunk.number),
                marker,
            )
            for chunk in chunks
        ]
        return table_lib.Transaction(
            (table_lib.Condition(key, row.version),), tuple(puts)
        )

    def _wake(self, shards: set[str]) -> None:
        """Tells the owners of shards to poll the table."""
        for shard in shards:
            if not self._shards.wake(shard):
                eventlet.spawn(self._wake_peer, shard)

    def _wake_peer(self, shard: str) -> None:
        peers = self._members.table.peers(time.monotonic(), members_lib.PRESENT)
        for record in peers:
            if any(load.shard == shard for load in record.shards):
                self._members.call(
                    record,
                    "WakeShard",
                    peer_pb2.WakeShardRequest(shard=shard),
                    PEER_TIMEOUT_S,
                )
                return


def state_name(state: work_pb2.TaskState) -> str:
    """Returns a task state's name as shown to operators."""
    name = work_pb2.TaskState.Name(state)
    return name.removeprefix("TASK_STATE_").lower()


def _forecast(
    job: work_pb2.Job, counts: Mapping[str, int]
) -> dict[str, object]:
    """Returns a job's expected end and its deadline state."""
    now_ms = int(time.time() * 1000)
    waiting = counts.get("pending", 0)
    running = sum(
        counts.get(state, 0) for state in ("starting", "running", "stopping")
    )
    expected_ms = forecast.expected_end_unix_ms(
        waiting, running, job.run_ms, now_ms
    )
    state = forecast.deadline_state(
        job.deadline_unix_ms,
        expected_ms,
        now_ms,
        ended=not waiting and not running,
    )
    return {"expected_end_unix_ms": expected_ms, "deadline": state.value}


def _job_rows(
    job: work_pb2.Job, chunks: list[tuple[str, int]]
) -> table_lib.Transaction:
    key = shard_runner.job_key(job.id)
    puts = [(key, job.SerializeToString())]
    index = 0
    for number, (shard, count) in enumerate(chunks):
        tasks = [work_pb2.Task(index=index + n) for n in range(count)]
        index += count
        chunk = work_pb2.Chunk(
            job=job.id, number=number, shard=shard, tasks=tasks
        )
        chunk_key = shard_runner.chunk_key(job.id, number)
        puts.append((chunk_key, chunk.SerializeToString()))
        marker_key = shard_runner.marker_key(shard, job.id, number)
        marker = work_pb2.ChunkMarker()
        puts.append((marker_key, marker.SerializeToString()))
    return table_lib.Transaction((table_lib.Condition(key, 0),), tuple(puts))


def _parse_job(row: table_lib.Row, job_id: str) -> work_pb2.Job:
    if row.value is None:
        raise errors.OperatorError(404, f"there is no job {job_id!r}", [])
    return work_pb2.Job.FromString(row.value)


def _raise_error(exc: errors.TableError, conflict: str) -> None:
    if isinstance(exc, errors.TableConflictError):
        raise errors.OperatorError(409, conflict, [])
    effect = (
        "nothing was changed"
        if isinstance(exc, errors.TableUnreachableError)
        else "whether it took effect is unknown"
    )
    raise errors.OperatorError(
        503, f"the table service does not answer; {effect}", []
    )
