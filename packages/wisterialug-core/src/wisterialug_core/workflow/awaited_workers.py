"""Passes on from owner to owner when the leases of silent workers have expired.

A worker that no owner can reach again keeps its leases until these expire. The
owner that granted them knows when; the next one would have to assume the longest
time. So each renewal lists the workers that are waited for, with the time left. An
owner grants no lease to a worker while a renewal that may be in force lists it.
Workers that restarted under their names are listed apart: they are asked as usual.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import leases, model

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_core.workflow import worker_table

# Silence after which a lease is no longer extended: if only the responses are
# lost, it would never expire.
MAX_SILENCE_S = 1.2
# A silent worker is listed when no more than this is left of its leases: one that
# answers again gets none until the next renewal.
LISTED_LEFT_S = 2.0
# Others are waited for as long as if nothing were known.
MAX_LISTED = 200


class EarlierLeases:
    """When leases of earlier owners have expired.

    Args:
      renewal_seen_s: When the last renewal before this owner's claim was first
        seen here, or later.
      renewal: That renewal.
    """

    def __init__(
        self, renewal_seen_s: float, renewal: workflow_pb2.Ownership
    ) -> None:
        self._latest_s = leases.earlier_expiry_s(renewal_seen_s)
        self._awaited = _expiries(renewal.awaited, renewal_seen_s)
        self._restarted = _expiries(renewal.restarted, renewal_seen_s)

    def expiry_s(self, worker: model.Incarnation) -> float:
        """Returns when all of a worker's leases have surely expired."""
        known_s = self._awaited.get(worker, self._latest_s)
        return max(
            min(known_s, self._latest_s), self._restarted.get(worker, 0.0)
        )

    def restarted_until_s(self, worker: model.Incarnation) -> float:
        """Returns until when a worker may have the longest lease; 0 if not."""
        return self._restarted.get(worker, 0.0)

    def lists(self, worker: model.Incarnation) -> bool:
        """Returns whether an earlier owner waited for a worker."""
        return worker in self._awaited

    def add_to(self, claim: workflow_pb2.Ownership, now_s: float) -> None:
        """Adds what is left of these leases to the row of a claim."""
        claim.awaited.extend(_rows(self._awaited, now_s))
        claim.restarted.extend(_rows(self._restarted, now_s))


def add_to(
    renewal: workflow_pb2.Ownership,
    workers: Iterable[worker_table.Worker],
    earlier: EarlierLeases,
    now_s: float,
) -> None:
    """Adds the workers whose leases a next owner would not know."""
    awaited, restarted = {}, {}
    for worker in workers:
        worker_id = worker.report.id
        if worker.restarted_until_s > now_s:
            restarted[worker_id] = worker.restarted_until_s
        elif worker.runs and _is_awaited(worker, earlier, now_s):
            awaited[worker_id] = expiry_of(worker, earlier)
    renewal.awaited.extend(_rows(awaited, now_s)[:MAX_LISTED])
    renewal.restarted.extend(_rows(restarted, now_s))


def expiry_of(worker: worker_table.Worker, earlier: EarlierLeases) -> float:
    """Returns when all leases of a worker have surely expired."""
    if worker.fenced:
        return worker.lease.latest_expiry_s()
    return max(earlier.expiry_s(worker.report.id), worker.restarted_until_s)


def _is_awaited(
    worker: worker_table.Worker, earlier: EarlierLeases, now_s: float
) -> bool:
    if worker.gone:
        return False
    if worker.fenced:
        left_s = worker.lease.latest_expiry_s() - now_s
        return is_silent(worker, now_s) and left_s <= LISTED_LEFT_S
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

    def note_sent(self, renewal: workflow_pb2.Ownership) -> None:
        """Notes that a renewal is to be sent, at once when it is built."""
        self._sent |= _names(renewal)

    def note_recorded(self, renewal: workflow_pb2.Ownership) -> None:
        """Notes that a renewal is recorded: those before are not in force."""
        self._recorded = _names(renewal)
        self._sent = set()


def _rows(
    expiries: dict[model.Incarnation, float], now_s: float
) -> list[workflow_pb2.WorkerLeases]:
    return [
        workflow_pb2.WorkerLeases(
            worker=worker, left_ms=math.ceil((expiry_s - now_s) * 1000)
        )
        for worker, expiry_s in expiries.items()
        if expiry_s > now_s
    ]


def _expiries(
    rows: Iterable[workflow_pb2.WorkerLeases], seen_s: float
) -> dict[model.Incarnation, float]:
    return {
        model.Incarnation(row.worker): seen_s + row.left_ms / 1000
        for row in rows
    }


def _names(ownership: workflow_pb2.Ownership) -> set[str]:
    return {row.worker for row in ownership.awaited}
