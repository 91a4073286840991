"""Forwards requests to other entry VMs that have free slots."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from wisterialug_core.schema import peer_pb2
from wisterialug_daemon import errors, messages, metrics, tracing
from wisterialug_daemon import members as members_lib

if TYPE_CHECKING:
    from wisterialug_daemon import instances as instances_lib
    from wisterialug_daemon import request_queues

MAX_HOPS = 1
# Minimum expected wait for a request to be forwarded.
FORWARD_WAIT_S = 0.02
# Free slots that a VM of another data centre must report.
MIN_REMOTE_FREE_SLOTS = 2
MIN_RETRY_AFTER_S = 1

_OUTCOMES = {
    peer_pb2.OUTCOME_DONE: messages.Outcome.DONE,
    peer_pb2.OUTCOME_NOT_RUN: messages.Outcome.NOT_RUN,
    peer_pb2.OUTCOME_UNKNOWN: messages.Outcome.UNKNOWN,
}
PEER_OUTCOMES = {value: key for key, value in _OUTCOMES.items()}


class Forwarder:
    """Forwards requests to peers that report free slots."""

    def __init__(
        self,
        members: members_lib.Members,
        instances: instances_lib.Instances,
        queues: request_queues.RequestQueues,
    ) -> None:
        self._members = members
        self._instances = instances
        self._queues = queues
        # Last report's sequence and requests sent since, by peer and service.
        self._sent: dict[tuple[str, str, str], tuple[int, int]] = {}

    def try_forward(
        self, req: messages.CallerRequest
    ) -> messages.CallerResponse | None:
        """Forwards a request if a peer has free slots and this VM has none.

        A request that would wait shortly here is not forwarded, unless it
        would be refused; nor is one that has too little time left.
        """
        if req.hops >= MAX_HOPS:
            return None
        service = (req.customer, req.service)
        limits = self._instances.limits(service)
        if self._instances.pool(service).free_slots(limits) > 0:
            return None
        wait_s = self._queues.expected_wait_s(service)
        if (
            self._instances.capacity(service)
            and wait_s < FORWARD_WAIT_S
            and self._queues.meets(service, req.deadline)
        ):
            return None
        remaining_s = req.deadline - time.monotonic()
        if remaining_s <= self._queues.queue(service).service_time_s:
            return None
        peer = self._best_peer(service)
        if peer is None:
            return None
        message = peer_pb2.ForwardRequest(
            customer=req.customer,
            service=req.service,
            method=req.method,
            path=req.path,
            headers=[{"name": n, "value": v} for n, v in req.headers],
            body=req.body,
            remaining_ms=max(0, int(remaining_s * 1000)),
            hops=req.hops + 1,
            repeatable=req.repeatable,
            traceparent=tracing.outgoing_headers().get("traceparent", ""),
        )
        reply = self._members.call(
            peer, "Forward", message, max(0.001, remaining_s)
        )
        response = _forward_response(reply)
        metrics.FORWARDS.labels(response.outcome.value).inc()
        return response

    def _best_peer(self, service: tuple[str, str]) -> peer_pb2.Member | None:
        """Returns the peer with the most free slots, local ones first."""
        table = self._members.table
        own_data_centre = table.own.data_centre
        best: tuple[tuple[bool, int], peer_pb2.Member] | None = None
        for record in table.peers(time.monotonic(), members_lib.ALIVE):
            free = self._free_slots(record, service)
            local = record.data_centre == own_data_centre
            if free < (1 if local else MIN_REMOTE_FREE_SLOTS):
                continue
            rank = (local, free)
            if best is None or rank > best[0]:
                best = (rank, record)
        if best is None:
            return None
        record = best[1]
        key = (record.vm, *service)
        sequence, sent = self._sent.get(key, (record.sequence, 0))
        if sequence != record.sequence:
            sent = 0
        self._sent[key] = (record.sequence, sent + 1)
        return record

    def _free_slots(
        self, record: peer_pb2.Member, service: tuple[str, str]
    ) -> int:
        sequence, sent = self._sent.get((record.vm, *service), (0, 0))
        reported = next(
            (
                load.free_slots
                for load in record.loads
                if (load.customer, load.service) == service
            ),
            0,
        )
        return reported - (sent if sequence == record.sequence else 0)


def _forward_response(reply: object) -> messages.CallerResponse:
    """Converts the result of a forwarded call to a response."""
    if reply.is_ok():
        resp = reply.ok_value
        return messages.CallerResponse(
            _OUTCOMES[resp.outcome],
            resp.status,
            tuple((h.name, h.value) for h in resp.headers),
            resp.body,
            resp.reason,
        )
    if isinstance(reply.err_value, errors.PeerUnreachableError):
        return messages.problem(
            messages.Outcome.NOT_RUN,
            503,
            "peer-not-reached",
            "no connection to the other entry VM",
            retry_after_s=MIN_RETRY_AFTER_S,
        )
    return messages.problem(
        messages.Outcome.UNKNOWN,
        504,
        "peer-unanswered",
        "the request was forwarded but no response was received",
    )
