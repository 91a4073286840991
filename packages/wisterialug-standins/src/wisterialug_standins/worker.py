"""A stand-in for a worker, whose log says what ran when."""

from __future__ import annotations

import dataclasses
import json
import secrets
import time
from typing import TYPE_CHECKING

import eventlet
from google.protobuf import json_format

from wisterialug_core.decisions import resources
from wisterialug_core.schema import work_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

TICK_S = 0.05
CHECKPOINT_MS = 200


@dataclasses.dataclass
class _Run:
    task: str
    attempt: int
    need: resources.Amount
    run_ms: int
    progress_ms: float
    resumed_ms: int
    started_at: float
    ended_at: float | None = None
    end: str = ""


class WorkerStandIn:
    """Runs tasks by letting time pass, under leases and epochs."""

    def __init__(
        self,
        capacity: resources.Amount,
        *,
        fail_everything: bool = False,
        speed: float = 1.0,
    ) -> None:
        self._capacity = capacity
        self._fail = fail_everything
        self._speed = speed
        self._incarnation = secrets.token_hex(4)
        self._epoch = 0
        self._lease_until_ms = 0
        self._running: dict[tuple[str, int], _Run] = {}
        self._ended: dict[tuple[str, int], work_pb2.EndedAttempt] = {}
        self._refused: set[tuple[str, int]] = set()
        self._log: list[_Run] = []
        self._overcommitted = 0
        eventlet.spawn(self._tick_loop)

    def __call__(
        self, environ: dict, start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Answers one call."""
        path = environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        if path == "/v1/sync":
            req = json_format.Parse(body, work_pb2.WorkerSyncRequest())
            data = json_format.MessageToJson(self._sync(req)).encode()
        elif path == "/v1/behaviour":
            settings = json.loads(body)
            self._fail = settings.get("fail", self._fail)
            self._speed = settings.get("speed", self._speed)
            data = b"{}"
        else:
            data = json.dumps(self._report()).encode()
        start_response("200 OK", [("Content-Length", str(len(data)))])
        return [data]

    def _sync(
        self, req: work_pb2.WorkerSyncRequest
    ) -> work_pb2.WorkerSyncResponse:
        now_ms = _clock_ms()
        resp = work_pb2.WorkerSyncResponse(
            incarnation=self._incarnation, clock_ms=now_ms
        )
        if req.epoch < self._epoch:
            resp.refused = True
            return resp
        self._epoch = req.epoch
        resp.epoch = req.epoch
        fresh = (
            req.incarnation == self._incarnation
            and req.renew_from_ms + req.lease_ms > now_ms
        )
        if fresh:
            self._lease_until_ms = max(
                self._lease_until_ms, req.renew_from_ms + req.lease_ms
            )
        for ref in req.acknowledge:
            self._ended.pop((ref.task, ref.attempt), None)
        for ref in req.stop:
            self._stop((ref.task, ref.attempt))
        if fresh:
            for attempt in req.start:
                self._start(attempt)
        for run in self._running.values():
            resp.running.add(
                task=run.task,
                attempt=run.attempt,
                progress_ms=_checkpointed(run),
                used=resources.message(run.need),
            )
        resp.ended.extend(self._ended.values())
        return resp

    def _start(self, attempt: work_pb2.Attempt) -> None:
        key = (attempt.task, attempt.attempt)
        if key in self._refused or key in self._running:
            return
        self._refused.add(key)
        need = resources.of(attempt.resources)
        used = need
        for run in self._running.values():
            used = used.plus(run.need)
        if not used.fits(self._capacity):
            self._overcommitted += 1
        run = _Run(
            attempt.task,
            attempt.attempt,
            need,
            attempt.run_ms,
            float(attempt.progress_ms),
            attempt.progress_ms,
            time.time(),
        )
        self._running[key] = run
        self._log.append(run)

    def _stop(self, key: tuple[str, int]) -> None:
        """Stops an attempt, also one whose start has not come yet."""
        run = self._running.get(key)
        if run is not None:
            self._end(run, work_pb2.ATTEMPT_END_EVICTED, "stopped")
        elif key not in self._refused:
            self._refused.add(key)
            self._ended[key] = work_pb2.EndedAttempt(
                task=key[0], attempt=key[1], end=work_pb2.ATTEMPT_END_EVICTED
            )

    def _end(self, run: _Run, end: work_pb2.AttemptEnd, reason: str) -> None:
        key = (run.task, run.attempt)
        del self._running[key]
        run.ended_at = time.time()
        run.end = work_pb2.AttemptEnd.Name(end)
        self._ended[key] = work_pb2.EndedAttempt(
            task=run.task,
            attempt=run.attempt,
            end=end,
            progress_ms=_checkpointed(run),
            reason=reason,
        )

    def _tick_loop(self) -> None:
        last = time.monotonic()
        while True:
            eventlet.sleep(TICK_S)
            now = time.monotonic()
            self._tick((now - last) * 1000 * self._speed)
            last = now

    def _tick(self, elapsed_ms: float) -> None:
        lapsed = _clock_ms() >= self._lease_until_ms
        for run in list(self._running.values()):
            run.progress_ms += elapsed_ms
            if lapsed:
                self._end(run, work_pb2.ATTEMPT_END_LAPSED, "lease lapsed")
            elif self._fail:
                self._end(run, work_pb2.ATTEMPT_END_FAILED, "worker fault")
            elif run.progress_ms >= run.run_ms:
                self._end(run, work_pb2.ATTEMPT_END_DONE, "")

    def _report(self) -> dict:
        return {
            "overcommitted": self._overcommitted,
            "incarnation": self._incarnation,
            "runs": [
                {
                    "task": run.task,
                    "attempt": run.attempt,
                    "resumed_ms": run.resumed_ms,
                    "started_at": run.started_at,
                    "ended_at": run.ended_at,
                    "end": run.end,
                }
                for run in self._log
            ],
        }


def _checkpointed(run: _Run) -> int:
    """Returns the progress that a resumed attempt would start from."""
    return int(run.progress_ms // CHECKPOINT_MS * CHECKPOINT_MS)


def _clock_ms() -> int:
    return int(time.monotonic() * 1000)
