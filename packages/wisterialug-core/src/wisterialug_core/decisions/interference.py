"""Model of how batch work slows services down, learned from samples.

Slowdown is the latency of a service relative to its baseline, the latency
without batch work.  It is modelled as 1 + load * sum(share * slope), where
share is the CPU share of a kind of batch work and the slope belongs to the
pair of service and kind.  A sample names the batch work that ran when it was
taken, so that a late sample is attributed to the placement of that time.
"""

from __future__ import annotations

import collections
import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Slope assumed for a pair without data.
PRIOR_SLOPE = 1.5
MAX_SLOPE = 20.0
LEARNING_RATE = 0.1
# Samples before the learned slope of a pair is used.
MIN_SAMPLES = 3
# Weight of a new sample in the moving average of a baseline.
SMOOTHING = 0.1
# Smallest span of loads with known baselines that a line is fitted to.
MIN_LOAD_SPAN = 0.15
_EPSILON = 1e-6


class InterferenceModel:
    """Slopes by service and kind, with a prior from similar pairs."""

    def __init__(self) -> None:
        self._slopes: dict[tuple[str, str], float] = {}
        self._samples: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        # Baseline latency by service and load in tenths.
        self._baseline_us: dict[tuple[str, int], float] = {}

    def slope(self, service: str, kind: str) -> float:
        """Returns the slope of a pair, or a prior if it is not known."""
        pair = (service, kind)
        if self._samples[pair] >= MIN_SAMPLES:
            return self._slopes[pair]
        similar = [
            slope
            for (other, other_kind), slope in self._slopes.items()
            if (other == service or other_kind == kind)
            and self._samples[other, other_kind] >= MIN_SAMPLES
        ]
        return sum(similar) / len(similar) if similar else PRIOR_SLOPE

    def predict(
        self, service: str, shares: Mapping[str, float], load: float
    ) -> float:
        """Returns the predicted slowdown.

        Args:
          service: The service.
          shares: CPU share on the worker by kind of batch work.
          load: Load of the service; 1 is its rated load.
        """
        total = sum(
            share * self.slope(service, kind) for kind, share in shares.items()
        )
        return 1.0 + load * total

    def learn(
        self,
        service: str,
        shares: Mapping[str, float],
        load: float,
        latency_us: float,
    ) -> float | None:
        """Updates the model with one sample.

        Returns:
          Measured slowdown, or None while the baseline is unknown.
        """
        bucket = (service, round(load * 10))
        if not any(shares.values()):
            mean = self._baseline_us.get(bucket, latency_us)
            self._baseline_us[bucket] = mean + SMOOTHING * (latency_us - mean)
            return 1.0
        baseline_us = self._baseline(service, load)
        if baseline_us is None:
            return None
        ratio = latency_us / baseline_us
        self._adjust(service, shares, load, ratio)
        return ratio

    def _adjust(
        self,
        service: str,
        shares: Mapping[str, float],
        load: float,
        ratio: float,
    ) -> None:
        """Updates slopes by normalised least mean squares."""
        error = ratio - self.predict(service, shares, load)
        inputs = {kind: share * load for kind, share in shares.items()}
        norm = sum(value * value for value in inputs.values()) + _EPSILON
        for kind, value in inputs.items():
            if value <= 0:
                continue
            pair = (service, kind)
            updated = self.slope(service, kind) + (
                LEARNING_RATE * error * value / norm
            )
            self._slopes[pair] = min(MAX_SLOPE, max(0.0, updated))
            self._samples[pair] += 1

    def _baseline(self, service: str, load: float) -> float | None:
        """Returns the baseline latency at a load, by linear regression."""
        known = [
            (tenth / 10, latency)
            for (name, tenth), latency in self._baseline_us.items()
            if name == service
        ]
        if not known:
            return None
        loads = [at for at, _ in known]
        if max(loads) - min(loads) < MIN_LOAD_SPAN:
            return min(known, key=lambda point: abs(point[0] - load))[1]
        line = statistics.linear_regression(*zip(*known, strict=True))
        return max(1.0, line.slope * load + line.intercept)
