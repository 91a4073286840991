"""Load balancing over a service's instances, with outlier detection.

All policies respect the slots that this VM may use.  Instances that fail or
are much slower than the others are set aside for a period that doubles, at
most a fraction of them at once, and return after one successful probe.
"""

from __future__ import annotations

import abc
import dataclasses
import enum
import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Mapping

MAX_CONSECUTIVE_FAILURES = 3
SLOW_RATIO = 3.0
MIN_SAMPLES = 5
LATENCY_WEIGHT = 0.2
FIRST_SET_ASIDE_S = 1.0
MAX_SET_ASIDE_S = 30.0
MAX_SET_ASIDE_RATIO = 0.34
# An instance is stuck if a request takes this many median latencies.
STUCK_RATIO = 8.0


class Result(enum.Enum):
    """How a request to an instance ended."""

    OK = "ok"
    FAILED = "failed"
    REFUSED = "refused"


@dataclasses.dataclass
class Instance:
    """What this VM knows of one instance."""

    id: str
    ip: str
    port: int
    leaving: bool = False
    in_flight: int = 0
    latency_s: float = 0.0
    samples: int = 0
    failures: int = 0
    set_aside_until: float = 0.0
    set_aside_s: float = 0.0
    probing: bool = False
    starts: list[float] = dataclasses.field(default_factory=list)

    def oldest_age_s(self, now: float) -> float:
        """Returns the age of the oldest request in flight."""
        return now - min(self.starts) if self.starts else 0.0

    @property
    def set_aside(self) -> bool:
        """Whether the instance receives only probes."""
        return self.set_aside_s > 0


@dataclasses.dataclass(frozen=True)
class Slot:
    """A slot of an instance, taken for one request."""

    instance: Instance
    started_at: float
    probe: bool


class Policy(abc.ABC):
    """Chooses among instances that have a free slot."""

    @abc.abstractmethod
    def choose(
        self, ready: list[Instance], free: Mapping[str, int]
    ) -> Instance:
        """Returns one of the instances; there is at least one."""


class RoundRobin(Policy):
    """Takes instances in turn."""

    def __init__(self, rng: random.Random) -> None:
        del rng
        self._last = ""

    def choose(
        self, ready: list[Instance], free: Mapping[str, int]
    ) -> Instance:
        """Returns the next instance by id."""
        ordered = sorted(ready, key=lambda instance: instance.id)
        after = [one for one in ordered if one.id > self._last]
        chosen = (after or ordered)[0]
        self._last = chosen.id
        return chosen


class TwoChoices(Policy):
    """Takes the less loaded of two random instances."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, ready: list[Instance], free: Mapping[str, int]
    ) -> Instance:
        """Returns the better of two samples."""
        pair = self._rng.sample(ready, min(2, len(ready)))
        return min(pair, key=lambda one: (one.in_flight, one.latency_s))


class LeastInFlight(Policy):
    """Takes the instance with the most free slots, ties at random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, ready: list[Instance], free: Mapping[str, int]
    ) -> Instance:
        """Returns the instance with the most free slots."""
        most = max(free[one.id] for one in ready)
        return self._rng.choice([one for one in ready if free[one.id] == most])


POLICIES: Mapping[str, Callable[[random.Random], Policy]] = {
    "round-robin": RoundRobin,
    "two-choices": TwoChoices,
    "least-in-flight": LeastInFlight,
}


class InstancePool:
    """The instances of one service as seen from one VM."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._instances: dict[str, Instance] = {}

    def update(
        self, listed: Mapping[str, tuple[str, int]], leaving: Collection[str]
    ) -> None:
        """Updates the instances from the VM list.

        Args:
          listed: IP and port by instance id.
          leaving: Ids of instances that get no new work.
        """
        for removed in self._instances.keys() - listed.keys():
            if self._instances[removed].in_flight == 0:
                del self._instances[removed]
            else:
                self._instances[removed].leaving = True
        for instance_id, (ip, port) in listed.items():
            known = self._instances.get(instance_id)
            if known is None or (known.ip, known.port) != (ip, port):
                new = Instance(instance_id, ip, port)
                new.in_flight = known.in_flight if known else 0
                self._instances[instance_id] = new
            self._instances[instance_id].leaving = instance_id in leaving

    def instances(self) -> list[Instance]:
        """Returns all instances."""
        return list(self._instances.values())

    def in_flight(self) -> dict[str, int]:
        """Returns the requests in flight by instance."""
        return {one.id: one.in_flight for one in self._instances.values()}

    def free_slots(self, limits: Mapping[str, int]) -> int:
        """Returns the free slots over all instances that take work."""
        return sum(
            max(0, limits.get(one.id, 0) - one.in_flight)
            for one in self._instances.values()
            if not one.leaving and not one.set_aside
        )

    def acquire(
        self,
        limits: Mapping[str, int],
        now: float,
        *,
        may_probe: bool,
        exclude: Collection[str] = (),
    ) -> Slot | None:
        """Takes a slot of the best instance.

        Args:
          limits: Slots that this VM may fill, by instance.
          now: Monotonic time in seconds.
          may_probe: Whether the request may be sent to a set-aside instance
            to find out whether it has recovered.
          exclude: Instances that were tried before.

        Returns:
          A slot that must be released, or None if none is free.
        """
        free = {
            one.id: limits.get(one.id, 0) - one.in_flight
            for one in self._instances.values()
            if not one.leaving and one.id not in exclude
        }
        open_ids = [one for one, count in free.items() if count > 0]
        ready = [self._instances[one] for one in open_ids]
        if may_probe:
            probe = next((o for o in ready if _probe_due(o, now)), None)
            if probe is not None:
                probe.probing = True
                return self._take(probe, now, probe=True)
        healthy = [one for one in ready if not one.set_aside]
        median_s = self._median_latency_s()
        responsive = [
            one
            for one in healthy
            if median_s == 0 or one.oldest_age_s(now) < STUCK_RATIO * median_s
        ]
        if not healthy:
            return None
        return self._take(self._policy.choose(responsive or healthy, free), now)

    def release(
        self,
        slot: Slot,
        outcome: Result,
        now: float,
    ) -> None:
        """Frees a slot and updates the instance's statistics."""
        instance = slot.instance
        instance.in_flight -= 1
        known = self._instances.get(instance.id)
        if known is not None and known is not instance:
            known.in_flight = max(0, known.in_flight - 1)
        instance.starts.remove(slot.started_at)
        probed = slot.probe
        if probed:
            instance.probing = False
        if outcome is Result.OK:
            instance.failures = 0
            self._record_latency(instance, now - slot.started_at, probed, now)
        else:
            instance.failures += 1
            if probed or instance.failures >= MAX_CONSECUTIVE_FAILURES:
                self._set_aside(instance, now)

    def _take(
        self, instance: Instance, now: float, *, probe: bool = False
    ) -> Slot:
        instance.in_flight += 1
        instance.starts.append(now)
        return Slot(instance, now, probe)

    def _record_latency(
        self, instance: Instance, latency_s: float, probed: bool, now: float
    ) -> None:
        median_s = self._median_latency_s(exclude=instance.id)
        slow = median_s > 0 and latency_s > SLOW_RATIO * median_s
        if probed and slow:
            self._set_aside(instance, now)
            return
        if probed:
            instance.set_aside_s = 0.0
            instance.latency_s, instance.samples = latency_s, 1
            return
        instance.samples += 1
        weight = max(LATENCY_WEIGHT, 1 / instance.samples)
        instance.latency_s += weight * (latency_s - instance.latency_s)
        if (
            instance.samples >= MIN_SAMPLES
            and median_s > 0
            and instance.latency_s > SLOW_RATIO * median_s
        ):
            self._set_aside(instance, now)

    def _median_latency_s(self, exclude: str = "") -> float:
        """Returns the median latency of the healthy instances."""
        latencies = [
            one.latency_s
            for one in self._instances.values()
            if one.id != exclude
            and one.samples >= MIN_SAMPLES
            and not one.set_aside
        ]
        return statistics.median(latencies) if latencies else 0.0

    def _set_aside(self, instance: Instance, now: float) -> None:
        if not instance.set_aside:
            count = sum(one.set_aside for one in self._instances.values())
            if count + 1 > MAX_SET_ASIDE_RATIO * len(self._instances):
                return
        instance.set_aside_s = min(
            MAX_SET_ASIDE_S,
            max(FIRST_SET_ASIDE_S, 2 * instance.set_aside_s),
        )
        instance.set_aside_until = now + instance.set_aside_s


def _probe_due(instance: Instance, now: float) -> bool:
    return (
        instance.set_aside
        and not instance.probing
        and now >= instance.set_aside_until
    )
