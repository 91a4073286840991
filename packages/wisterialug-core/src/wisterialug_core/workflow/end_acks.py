"""Decides which ends of runs a worker may forget.

An end is acknowledged once it is durable, and once no start order for its run can
arrive any more. While answers are lost, a start is sent twice, and one copy may be
carried out seconds after the run has ended: the worker rejects it, but would run it
if it has restarted under its name meanwhile. An end that was never acknowledged
then does not count.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

    from wisterialug_core.workflow import run_proofs


@dataclasses.dataclass(slots=True)
class EndAcks:
    """The listed ends of one incarnation of a worker, by their numbers.

    Attributes:
      highest_seq: Number of the latest end that was seen.
      acked_seq: Ends up to this one are known to be acknowledged.
      uncommitted: Jobs of the ends that are not durable yet.
    """

    highest_seq: int = 0
    acked_seq: int = 0
    uncommitted: dict[int, str] = dataclasses.field(default_factory=dict)
    _in_commit: set[int] = dataclasses.field(default_factory=set)
    _orders: dict[int, run_proofs.StartOrders] = dataclasses.field(
        default_factory=dict
    )

    def add(self, seq: int, job: str, orders: run_proofs.StartOrders) -> None:
        """Adds an end that is to be recorded.

        Args:
          seq: Its number.
          job: Job of its task.
          orders: The start orders of its run.
        """
        self.uncommitted[seq] = job
        if orders.open:
            self._orders[seq] = orders

    def begin_commit(self, jobs: Container[str], dirty: Container[str]) -> None:
        """Notes that the changes of these jobs are being committed."""
        self._in_commit = {
            seq
            for seq, job in self.uncommitted.items()
            if job in jobs or job not in dirty
        }

    def finish_commit(self) -> bool:
        """Notes that the commit is done; returns whether all are durable now."""
        for seq in self._in_commit:
            self.uncommitted.pop(seq, None)
        finished = bool(self._in_commit) and not self.uncommitted
        self._in_commit = set()
        return finished

    def awaits_orders(self, now_s: float) -> bool:
        """Returns whether an end waits until no start order can arrive."""
        self._orders = {
            seq: orders
            for seq, orders in self._orders.items()
            if orders.may_arrive(now_s)
        }
        return bool(self._orders)

    def next_seq(self, now_s: float) -> int:
        """Returns the number up to which ends may be acknowledged."""
        self.awaits_orders(now_s)
        waiting = self.uncommitted.keys() | self._orders.keys()
        return min(waiting) - 1 if waiting else self.highest_seq
