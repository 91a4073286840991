"""Which requests wait, run or are refused at once.

Requests of a service wait in one queue, earliest deadline first.  One that
can't be answered before its deadline is refused when it comes, and is
dropped from the queue when its time is up.  When the queue of the VM is
full, the customer furthest above its weight gives way.
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
# Mean deviations above the mean service time that a request gets.
DEVIATIONS = 4.0
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
        """Returns the tokens at a time."""
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


@dataclasses.dataclass(order=True)
class Waiting(Generic[_T]):
    """One request in a queue."""

    deadline: float
    order: int
    customer: str = dataclasses.field(compare=False)
    item: _T = dataclasses.field(compare=False)
    gone: bool = dataclasses.field(default=False, compare=False)


class ServiceQueue(Generic[_T]):
    """The requests that wait for a slot of one service."""

    def __init__(self) -> None:
        self._heap: list[Waiting[_T]] = []
        self._order = itertools.count()
        self._size = 0
        self.service_time_s = 0.0
        self._deviation_s = 0.0

    @property
    def time_needed_s(self) -> float:
        """Time in which nearly all requests are answered once sent."""
        return self.service_time_s + DEVIATIONS * self._deviation_s

    def __len__(self) -> int:
        return self._size

    def expected_wait_s(self, slots: int) -> float:
        """Returns how long a new request is expected to wait."""
        if slots <= 0:
            return 0.0 if self.service_time_s == 0 else float("inf")
        return self._size * self.service_time_s / slots

    def meets(self, deadline: float, slots: int, now: float) -> bool:
        """Tells whether a new request can be answered by its deadline."""
        wait_s = self.expected_wait_s(slots)
        return now + wait_s + self.time_needed_s < deadline

    def push(self, customer: str, deadline: float, item: _T) -> Waiting[_T]:
        """Adds a request."""
        waiting = Waiting(deadline, next(self._order), customer, item)
        heapq.heappush(self._heap, waiting)
        self._size += 1
        return waiting

    def remove(self, waiting: Waiting[_T]) -> bool:
        """Takes a request out; returns False if it was out already."""
        if waiting.gone:
            return False
        waiting.gone = True
        self._size -= 1
        return True

    def pop(self, now: float) -> tuple[Waiting[_T] | None, list[Waiting[_T]]]:
        """Returns the most urgent request and those whose time is up."""
        expired = []
        while self._heap:
            waiting = heapq.heappop(self._heap)
            if waiting.gone:
                continue
            waiting.gone = True
            self._size -= 1
            if waiting.deadline > now + self.time_needed_s:
                return waiting, expired
            expired.append(waiting)
        return None, expired

    def least_urgent_of(self, customer: str) -> Waiting[_T] | None:
        """Returns the least urgent request of a customer."""
        mine = [w for w in self._heap if w.customer == customer and not w.gone]
        return max(mine, default=None)

    def record_service_time(self, seconds: float) -> None:
        """Takes the time that an instance took for a request."""
        weight = SERVICE_TIME_WEIGHT if self.service_time_s else 1.0
        error_s = seconds - self.service_time_s
        self.service_time_s += weight * error_s
        if weight < 1.0:
            self._deviation_s += weight * (abs(error_s) - self._deviation_s)


class CustomerShares:
    """Counts of waiting requests by customer, against their weights."""

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

    def customer_to_displace(self, newcomer: str) -> str:
        """Returns the customer that gives way when the queue is full.

        That is the one with the most waiting requests for its weight, the
        newcomer's request counted in.
        """
        counts = dict(self.waiting)
        counts[newcomer] = counts.get(newcomer, 0) + 1
        return max(
            counts,
            key=lambda name: (counts[name] / self._weight_of(name), name),
        )
