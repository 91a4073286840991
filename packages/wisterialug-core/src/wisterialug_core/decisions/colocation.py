"""Control of interference between services and batch tasks on workers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wisterialug_core.decisions import interference, throttling

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from wisterialug_core.decisions import worker_record
    from wisterialug_core.schema import work_pb2

# Load that a service may gain before a placement's effect is measured.
LOAD_HEADROOM = 0.2


class Colocation:
    """Learns from workers' samples and throttles or stops batch tasks.

    One instance serves all shards of a VM, so that they share the model.
    """

    def __init__(
        self,
        target_ratio: float = math.inf,
        model: interference.InterferenceModel | None = None,
        *,
        learning: bool = True,
    ) -> None:
        self.target_ratio = target_ratio
        self.model = model or interference.InterferenceModel()
        self._learning = learning

    def predict_slowdown(
        self,
        record: worker_record.WorkerRecord,
        kind_of: Callable[[worker_record.HeldAttempt], str],
        job: work_pb2.Job,
    ) -> float:
        """Predicts the largest slowdown of any service with one more task."""
        if not record.service_loads:
            return 1.0
        shares = _cpu_shares(record, kind_of)
        added = _cpu_share(record, job.each.cpu_millicores)
        shares[job.kind] = shares.get(job.kind, 0.0) + added
        return max(
            self.model.predict(service, shares, load + LOAD_HEADROOM)
            for service, load in record.service_loads.items()
        )

    def process_samples(
        self,
        record: worker_record.WorkerRecord,
        resp: work_pb2.WorkerSyncResponse,
        evictable: Sequence[tuple[worker_record.HeldAttempt, str]],
    ) -> None:
        """Learns from the new samples of a worker and acts on them."""
        for sample in resp.services:
            if sample.taken_ms <= record.sampled_ms.get(sample.service, -1):
                continue
            record.sampled_ms[sample.service] = sample.taken_ms
            load = sample.load_percent / 100
            record.service_loads[sample.service] = load
            shares = {n.kind: n.cpu_percent / 100 for n in sample.neighbours}
            if not self._learning:
                continue
            ratio = self.model.learn(
                sample.service, shares, load, sample.latency_us
            )
            if ratio is not None:
                self._react(record, sample, ratio, resp.clock_ms, evictable)

    def _react(
        self,
        record: worker_record.WorkerRecord,
        sample: work_pb2.ServiceSample,
        ratio: float,
        now_ms: int,
        evictable: Sequence[tuple[worker_record.HeldAttempt, str]],
    ) -> None:
        step = record.throttle.on_sample(ratio, sample.taken_ms, now_ms)
        if step is not throttling.Step.MOVE or not evictable:
            return

        def impact(option: tuple[worker_record.HeldAttempt, str]) -> float:
            attempt, kind = option
            slope = self.model.slope(sample.service, kind)
            return slope * attempt.need.cpu_millicores

        victim = max(evictable, key=impact)
        victim[0].stopping = True


def _cpu_shares(
    record: worker_record.WorkerRecord,
    kind_of: Callable[[worker_record.HeldAttempt], str],
) -> dict[str, float]:
    """Returns CPU shares on a worker by kind of batch work."""
    shares: dict[str, float] = {}
    for attempt in record.held.values():
        kind = kind_of(attempt)
        used = _cpu_share(record, attempt.need.cpu_millicores)
        shares[kind] = shares.get(kind, 0.0) + used
    return shares


def _cpu_share(
    record: worker_record.WorkerRecord, cpu_millicores: int
) -> float:
    return cpu_millicores / max(1, record.capacity.cpu_millicores)
