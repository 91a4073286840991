"""Admission control: which requests run, wait or are refused.

Requests of a service wait in one queue, earliest deadline first.  One that
cannot be answered before its deadline is refused on arrival, or dropped
from the queue once too little time is left.  When the VM has as many waiting
requests as it may, one of the customer furthest above its weight is refused.
"""

from __future__ import annotations

import dataclasses
import enum
import heapq
import itertools
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

_T = TypeVar("_T")

SERVICE_TIME_WEIGHT = 0.05
# Mean deviations above the mean service time allowed for a request.
SERVICE_TIME_DEVIATIONS = 4.0
DEFAULT_WEIGHT = 100


class Refusal(enum.Enum):
    """Why a request was refused without being run."""

    RATE = "rate-limit"
    IN_FLIGHT = "in-flight-limit"
    QUEUE_FULL = "queue-full"
    TOO_LATE = "deadline-too-near"
    EXPIRED = "deadline-passed"
    DISPLACED = "displaced-by-weight"


@dataclasses.dataclass
class TokenBucket:
    """Limits a rate, with a burst of one second's worth."""

    rate_per_s: float
    tokens: float = 0.0
    filled_at: float | None = None

    def refill(self, now: float) -> float:
        """Adds tokens for the time since the last call; returns the balance."""
        burst = max(1.0, self.rate_per_s)
        if self.filled_at is None:
            self.tokens = burst
        else:
            earned = (now - self.filled_at) * self.rate_per_s
            self.tokens = min(burst, self.tokens + earned)
        self.filled_at = now
        return self.tokens

    def take(self, now: float) -> bool:
        """Takes one token if there is one."""
        if self.refill(now) < 1:
            return False
        self.tokens -= 1
        return True

    def wait_s(self, now: float) -> float:
        """Returns seconds until the next token that is not taken is due."""
        return max(0.0, (1 - self.refill(now)) / self.rate_per_s)

    def reserve(self, now: float) -> float:
        """Takes the next token, due or not; returns seconds until it is due."""
        self.tokens = self.refill(now) - 1
        return max(0.0, -self.tokens / self.rate_per_s)


@dataclasses.dataclass(order=True)
class Entry(Generic[_T]):
    """One request in a queue."""

    deadline: float
    order: int
    customer: str = dataclasses.field(compare=False)
    item: _T = dataclasses.field(compare=False)
    stale: bool = dataclasses.field(default=False, compare=False)


class ServiceQueue(Generic[_T]):
    """The requests that wait for a slot of one service."""

    def __init__(self) -> None:
        self._heap: list[Entry[_T]] = []
        self._order = itertools.count()
        self._size = 0
        self.service_time_s = 0.0
        self._deviation_s = 0.0

    @property
    def time_needed_s(self) -> float:
        """Time in which nearly all requests are answered once sent."""
        return self.service_time_s + SERVICE_TIME_DEVIATIONS * self._deviation_s

    def __len__(self) -> int:
        return self._size

    def expected_wait_s(self, slots: int) -> float:
        """Returns how long a new request is expected to wait."""
        if slots <= 0:
            return 0.0 if self.service_time_s == 0 else float("inf")
        return self._size * self.service_time_s / slots

    def meets(self, deadline: float, slots: int, now: float) -> bool:
        """Returns whether a new request can be answered by its deadline."""
        wait_s = self.expected_wait_s(slots)
        return now + wait_s + self.time_needed_s < deadline

    def push(self, customer: str, deadline: float, item: _T) -> Entry[_T]:
        """Adds a request."""
        entry = Entry(deadline, next(self._order), customer, item)
        heapq.heappush(self._heap, entry)
        self._size += 1
        return entry

    def remove(self, entry: Entry[_T]) -> bool:
        """Removes a request; returns False if it was removed already."""
        if entry.stale:
            return False
        entry.stale = True
        self._size -= 1
        return True

    def pop(self, now: float) -> tuple[Entry[_T] | None, list[Entry[_T]]]:
        """Pops the first request in time, and the expired ones before it."""
        expired = []
        while self._heap:
            entry = heapq.heappop(self._heap)
            if entry.stale:
                continue
            entry.stale = True
            self._size -= 1
            if entry.deadline > now + self.time_needed_s:
                return entry, expired
            expired.append(entry)
        return None, expired

    def least_urgent_of(self, customer: str) -> Entry[_T] | None:
        """Returns the least urgent request of a customer."""
        own = [e for e in self._heap if e.customer == customer and not e.stale]
        return max(own, default=None)

    def record_service_time(self, seconds: float) -> None:
        """Adds the service time of a request to the moving averages."""
        weight = SERVICE_TIME_WEIGHT if self.service_time_s else 1.0
        error_s = seconds - self.service_time_s
        self.service_time_s += weight * error_s
        if weight < 1.0:
            self._deviation_s += weight * (abs(error_s) - self._deviation_s)


class CustomerShares:
    """Counts of waiting requests by customer, compared by weight."""

    def __init__(self, weight_of: Callable[[str], int]) -> None:
        self._weight_of = weight_of
        self.waiting: dict[str, int] = {}

    def add(self, customer: str, count: int) -> None:
        """Changes the number of waiting requests of a customer."""
        total = self.waiting.get(customer, 0) + count
        if total:
            self.waiting[customer] = total
        else:
            self.waiting.pop(customer, None)

    def customer_to_displace(self, customer: str) -> str:
        """Returns whose request is refused when no more may wait.

        That is the customer with the most waiting requests for its weight,
        including the new request of the given customer.
        """
        counts = dict(self.waiting)
        counts[customer] = counts.get(customer, 0) + 1
        return max(
            counts,
            key=lambda name: (counts[name] / self._weight_of(name), name),
        )
