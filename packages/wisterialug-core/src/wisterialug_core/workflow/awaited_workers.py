"""Passes on from owner to owner when the leases of silent workers have expired.

A worker that no owner can reach again keeps its leases until these expire. The
owner that granted them knows when; the next one would have to assume the longest
time. So each renewal lists the workers that are waited for, with the time left. An
owner grants no lease to a worker while a renewal that may be in force lists it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import leases

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_core.workflow import model, worker_table

# Silence after which a lease is no longer extended: if only the responses are
# lost, it would never expire.
MAX_SILENCE_S = 1.2
# Others are waited for as long as if nothing were known.
MAX_LISTED = 200


class EarlierLeases:
    """When leases of earlier owners have expired.

    Args:
      renewal_seen_s: When the last renewal before this owner's claim was first
        seen here, or later.
      awaited: Workers that it lists.
    """

    def __init__(
        self,
        renewal_seen_s: float,
        awaited: Iterable[workflow_pb2.AwaitedWorker] = (),
    ) -> None:
        self._latest_s = leases.earlier_expiry_s(renewal_seen_s)
        self._by_worker = {
            row.worker: renewal_seen_s + row.left_ms / 1000 for row in awaited
        }

    def expiry_s(self, worker: model.Incarnation) -> float:
        """Returns when all of a worker's leases have surely expired."""
        known_s = self._by_worker.get(worker, self._latest_s)
        return min(known_s, self._latest_s)

    def lists(self, worker: model.Incarnation) -> bool:
        """Returns whether an earlier owner waited for a worker."""
        return worker in self._by_worker

    def left(self, now_s: float) -> list[workflow_pb2.AwaitedWorker]:
        """Returns the listed workers, for the row of this owner's claim."""
        return [
            _row(worker, expiry_s - now_s)
            for worker, expiry_s in self._by_worker.items()
        ]


def awaited(
    workers: Iterable[worker_table.Worker],
    earlier: EarlierLeases,
    now_s: float,
) -> list[workflow_pb2.AwaitedWorker]:
    """Returns the workers whose leases are waited for.

    Of the next incarnation of a worker nothing is known: calls for the earlier
    one may still arrive there.
    """
    rows = []
    for worker in workers:
        if not worker.runs or worker.gone or worker.reborn_s:
            continue
        if _is_awaited(worker, earlier, now_s):
            expiry_s = expiry_of(worker, earlier)
            rows.append(_row(worker.report.id, expiry_s - now_s))
    return rows[:MAX_LISTED]


def expiry_of(worker: worker_table.Worker, earlier: EarlierLeases) -> float:
    """Returns when all leases of a worker have surely expired."""
    if worker.fenced:
        return worker.lease.latest_expiry_s()
    return earlier.expiry_s(worker.report.id)


def _is_awaited(
    worker: worker_table.Worker, earlier: EarlierLeases, now_s: float
) -> bool:
    if worker.fenced:
        return is_silent(worker, now_s)
    # Others are about to answer, and need a lease then.
    return (
        bool(worker.silent_since_s)
        or not worker.report.address
        or earlier.lists(worker.report.id)
    )


def is_silent(worker: worker_table.Worker, now_s: float) -> bool:
    """Returns whether a worker is silent for too long to extend its leases."""
    since_s = worker.silent_since_s
    return bool(since_s) and now_s - since_s > MAX_SILENCE_S


class Withheld:
    """Workers to which no lease may be granted."""

    def __init__(self, claim: workflow_pb2.Ownership) -> None:
        self._recorded = _names(claim)
        self._sent: set[str] = set()

    def __contains__(self, worker: model.Incarnation) -> bool:
        """Returns whether a renewal that may be in force lists a worker."""
        return worker in self._recorded or worker in self._sent

    def send(self, renewal: workflow_pb2.Ownership) -> None:
        """Notes that a renewal is to be sent, at once when it is built."""
        self._sent |= _names(renewal)

    def record(self, renewal: workflow_pb2.Ownership) -> None:
        """Notes that a renewal is recorded: those before are not in force."""
        self._recorded = _names(renewal)
        self._sent = set()


def _row(worker: str, left_s: float) -> workflow_pb2.AwaitedWorker:
    left_ms = max(0, math.ceil(left_s * 1000))
    return workflow_pb2.AwaitedWorker(worker=worker, left_ms=left_ms)


def _names(ownership: workflow_pb2.Ownership) -> set[str]:
    return {row.worker for row in ownership.awaited}
