"""Estimates of how long tasks run, in proportion to what is declared.

Made for queues whose declared run times are far off: the work that waits would
otherwise be counted as many times more, or less, than it is. Declared times are
the prior; each queue, image and step has a factor of its own, so that wrong
declarations of one queue do not change what is expected of others.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisterialug_core.schema import workflow_pb2

# Variances of the logarithm: of the factor of a queue without samples, and of
# single tasks of a queue.
PRIOR_VARIANCE = 0.5
TASK_VARIANCE = 0.3
# Added at each update, so that factors follow queues that change.
DRIFT_VARIANCE = 0.002
# Least variance that another shard's estimate is given: it may be out of date.
MIN_SHARED_VARIANCE = 0.02
# Bounds the effect of one sample.
MAX_LOG_RATIO = math.log(100)
# Assumed where no time is declared.
DEFAULT_ESTIMATE_MS = 1000
# Longer declared times count as this.
MAX_ESTIMATE_MS = 600_000
# Factors that are kept, those learned last; the record is one row.
MAX_FACTORS = 256
# Images with longer names are not learned, for the same reason.
MAX_IMAGE_LENGTH = 100


class DurationKey(NamedTuple):
    """Identifies tasks that are expected to run alike."""

    route: str
    image: str
    step: int


def key_of(job: workflow_pb2.Job, step: int) -> DurationKey:
    """Returns the key of a job's step."""
    return DurationKey(job.route, job.steps[step].image, step)


def declared_ms(step: workflow_pb2.Step) -> int:
    """Returns the declared run time, within reason."""
    return min(step.estimate_ms or DEFAULT_ESTIMATE_MS, MAX_ESTIMATE_MS)


class _Factor(NamedTuple):
    """Mean and variance of the logarithm of a factor."""

    mean: float = 0.0
    variance: float = PRIOR_VARIANCE


class DurationTable:
    """Factors by queue, image and step."""

    def __init__(self) -> None:
        self._own: dict[DurationKey, _Factor] = {}
        # Latest estimates of other shards, by shard.
        self._others: dict[str, dict[DurationKey, _Factor]] = {}

    def learn(
        self, key: DurationKey, step: workflow_pb2.Step, ran_ms: float
    ) -> None:
        """Corrects a factor by the run time of one task."""
        if ran_ms <= 0 or len(key.image) > MAX_IMAGE_LENGTH:
            return
        ratio = math.log(ran_ms / declared_ms(step))
        sample = min(MAX_LOG_RATIO, max(-MAX_LOG_RATIO, ratio))
        factor = self._own.pop(key, _Factor())
        gain = factor.variance / (factor.variance + TASK_VARIANCE)
        self._own[key] = _Factor(
            factor.mean + gain * (sample - factor.mean),
            factor.variance * (1 - gain) + DRIFT_VARIANCE,
        )
        if len(self._own) > MAX_FACTORS:
            del self._own[next(iter(self._own))]

    def least_ms(self, key: DurationKey, step: workflow_pb2.Step) -> float:
        """Returns the expected run time less one standard deviation."""
        factor = self._combined(key)
        low = factor.mean - math.sqrt(factor.variance)
        return declared_ms(step) * math.exp(low)

    def expected_ms(self, key: DurationKey, step: workflow_pb2.Step) -> float:
        """Returns the expected run time."""
        return declared_ms(step) * math.exp(self._combined(key).mean)

    def _combined(self, key: DurationKey) -> _Factor:
        """Returns a factor by what all shards have learned."""
        own = self._own.get(key, _Factor())
        precision = 1 / own.variance
        weighted = own.mean * precision
        for factors in self._others.values():
            other = factors.get(key)
            if other is not None:
                # Each shard starts from the same prior, which counts once.
                added = 1 / max(MIN_SHARED_VARIANCE, other.variance)
                weighted += other.mean * added
                precision += added - 1 / PRIOR_VARIANCE
        return _Factor(weighted / precision, 1 / precision)

    def add_to(self, message: workflow_pb2.Effects) -> None:
        """Adds what this shard has learned to its record."""
        for key, factor in self._own.items():
            message.durations.add(
                route=key.route,
                image=key.image,
                step=key.step,
                log_ratio=factor.mean,
                variance=factor.variance,
            )

    def restore(self, message: workflow_pb2.Effects) -> None:
        """Restores what earlier owners of this shard have learned."""
        self._own = dict(_factors(message))

    def set_other(self, shard: str, message: workflow_pb2.Effects) -> None:
        """Replaces what another shard has learned."""
        self._others[shard] = dict(_factors(message))


def _factors(
    message: workflow_pb2.Effects,
) -> Mapping[DurationKey, _Factor]:
    return {
        DurationKey(row.route, row.image, row.step): _Factor(
            row.log_ratio, min(PRIOR_VARIANCE, row.variance)
        )
        for row in message.durations
        if math.isfinite(row.log_ratio) and row.variance > 0
    }
