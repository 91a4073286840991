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
    from collections.abc import Callable, Container

    from wisterialug_core.workflow import record_pages, run_proofs


@dataclasses.dataclass(slots=True)
class EndAcks:
    """The listed ends of one incarnation of a worker, by their numbers.

    Attributes:
      highest_seq: Number of the latest end that was seen.
      acked_seq: Ends up to this one are known to be acknowledged.
      uncommitted: Where the ends that are not durable yet are recorded.
    """

    highest_seq: int = 0
    acked_seq: int = 0
    uncommitted: dict[int, record_pages.RecordPage] = dataclasses.field(
        default_factory=dict
    )
    _in_commit: set[int] = dataclasses.field(default_factory=set)
    _orders: dict[int, run_proofs.StartOrders] = dataclasses.field(
        default_factory=dict
    )

    def add(
        self,
        seq: int,
        page: record_pages.RecordPage,
        orders: run_proofs.StartOrders,
    ) -> None:
        """Adds an end that is to be recorded.

        Args:
          seq: Its number.
          page: Where its task is recorded.
          orders: The start orders of its run.
        """
        self.uncommitted[seq] = page
        if orders.open:
            self._orders[seq] = orders

    def begin_commit(
        self, is_recorded: Callable[[record_pages.RecordPage], bool]
    ) -> None:
        """Notes a commit after which the changes of some pages are durable."""
        self._in_commit = {
            seq for seq, page in self.uncommitted.items() if is_recorded(page)
        }

    def finish_commit(self, rejected: Container[str] = ()) -> bool:
        """Notes that the commit is done; returns whether all are durable now.

        Args:
          rejected: Jobs whose changes were not made.
        """
        for seq in self._in_commit:
            page = self.uncommitted.get(seq)
            if page is not None and page.job not in rejected:
                del self.uncommitted[seq]
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
