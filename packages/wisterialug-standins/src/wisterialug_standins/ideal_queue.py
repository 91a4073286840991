"""Simulates the latency of one ideal queue in front of all slots."""

from __future__ import annotations

import heapq
import random


def quantiles_s(
    rate: float, slots: int, mean_s: float, count: int, seed: int
) -> dict[float, float]:
    """Returns latency quantiles of a first-come first-served queue.

    Args:
      rate: Poisson arrivals per second.
      slots: Requests served concurrently.
      mean_s: Mean of the exponential service time.
      count: Requests to simulate.
      seed: Seed of the random numbers.

    Returns:
      Seconds from arrival to end by quantile (0.5, 0.99, 0.999).
    """
    rng = random.Random(seed)
    free_at = [0.0] * slots
    now = 0.0
    latencies = []
    for _ in range(count):
        now += rng.expovariate(rate)
        start = max(now, heapq.heappop(free_at))
        end = start + rng.expovariate(1 / mean_s)
        heapq.heappush(free_at, end)
        latencies.append(end - now)
    latencies.sort()
    return {q: latencies[int(q * count)] for q in (0.5, 0.99, 0.999)}
