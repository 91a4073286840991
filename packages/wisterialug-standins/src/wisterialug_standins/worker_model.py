"""A worker's side of the sync protocol, without clock or network."""

from __future__ import annotations

import dataclasses

from wisterialug_core.decisions import resources
from wisterialug_core.schema import work_pb2

CHECKPOINT_MS = 200

AttemptKey = tuple[str, int]


@dataclasses.dataclass
class Run:
    """One attempt that the worker has started."""

    task: str
    attempt: int
    need: resources.Amount
    run_ms: int
    progress_ms: float
    resumed_ms: int
    started_ms: int
    ended_ms: int | None = None
    end: str = ""

    @property
    def checkpoint_ms(self) -> int:
        """Progress from which a later attempt would resume."""
        return int(self.progress_ms // CHECKPOINT_MS * CHECKPOINT_MS)


class WorkerModel:
    """Simulates tasks under leases and epochs; the caller advances time."""

    def __init__(self, incarnation: str, capacity: resources.Amount) -> None:
        self.incarnation = incarnation
        self.capacity = capacity
        self.log: list[Run] = []
        self.overcommitted = 0
        self.fail = False
        self.speed = 1.0
        self.running: dict[AttemptKey, Run] = {}
        self._epoch = 0
        self._lease_until_ms = 0
        self._ended: dict[AttemptKey, work_pb2.EndedAttempt] = {}
        self._seen: set[AttemptKey] = set()

    def sync(
        self, req: work_pb2.WorkerSyncRequest, now_ms: int
    ) -> work_pb2.WorkerSyncResponse:
        """Carries out one request and reports all attempts."""
        self.advance(0, now_ms)
        resp = work_pb2.WorkerSyncResponse(
            incarnation=self.incarnation, clock_ms=now_ms
        )
        if req.epoch < self._epoch:
            resp.refused = True
            return resp
        self._epoch = req.epoch
        resp.epoch = req.epoch
        self._carry_out(req, now_ms)
        for run in self.running.values():
            resp.running.add(
                task=run.task,
                attempt=run.attempt,
                progress_ms=run.checkpoint_ms,
                used=resources.to_message(run.need),
            )
        resp.ended.extend(self._ended.values())
        return resp

    def advance(self, elapsed_ms: float, now_ms: int) -> None:
        """Advances tasks and ends those that finished or lost their lease."""
        lapsed = now_ms >= self._lease_until_ms
        for run in list(self.running.values()):
            run.progress_ms += elapsed_ms * self.speed
            if lapsed:
                self._end(run, work_pb2.ATTEMPT_END_LAPSED, now_ms)
            elif self.fail:
                self._end(run, work_pb2.ATTEMPT_END_FAILED, now_ms)
            elif run.progress_ms >= run.run_ms:
                self._end(run, work_pb2.ATTEMPT_END_DONE, now_ms)

    def _carry_out(self, req: work_pb2.WorkerSyncRequest, now_ms: int) -> None:
        if req.incarnation != self.incarnation:
            # The request is for an earlier incarnation, whose tasks are lost.
            return
        for ref in req.acknowledge:
            self._ended.pop((ref.task, ref.attempt), None)
        for ref in req.stop:
            self._stop((ref.task, ref.attempt), now_ms)
        lease_until_ms = req.renew_from_ms + req.lease_ms
        self.speed = (req.speed_percent or 100) / 100
        if lease_until_ms > now_ms:
            self._lease_until_ms = max(self._lease_until_ms, lease_until_ms)
            for attempt in req.start:
                self._start(attempt, now_ms)

    def _start(self, attempt: work_pb2.Attempt, now_ms: int) -> None:
        key = (attempt.task, attempt.attempt)
        if key in self._seen:
            return
        self._seen.add(key)
        need = resources.from_message(attempt.resources)
        used = need
        for run in self.running.values():
            used = used.plus(run.need)
        if not used.fits(self.capacity):
            self.overcommitted += 1
        run = Run(
            attempt.task,
            attempt.attempt,
            need,
            attempt.run_ms,
            float(attempt.progress_ms),
            attempt.progress_ms,
            now_ms,
        )
        self.running[key] = run
        self.log.append(run)

    def _stop(self, key: AttemptKey, now_ms: int) -> None:
        """Stops an attempt, even one whose start has not arrived yet."""
        run = self.running.get(key)
        if run is not None:
            self._end(run, work_pb2.ATTEMPT_END_EVICTED, now_ms)
        elif key not in self._seen:
            self._seen.add(key)
            self._ended[key] = work_pb2.EndedAttempt(
                task=key[0], attempt=key[1], end=work_pb2.ATTEMPT_END_EVICTED
            )

    def _end(self, run: Run, end: work_pb2.AttemptEnd, now_ms: int) -> None:
        key = (run.task, run.attempt)
        del self.running[key]
        run.ended_ms = now_ms
        run.end = work_pb2.AttemptEnd.Name(end)
        self._ended[key] = work_pb2.EndedAttempt(
            task=run.task,
            attempt=run.attempt,
            end=end,
            progress_ms=run.checkpoint_ms,
            reason=run.end,
        )
