"""A worker model with a service that colocated batch tasks slow down."""

from __future__ import annotations

import dataclasses
import math
import random
from typing import TYPE_CHECKING

from wisterialug_core.schema import work_pb2
from wisterialug_standins import worker_model

if TYPE_CHECKING:
    from wisterialug_core.decisions import resources

BASE_LATENCY_US = 20_000.0
SAMPLE_INTERVAL_MS = 5_000
MIN_LAG_MS = 5_000
MAX_LAG_MS = 15_000
NOISE = 0.04


@dataclasses.dataclass(frozen=True)
class GroundTruth:
    """Properties of the workload that are hidden from the scheduler."""

    # Slowdown per processor share, at full load, by service and kind of job.
    slopes: dict[tuple[str, str], float]
    # Period of the load.
    day_s: float
    # Actual run time and processor use relative to declared, by job.
    run_factors: dict[str, float]
    use_factors: dict[str, float]

    def load(self, now_s: float) -> float:
        """Returns the load of services at a time."""
        return 0.65 - 0.35 * math.cos(2 * math.pi * now_s / self.day_s)


class ColocatedWorker(worker_model.WorkerModel):
    """Simulates tasks and reports delayed samples of its service."""

    def __init__(
        self,
        name: str,
        capacity: resources.Amount,
        service: str,
        truth: GroundTruth,
    ) -> None:
        super().__init__(name, capacity)
        self._service = service
        self._truth = truth
        self._rng = random.Random(name)
        self._samples: list[tuple[int, work_pb2.ServiceSample]] = []
        self._reported: list[work_pb2.ServiceSample] = []
        self._next_sample_ms = 0
        # Relative latency (see `ratio`) and load for each second.
        self.history: list[tuple[float, float]] = []
        self.work_done = 0.0

    def shares(self) -> dict[str, float]:
        """Returns the processor shares in use, by kind."""
        shares: dict[str, float] = {}
        for run in self.running.values():
            job = run.task.rpartition("/")[0]
            use = run.need.cpu_millicores / self.capacity.cpu_millicores
            kind = job.partition(".")[0]
            used = use * self._truth.use_factors[job] * self.speed
            shares[kind] = shares.get(kind, 0.0) + used
        return shares

    def ratio(self, load: float) -> float:
        """Returns the service's latency relative to running alone."""
        return 1.0 + load * sum(
            share * self._truth.slopes[self._service, kind]
            for kind, share in self.shares().items()
        )

    def advance_second(self, now_s: float) -> None:
        """Advances the simulation by one second."""
        now_ms = int(now_s * 1000)
        load = self._truth.load(now_s)
        self.history.append((self.ratio(load), load))
        before = {key: run.progress_ms for key, run in self.running.items()}
        needs = {key: run.need for key, run in self.running.items()}
        self.advance(1000.0, now_ms)
        for key, progress in before.items():
            active = self.running.get(key)
            gained_ms = (
                active.progress_ms - progress if active else 1000.0 * self.speed
            )
            self.work_done += gained_ms * needs[key].cpu_millicores / 1e6
        if now_ms >= self._next_sample_ms:
            self._next_sample_ms = now_ms + SAMPLE_INTERVAL_MS
            lag = self._rng.randint(MIN_LAG_MS, MAX_LAG_MS)
            self._samples.append((now_ms + lag, self._sample(load, now_ms)))

    def sync(
        self, req: work_pb2.WorkerSyncRequest, now_ms: int
    ) -> work_pb2.WorkerSyncResponse:
        """Scales run times and reports the newest sample that is due."""
        for attempt in req.start:
            job = attempt.task.rpartition("/")[0]
            attempt.run_ms = int(attempt.run_ms * self._truth.run_factors[job])
        resp = super().sync(req, now_ms)
        due = [s for s in self._samples if s[0] <= now_ms]
        if due:
            self._samples = [s for s in self._samples if s[0] > now_ms]
            self._reported = [max(due, key=lambda s: s[1].taken_ms)[1]]
        resp.services.extend(self._reported)
        return resp

    def _sample(self, load: float, now_ms: int) -> work_pb2.ServiceSample:
        noise = self._rng.gauss(1.0, NOISE)
        latency = BASE_LATENCY_US * (1 + 0.3 * load) * self.ratio(load) * noise
        return work_pb2.ServiceSample(
            service=self._service,
            latency_us=int(latency),
            load_percent=int(load * 100),
            taken_ms=now_ms,
            neighbours=[
                work_pb2.Neighbour(kind=kind, cpu_percent=int(share * 100))
                for kind, share in self.shares().items()
            ],
        )
