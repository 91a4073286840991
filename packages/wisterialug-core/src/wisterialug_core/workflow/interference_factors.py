"""Estimates of how much fill images slow serving images down.

Each shard learns from its own workers. There are hundreds of pairs of images,
and a shard sees few of them often, so that the estimates of other shards are
added. Each shard publishes what it has learned itself only: what it has from
others would else come back to them as news.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.schema import workflow_pb2

if TYPE_CHECKING:
    from collections.abc import Mapping

# Mean and variance of the factor of a pair without samples.
PRIOR_FACTOR = 1.5
PRIOR_VARIANCE = 4.0
MAX_FACTOR = 20.0
# Pairs that are kept, those learned last.
MAX_PAIRS = 1000
# Added at each update, so that factors follow images that change.
DRIFT_VARIANCE = 0.002
# Least variance that another shard's estimate is given: it may be out of date.
MIN_SHARED_VARIANCE = 0.05

Pair = tuple[str, str]


class _Factor:
    """Estimate of a factor, with its variance."""

    __slots__ = ("mean", "variance")

    def __init__(self) -> None:
        self.mean = PRIOR_FACTOR
        self.variance = PRIOR_VARIANCE


class _Evidence:
    """What other shards add to the prior: precision, and mean times precision."""

    __slots__ = ("precision", "weighted")

    def __init__(self) -> None:
        self.precision = 0.0
        self.weighted = 0.0

    def add(self, mean: float, variance: float) -> None:
        precision = 1 / max(MIN_SHARED_VARIANCE, variance)
        self.precision += precision - 1 / PRIOR_VARIANCE
        self.weighted += mean * precision - PRIOR_FACTOR / PRIOR_VARIANCE


class FactorTable:
    """Factors by pair of serving image and fill image, and shortest tails."""

    def __init__(self) -> None:
        self._own: dict[Pair, _Factor] = {}
        self._floor_ms: dict[str, float] = {}
        # Latest estimates of the other shards, by shard, and their sum.
        self._others: dict[str, workflow_pb2.Effects] = {}
        self._shared: dict[Pair, _Evidence] = {}
        self._shared_floor_ms: dict[str, float] = {}

    def mean(self, serving: str, fill: str) -> float:
        """Returns the factor of a pair, by all that is known."""
        own = self._own.get((serving, fill))
        mean = own.mean if own else PRIOR_FACTOR
        shared = self._shared.get((serving, fill))
        if shared is None or shared.precision <= 0:
            return mean
        precision = 1 / (own.variance if own else PRIOR_VARIANCE)
        combined = (mean * precision + shared.weighted) / (
            precision + shared.precision
        )
        return min(MAX_FACTOR, max(0.0, combined))

    def own_mean(self, serving: str, fill: str) -> float:
        """Returns the factor of a pair, as learned by this shard."""
        own = self._own.get((serving, fill))
        return own.mean if own else PRIOR_FACTOR

    def correct(
        self,
        serving: str,
        inputs: Mapping[str, float],
        error: float,
        stddev: float,
    ) -> None:
        """Corrects own factors by a prediction error, uncertain ones most.

        Args:
          serving: Serving image.
          inputs: What the factor of each fill image was multiplied by.
          error: Difference between the measured and the predicted utilisation.
          stddev: Standard deviation of the measurement.
        """
        factors = {fill: self._latest(serving, fill) for fill in inputs}
        total = stddev * stddev + sum(
            factors[fill].variance * value * value
            for fill, value in inputs.items()
        )
        for fill, value in inputs.items():
            factor = factors[fill]
            gain = factor.variance * value / total
            moved = factor.mean + gain * error
            factor.mean = min(MAX_FACTOR, max(0.0, moved))
            factor.variance *= 1 - gain * value
            factor.variance += DRIFT_VARIANCE

    def _latest(self, serving: str, fill: str) -> _Factor:
        """Returns an own factor, which becomes the one learned last."""
        factor = self._own.pop((serving, fill), None) or _Factor()
        self._own[serving, fill] = factor
        if len(self._own) > MAX_PAIRS:
            dropped, _ = next(iter(self._own))
            del self._own[next(iter(self._own))]
            if all(image != dropped for image, _ in self._own):
                self._floor_ms.pop(dropped, None)
        return factor

    def floor_ms(self, image: str, default_ms: float) -> float:
        """Returns the shortest tail known of an image."""
        return min(
            self._floor_ms.get(image, default_ms),
            self._shared_floor_ms.get(image, default_ms),
        )

    def lower_floor(self, image: str, tail_ms: float) -> None:
        """Records a tail, if it is the shortest so far."""
        self._floor_ms[image] = min(tail_ms, self._floor_ms.get(image, tail_ms))

    def to_message(self) -> workflow_pb2.Effects:
        """Returns what this shard has learned."""
        message = workflow_pb2.Effects(floors_ms=self._floor_ms)
        for (serving, fill), factor in self._own.items():
            message.pairs.add(
                serving_image=serving,
                fill_image=fill,
                factor=factor.mean,
                variance=factor.variance,
            )
        return message

    def restore(self, message: workflow_pb2.Effects) -> None:
        """Restores what earlier owners of this shard have learned."""
        self._floor_ms.update(message.floors_ms)
        for pair in message.pairs:
            factor = _Factor()
            factor.mean = pair.factor
            factor.variance = pair.variance
            self._own[pair.serving_image, pair.fill_image] = factor

    def set_other(self, shard: str, message: workflow_pb2.Effects) -> None:
        """Replaces what another shard has learned."""
        self._others[shard] = message
        self._shared = {}
        self._shared_floor_ms = {}
        for effects in self._others.values():
            for pair in effects.pairs:
                key = pair.serving_image, pair.fill_image
                evidence = self._shared.setdefault(key, _Evidence())
                evidence.add(pair.factor, pair.variance)
            for image, floor_ms in effects.floors_ms.items():
                self._shared_floor_ms[image] = min(
                    floor_ms, self._shared_floor_ms.get(image, floor_ms)
                )
