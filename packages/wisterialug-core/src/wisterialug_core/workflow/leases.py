"""Leases on a worker's runs, expressed in the worker's own clock."""

from __future__ import annotations

import dataclasses

# Lowest rate of a worker's clock to the owner's, as the platform specifies.
MIN_CLOCK_RATE = 0.98
# No lease ends later than this after its owner's last renewal. A new owner waits
# for that long for the runs of workers that it can't reach; an outage of the
# store that is longer ends all runs.
HORIZON_S = 7.5
# Longest time that a call for an ended incarnation may be under way.
MAX_CALL_DELAY_S = 8.0


def earlier_expiry_s(renewal_seen_s: float) -> float:
    """Returns when all leases of earlier owners have surely expired.

    Args:
      renewal_seen_s: When this process first saw the last renewal before its
        own claim.
    """
    return renewal_seen_s + HORIZON_S / MIN_CLOCK_RATE


def restarted_until_s(restarted_s: float, length_ms: int) -> float:
    """Returns when leases by calls for an earlier incarnation have expired.

    Args:
      restarted_s: When the next incarnation was first known.
      length_ms: Longest lease that a worker holds.
    """
    return restarted_s + MAX_CALL_DELAY_S + length_ms / 1000 / MIN_CLOCK_RATE


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
        self, now_s: float, renewed_s: float, length_ms: int
    ) -> int | None:
        """Returns a new lease deadline.

        The deadline is at most `length_ms` after the worker's time at `now_s`,
        and at most `HORIZON_S` after the last renewal. A new owner relies on
        both: from the worker's clock in its first response, or from the renewal,
        it knows when all leases of earlier owners have expired. So one reading
        of the clock decides both whether there is a lease and when it ends; the
        process may be suspended between two readings.

        Args:
          now_s: Present time.
          renewed_s: When the last renewal of the ownership was sent.
          length_ms: Length of the lease.

        Returns:
          The deadline, or None before the worker's first response and if a new
          owner would not wait for the lease.
        """
        left_ms = (renewed_s + HORIZON_S - now_s) * 1000
        if self.clock_ms < 0 or left_ms <= 0:
            return None
        # A lower bound of the clock. It was read before the response arrived,
        # seconds after the call was sent if the worker waited for an end.
        elapsed_ms = (now_s - self.clock_received_s) * 1000 * MIN_CLOCK_RATE
        deadline_ms = int(self.clock_ms + elapsed_ms + min(length_ms, left_ms))
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        return deadline_ms

    def latest_expiry_s(self) -> float:
        """Returns when even the slowest clock has passed the deadline."""
        left_ms = max(0, self.deadline_ms - self.clock_ms)
        return self.clock_received_s + left_ms / 1000 / MIN_CLOCK_RATE
