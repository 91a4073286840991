"""Leases on a worker's runs, expressed in the worker's own clock."""

from __future__ import annotations

import dataclasses

# Lowest rate of a worker's clock to the owner's, as the platform specifies.
MIN_CLOCK_RATE = 0.98
# Without a successful commit for this long, leases are not extended: a new
# owner presumes unreachable workers' runs lost after this time and one lease.
MAX_UNCONFIRMED_S = 8.0


def earlier_expiry_s(acquired_s: float, length_ms: int) -> float:
    """Returns when all leases of earlier owners have surely expired.

    Args:
      acquired_s: When this owner had acquired the shard.
      length_ms: Longest lease that any owner grants.
    """
    lease_s = length_ms / 1000 / MIN_CLOCK_RATE
    return acquired_s + MAX_UNCONFIRMED_S + lease_s


def order_expiry_s(sent_s: float, length_ms: int) -> float:
    """Returns when a worker has surely passed the deadline of an order.

    Args:
      sent_s: When the order was sent.
      length_ms: Length of the lease that was granted with it.
    """
    return sent_s + length_ms / 1000 / MIN_CLOCK_RATE


@dataclasses.dataclass(slots=True)
class LeaseView:
    """An owner's view of a worker's clock and lease.

    `clock_ms` and `deadline_ms` are times of the worker's clock, the others of
    the owner's clock, which keeps running while the machine is suspended.

    Attributes:
      clock_ms: Worker's clock in its latest response; -1 before the first.
      clock_received_s: When that response was received.
      deadline_ms: Latest deadline that any call may have given the worker.
    """

    clock_ms: int = -1
    clock_received_s: float = 0.0
    deadline_ms: int = 0

    def record_clock(self, clock_ms: int, received_s: float) -> None:
        """Records the worker's clock from a response."""
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_received_s = received_s

    def grant(
        self, now_s: float, confirmed_s: float, length_ms: int
    ) -> int | None:
        """Returns a new lease deadline.

        The deadline is at most `length_ms` after the worker's time at `now_s`.
        A new owner relies on it: from the worker's clock in its first response,
        or from when it acquired the shard, it knows when all leases of earlier
        owners have expired. So one reading of the clock decides both whether
        there is a lease and when it ends; the process may be suspended between
        two readings.

        Args:
          now_s: Present time.
          confirmed_s: When the ownership of the shard was last confirmed.
          length_ms: Length of the lease.

        Returns:
          The deadline, or None before the worker's first response and if a new
          owner may not wait for the lease.
        """
        if self.clock_ms < 0 or now_s - confirmed_s >= MAX_UNCONFIRMED_S:
            return None
        # A lower bound of the clock. It was read before the response arrived,
        # seconds after the call was sent if the worker waited for an end.
        elapsed_ms = (now_s - self.clock_received_s) * 1000 * MIN_CLOCK_RATE
        deadline_ms = int(self.clock_ms + elapsed_ms + length_ms)
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        return deadline_ms

    def latest_expiry_s(self) -> float:
        """Returns when even the slowest clock has passed the deadline."""
        left_ms = max(0, self.deadline_ms - self.clock_ms)
        return self.clock_received_s + left_ms / 1000 / MIN_CLOCK_RATE
