"""How long a worker may go on with what it runs, told by its own clock."""

from __future__ import annotations

import dataclasses

# A worker's clock may run this much slower than ours; from the platform.
SLOWEST_CLOCK_RATE = 0.98


@dataclasses.dataclass(slots=True)
class LeaseView:
    """What an owner knows of a worker's clock and of the lease on it.

    All times but `deadline_ms` and `clock_ms` are of the owner's clock that
    goes on while the machine is suspended.

    Attributes:
      clock_ms: Worker's clock in its latest answer; -1 before the first.
      clock_sent_s: When the call with that answer was sent.
      clock_received_s: When that answer came.
      deadline_ms: Latest deadline that any call may have told the worker.
    """

    clock_ms: int = -1
    clock_sent_s: float = 0.0
    clock_received_s: float = 0.0
    deadline_ms: int = 0

    def record_clock(
        self, clock_ms: int, sent_s: float, received_s: float
    ) -> None:
        """Takes over the worker's clock from an answer."""
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_sent_s = sent_s
            self.clock_received_s = received_s

    def grant(self, now_s: float, length_ms: int) -> int | None:
        """Returns a deadline some time ahead; None before the first answer."""
        if self.clock_ms < 0:
            return None
        # The clock can't be past what passed since the call was sent.
        elapsed_ms = (now_s - self.clock_sent_s) * 1000
        deadline_ms = int(self.clock_ms + elapsed_ms + length_ms)
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        return deadline_ms

    def latest_expiry_s(self) -> float:
        """Returns when the worker's clock has passed the deadline for sure."""
        left_ms = max(0, self.deadline_ms - self.clock_ms)
        return self.clock_received_s + left_ms / 1000 / SLOWEST_CLOCK_RATE
