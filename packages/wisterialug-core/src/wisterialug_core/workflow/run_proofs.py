"""Facts that rule out that a run is active or may still begin.

A call without a response may be carried out seconds later, after newer calls.
A task starts again only after such a fact about its earlier run.
"""

from __future__ import annotations

import dataclasses
import enum


class Proof(enum.Enum):
    """Why no order for a run can take effect any more."""

    # The worker lists the end; it rejects later starts of the run.
    REPORTED = "reported"
    # No start was sent, or the worker has rejected each one.
    NO_OPEN_START = "not started"
    # The worker rejects starts of a run that it was told to stop.
    STOP_ACKNOWLEDGED = "stopped before it began"
    # The worker rejects a start after its deadline.
    DEADLINE_PASSED = "start deadline passed"
    # The worker knew the run, and a later report does not list it.
    NO_LONGER_LISTED = "not in the report"
    # The worker has answered under a higher epoch without listing the run, and
    # this owner's orders have had their time to arrive.
    EARLIER_EPOCH = "not in the report of a new owner"
    # Another incarnation answers; orders name the one that they are for.
    RESTARTED = "worker has restarted"
    # The worker's clock has passed the deadlines of all orders and leases.
    LEASE_EXPIRED = "lease expired"


@dataclasses.dataclass(slots=True)
class StartOrders:
    """What is known of the start orders of one run.

    Times are of the owner's monotonic clock; 0 stands for never.

    Attributes:
      open: Orders that were sent and have no response; each may still be
        carried out.
      deadline_ms: Latest deadline of the sent orders, by the worker's clock; 0
        if none was sent.
      confirmed_s: When a response first showed that the worker knows the run.
      stop_acked_s: When the worker acknowledged a stop.
      earlier_epoch: An earlier owner sent the orders, or they were sent to an
        earlier incarnation of the worker.
      answered: Every order was answered by the incarnation that it was sent to,
        which has ended: no order arrives at the next one.
      absent: This incarnation of the worker has answered under a higher epoch
        without listing the run, and will not begin it.
      expires_s: When the worker's clock, at its slowest, has passed the deadlines
        of the sent orders.
    """

    open: int = 0
    deadline_ms: int = 0
    confirmed_s: float = 0.0
    stop_acked_s: float = 0.0
    earlier_epoch: bool = False
    answered: bool = False
    absent: bool = False
    expires_s: float = 0.0

    @property
    def unsent(self) -> bool:
        """Returns whether no order was sent for the run."""
        return not (self.deadline_ms or self.earlier_epoch)

    @property
    def may_have_begun(self) -> bool:
        """Returns whether the worker may have begun the run."""
        return not (self.unsent or self.absent)

    @property
    def awaits_absence(self) -> bool:
        """Returns whether the next report shows if a stopped run exists."""
        return self.stop_acked_s > 0 and not self.confirmed_s

    def send(self, deadline_ms: int, expires_s: float = 0.0) -> None:
        """Records an order that is about to be sent."""
        self.open += 1
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        self.expires_s = max(self.expires_s, expires_s)

    def for_next_incarnation(self) -> StartOrders:
        """Returns what holds for a worker that has restarted under its name."""
        return StartOrders(
            open=self.open,
            earlier_epoch=True,
            answered=self.answered
            or bool(self.deadline_ms and self.confirmed_s and not self.open),
            expires_s=self.expires_s,
        )

    def may_arrive(self, now_s: float) -> bool:
        """Returns whether an order without an answer may still be accepted."""
        return self.open > 0 and now_s < self.expires_s

    def confirm(self, received_s: float) -> None:
        """Records a response which shows that the worker knows the run."""
        self.confirmed_s = self.confirmed_s or received_s

    def note_absence(self, sent_s: float, clock_ms: int) -> Proof | None:
        """Notes that a report does not list the run; returns what that proves.

        Args:
          sent_s: When the report was asked for.
          clock_ms: The worker's clock in its response before that.

        Returns:
          The proof, or None if the run may still begin.
        """
        if 0 < self.confirmed_s < sent_s:
            return Proof.NO_LONGER_LISTED
        if self.earlier_epoch:
            self.absent = True
            # The worker may restart once more before the order arrives.
            return None if self.may_arrive(sent_s) else Proof.EARLIER_EPOCH
        if 0 < self.stop_acked_s < sent_s:
            return Proof.STOP_ACKNOWLEDGED
        if 0 < self.deadline_ms < clock_ms:
            return Proof.DEADLINE_PASSED
        return None
