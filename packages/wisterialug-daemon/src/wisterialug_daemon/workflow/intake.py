"""Accepts and cancels jobs, and returns their state."""

from __future__ import annotations

import dataclasses
import enum
import math
import random
from typing import TYPE_CHECKING

import eventlet
from google.protobuf import message

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    job_admission,
    layouts,
    return_times,
)
from wisterialug_daemon import logs, metrics
from wisterialug_daemon.workflow import (
    admission_control,
    clock,
    errors,
    queue_counts,
    records,
    refusal_rows,
    row_store,
    store_writer,
    submission,
)

if TYPE_CHECKING:
    import result

    from wisterialug_core.workflow import routes
    from wisterialug_daemon.workflow import election, members

STORE_TIMEOUT_S = 1.0
FIRST_RETRY_S = 0.03
MAX_RETRY_S = 0.3
# Part of the caller's timeout kept for returning the response.
RESPONSE_MARGIN_S = 0.15
# After a longer outage of the store, jobs are refused without calling it.
STORE_OUTAGE_S = 0.6
# Share of the caller's timeout spent on the store; in the rest, the caller can
# try another VM, which may reach the store.
SUBMIT_SHARE = 0.45
# The same where another VM would get no answer sooner.
LATEST_SHARE = 0.9
COUNT_RETRY_AFTER_S = 1
# An owner silent for this long may have failed; other shards get new jobs.
OWNER_SUSPECT_S = 1.2
# Jobs that are always of use have a spare time without end.
MAX_LOGGED_S = 3600.0
# Jobs whose shard is cached; callers mostly ask the VM that accepted the job.
MAX_CACHED_SHARDS = 20_000


class Outcome(enum.Enum):
    """Result of a call."""

    OK = "ok"
    NO_ROUTE = "no route"
    NO_JOB = "no job"
    INVALID = "invalid"
    # Not carried out; the caller may retry.
    REFUSED = "refused"
    # May have been carried out; a retry is safe.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Response:
    """A response to a caller.

    Attributes:
      retry_after_s: When a refused caller may retry; 0 if unknown.
    """

    outcome: Outcome
    state: int = workflow_pb2.JOB_QUEUED
    waiting: int = 0
    retry_after_s: int = 0
    detail: str = ""


@dataclasses.dataclass
class _AddedLoad:
    """Load that this VM added to a shard since the owner's renewal."""

    renewal: int
    long_running_millicores: int = 0
    core_ms: int = 0

    def add(self, job: workflow_pb2.Job) -> None:
        """Counts a job."""
        for step in job.steps:
            millicores = step.count * step.cpu_millicores
            if step.long_running:
                self.long_running_millicores += millicores
            else:
                self.core_ms += millicores * step.estimate_ms // 1000


class Intake:
    """Handles callers' requests; any VM serves any job."""

    def __init__(
        self,
        store: row_store.RowStore,
        owners: election.Election,
        vms: members.Members,
        row_bytes: int,
        accepted_within_ms: int,
    ) -> None:
        """Creates an intake; sizes and times are as in the settings."""
        self._store = store
        self._row_bytes = row_bytes
        self._counts = queue_counts.QueueCounts(
            owners, accepted_within_ms / 1000
        )
        self._owners = owners
        self._admission = admission_control.AdmissionControl(owners, vms)
        self._refusals = refusal_rows.RefusalRows(store)
        self._rng = random.Random()
        self._added: dict[str, _AddedLoad] = {}
        # Shards by job id, the oldest entry first.
        self._cached_shards: dict[str, str] = {}

    def submit(
        self, route: routes.Route, job: workflow_pb2.Job, timeout_s: float
    ) -> Response:
        """Accepts a job by writing it to the store.

        Args:
          route: Queue that the job is submitted to.
          job: The job, without the fields that are set here.
          timeout_s: How long the caller still waits.
        """
        job.route = route.name
        job.policy.CopyFrom(route.policy)
        job.accepted_ms = clock.wall_ms()
        begun_s = clock.now_s()
        attempt = submission.Submission(
            self._store,
            self._owners,
            self._admission,
            self._refusals,
            job,
            self._choose_shard,
            self._row_bytes,
        )
        outage_s = self._store.outage_s()
        if outage_s > STORE_OUTAGE_S and not self._admission.hears_store():
            # Nothing is sent, so the job certainly will not run.
            response = self._refuse_in_outage(
                job.id, "the store is away", job_admission.useful_s(job)
            )
        else:
            answered_s = begun_s - RESPONSE_MARGIN_S
            outcome = attempt.run(
                answered_s + timeout_s * SUBMIT_SHARE,
                answered_s + timeout_s * LATEST_SHARE,
            )
            response = self._response_to(job, outcome)
        if response.outcome is Outcome.OK and not response.detail:
            self._cache_shard(job.id, job.shard)
        metrics.SUBMIT_SECONDS.labels(response.outcome.value).observe(
            clock.now_s() - begun_s
        )
        self._log_submission(job, response, attempt.decision)
        return response

    def _response_to(
        self,
        job: workflow_pb2.Job,
        outcome: result.Result[str, submission.SubmissionError],
    ) -> Response:
        if outcome.is_ok():
            return Response(Outcome.OK, detail=outcome.ok_value)
        exc = outcome.err_value
        if isinstance(exc, submission.OutcomeUnknownError):
            return Response(Outcome.UNKNOWN, detail=exc.reason)
        if isinstance(exc, submission.TooLargeError):
            return Response(Outcome.INVALID, detail=str(exc))
        if isinstance(exc, submission.StoreAwayError):
            return self._refuse_in_outage(
                job.id, exc.reason, job_admission.useful_s(job)
            )
        return Response(
            Outcome.REFUSED,
            retry_after_s=exc.retry_after_s,
            detail=exc.reason,
        )

    def _refuse_in_outage(
        self, job_id: str, reason: str, useful_s: float = math.inf
    ) -> Response:
        """Refuses a call that the store has not executed.

        Args:
          job_id: The job that is submitted or asked for.
          reason: Text for the caller.
          useful_s: Time after which a return is of no use.
        """
        return Response(
            Outcome.REFUSED,
            retry_after_s=return_times.after_outage(
                job_id, self._store.outage_s(), useful_s
            ),
            detail=reason,
        )

    def _log_submission(
        self,
        job: workflow_pb2.Job,
        response: Response,
        decision: job_admission.Decision | None,
    ) -> None:
        fields = {}
        if decision is not None:
            metrics.JOB_DECISIONS.labels(decision.verdict.value).inc()
            fields = {
                "decision": decision.verdict.value,
                "wait_s": round(decision.wait_s, 2),
                "spare_s": round(min(decision.spare_s, MAX_LOGGED_S), 2),
                "report_age_s": round(self._admission.report_age_s(), 2),
                "load_age_s": round(
                    min(self._admission.load_age_s(), MAX_LOGGED_S), 2
                ),
            }
        if response.retry_after_s:
            fields["retry_after_s"] = response.retry_after_s
        logs.event(
            "job-submitted",
            job=job.id,
            route=job.route,
            shard=job.shard,
            outcome=response.outcome.value,
            steps=len(job.steps),
            detail=response.detail,
            **fields,
        )

    def _choose_shard(self, job: workflow_pb2.Job) -> str:
        layout = self._owners.layout
        if layout.shards == 1:
            return records.FIRST_SHARD
        loads = {}
        for number in range(layout.shards):
            name = records.shard_name(number)
            known = self._owners.ownership(name)
            added = self._added.get(name)
            if added is None or added.renewal != known.renewal:
                added = _AddedLoad(known.renewal)
                self._added[name] = added
            loads[number] = layouts.ShardLoad(
                known.capacity_millicores,
                known.room_millicores - added.long_running_millicores,
                known.backlog_core_ms + added.core_ms,
                bool(known.owner)
                and self._owners.ownership_age_s(name) < OWNER_SUSPECT_S,
            )
        shard = records.shard_name(layout.choose(job, loads, self._rng))
        self._added[shard].add(job)
        return shard

    def _cache_shard(self, job_id: str, shard: str) -> None:
        self._cached_shards[job_id] = shard
        if len(self._cached_shards) > MAX_CACHED_SHARDS:
            del self._cached_shards[next(iter(self._cached_shards))]

    def _likely_shard(self, job_id: str) -> str:
        """Returns a job's shard if it is cached or the only one, else ''."""
        if self._owners.layout.shards == 1:
            return records.FIRST_SHARD
        return self._cached_shards.get(job_id, "")

    def state(self, job_id: str, timeout_s: float) -> Response:
        """Returns the state of a job."""
        until_s = clock.now_s() + timeout_s - RESPONSE_MARGIN_S
        likely = self._likely_shard(job_id)
        if likely:
            response = self._recorded_state(likely, job_id, until_s)
            if response is not None:
                return response
        shard = self._read_shard(job_id, until_s)
        if isinstance(shard, Response):
            return shard
        if shard != likely:
            response = self._recorded_state(shard, job_id, until_s)
            if response is not None:
                return response
        return Response(Outcome.OK, workflow_pb2.JOB_QUEUED)

    def _read_shard(self, job_id: str, until_s: float) -> str | Response:
        """Reads the shard of a job; a response if there is none or no reply."""
        accepted = self._read(records.accepted(job_id), until_s)
        if accepted is None:
            return self._refuse_unread(job_id)
        if not accepted.rows:
            logs.event("job-unknown", job=job_id, version=accepted.version)
            return Response(Outcome.NO_JOB)
        try:
            shard = workflow_pb2.Admission.FromString(
                accepted.rows[0].value
            ).shard
        except message.DecodeError as exc:
            logs.warning("job-unreadable", job=job_id, error=str(exc))
            return self._refuse_unread(job_id)
        if not shard:
            logs.event("job-not-accepted", job=job_id)
            return Response(Outcome.NO_JOB)
        self._cache_shard(job_id, shard)
        return shard

    def _recorded_state(
        self, shard: str, job_id: str, until_s: float
    ) -> Response | None:
        """Returns the state that a shard's owner has recorded, if any."""
        progress = self._read(records.progress(shard, job_id), until_s)
        if progress is None:
            return self._refuse_unread(job_id)
        for row in progress.rows:
            try:
                record = workflow_pb2.Progress.FromString(row.value)
            except message.DecodeError as exc:
                logs.warning("progress-unreadable", job=job_id, error=str(exc))
                return self._refuse_unread(job_id)
            return Response(Outcome.OK, record.state)
        return None

    def cancel(self, job_id: str, timeout_s: float) -> Response:
        """Cancels a job; on success the cancellation is durable."""
        until_s = clock.now_s() + timeout_s - RESPONSE_MARGIN_S
        shard = self._read_shard(job_id, until_s)
        if isinstance(shard, Response):
            return shard
        ref = records.cancel(job_id, shard)
        written = store_writer.write(
            self._store,
            row_store.Transaction(
                conditions=((ref, 0),), writes=((ref, b"1"),)
            ),
            until_s,
        )
        response = self._cancel_response(job_id, written)
        logs.event("job-cancel", job=job_id, outcome=response.outcome.value)
        return response

    def _cancel_response(
        self, job_id: str, written: result.Result[int, errors.StoreError]
    ) -> Response:
        if written.is_ok():
            return Response(Outcome.OK)
        exc = written.err_value
        if isinstance(exc, row_store.ConflictError):
            return Response(Outcome.OK, detail=submission.ALREADY_RECORDED)
        if isinstance(exc, errors.StoreUnknownError):
            return Response(
                Outcome.UNKNOWN, detail="no response from the store"
            )
        return self._refuse_in_outage(job_id, str(exc))

    def waiting(self, route: routes.Route) -> Response:
        """Returns how many jobs of a queue wait for their first start."""
        counted = self._counts.waiting(route)
        if counted.is_err():
            return Response(
                Outcome.REFUSED,
                retry_after_s=COUNT_RETRY_AFTER_S,
                detail=counted.err_value,
            )
        return Response(Outcome.OK, waiting=counted.ok_value)

    def _refuse_unread(self, job_id: str) -> Response:
        logs.event("job-not-read", job=job_id)
        return self._refuse_in_outage(job_id, "the store does not answer")

    def _read(
        self, ref: row_store.RowRef, until_s: float
    ) -> row_store.Snapshot | None:
        """Reads one row; None if the store does not respond in time."""
        pause_s = FIRST_RETRY_S
        while True:
            left_s = until_s - clock.now_s()
            if left_s <= 0:
                return None
            outcome = row_store.scan_row(
                self._store, ref, min(STORE_TIMEOUT_S, left_s)
            )
            if outcome.is_ok():
                return outcome.ok_value
            eventlet.sleep(pause_s)
            pause_s = min(MAX_RETRY_S, pause_s * 2)
