"""Request routing: limits, queues, instances, retries, forwarding."""

from __future__ import annotations

import contextlib
import math
import time
from typing import TYPE_CHECKING

import eventlet

from wisterialug_core.decisions import admission, retry, routing
from wisterialug_core.schema import config_pb2, peer_pb2
from wisterialug_daemon import errors, forwarding, messages, metrics, tracing

if TYPE_CHECKING:
    from opentelemetry import context as otel_context

    from wisterialug_daemon import (
        config_sync,
        idempotency_store,
        request_queues,
    )
    from wisterialug_daemon import instances as instances_lib
    from wisterialug_daemon import members as members_lib
    from wisterialug_daemon.adapters import upstream as upstream_lib

MAX_ATTEMPTS = 3
MIN_RETRY_AFTER_S = 1
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class Router:
    """Routes requests of callers and of other entry VMs."""

    def __init__(
        self,
        config: config_sync.ConfigSync,
        instances: instances_lib.Instances,
        queues: request_queues.RequestQueues,
        idempotency: idempotency_store.IdempotencyStore,
        upstream: upstream_lib.UpstreamClient,
        members: members_lib.Members,
        forwarder: forwarding.Forwarder,
        retry_fraction: float,
        late_answer_limit_s: float,
    ) -> None:
        self._config = config
        self._instances = instances
        self._queues = queues
        self._idempotency = idempotency
        self._upstream = upstream
        self._members = members
        self._late_answer_limit_s = late_answer_limit_s
        self._retry_budget = retry.RetryBudget(retry_fraction)
        self._rate_buckets: dict[tuple[str, str], admission.TokenBucket] = {}
        self._running: dict[tuple[str, str], int] = {}
        self._forwarder = forwarder

    def handle(self, req: messages.CallerRequest) -> messages.CallerResponse:
        """Handles a request of a caller."""
        started = time.monotonic()
        with tracing.span("entry", dict(req.headers)):
            response = self._handle(req)
        metrics.REQUESTS.labels(response.outcome.value).inc()
        metrics.REQUEST_SECONDS.labels(response.outcome.value).observe(
            time.monotonic() - started
        )
        if response.outcome is messages.Outcome.NOT_RUN:
            metrics.REFUSALS.labels(response.reason or "other").inc()
        return response

    def on_forward(
        self, message: peer_pb2.ForwardRequest
    ) -> peer_pb2.ForwardResponse:
        """Handles a request that another entry VM forwarded."""
        req = messages.CallerRequest(
            message.customer,
            message.service,
            message.method,
            message.path,
            tuple((h.name, h.value) for h in message.headers),
            message.body,
            time.monotonic() + message.remaining_ms / 1000,
            hops=message.hops,
            repeatable=message.repeatable,
        )
        parent = {"traceparent": message.traceparent}
        with tracing.span("forwarded", parent):
            resp = self._run(req)
        return peer_pb2.ForwardResponse(
            outcome=forwarding.PEER_OUTCOMES[resp.outcome],
            status=resp.status,
            headers=[
                {"name": name, "value": value} for name, value in resp.headers
            ],
            body=resp.body,
            reason=resp.reason,
        )

    # Checks and limits.

    def _handle(self, req: messages.CallerRequest) -> messages.CallerResponse:
        state = self._config.state
        if not state.has_customer(req.customer):
            return _not_run(403, "unknown-customer", "no such customer")
        service = state.service(req.customer, req.service)
        if service is None:
            return _not_run(404, "unknown-service", "no such service")
        if service.state != config_pb2.SERVICE_STATE_RUNNING:
            return _not_run(503, "service-stopped", "the service is stopped")
        refusal = self._check_limits(req)
        if refusal is not None:
            return self._refusal_response(req, refusal)
        running = [(req.customer, ""), (req.customer, req.service)]
        for key in running:
            self._running[key] = self._running.get(key, 0) + 1
        try:
            if req.repeatable or service.idempotent:
                return self._run(_as_repeatable(req))
            if not req.key:
                return _not_run(
                    400,
                    "idempotency-key-required",
                    "this request must not be repeated and needs the"
                    " header Idempotency-Key",
                )
            return self._idempotency.run(req, self._run)
        finally:
            for key in running:
                self._running[key] -= 1

    def _check_limits(
        self, req: messages.CallerRequest
    ) -> admission.Refusal | None:
        """Checks the limits of customer and service.

        A limit applies to all entry VMs together, so each member enforces
        an equal part, which is at least one request in flight.
        """
        member_count = self._members.member_count()
        for kind, name in (
            ("customer", req.customer),
            ("service", req.service),
        ):
            row = self._config.state.limit(req.customer, kind, name)
            if row is None:
                continue
            scope = name if kind == "service" else ""
            if row.HasField("max_in_flight"):
                allowed = _per_vm_limit(row.max_in_flight, member_count)
                if self._running.get((req.customer, scope), 0) >= allowed:
                    return admission.Refusal.IN_FLIGHT
            if row.HasField("max_rate_per_s"):
                bucket = self._rate_buckets.setdefault(
                    (req.customer, scope), admission.TokenBucket(0)
                )
                bucket.rate_per_s = row.max_rate_per_s / member_count
                if not bucket.take(time.monotonic()):
                    return admission.Refusal.RATE
        return None

    # Running.

    def _run(self, req: messages.CallerRequest) -> messages.CallerResponse:
        """Sends a request to an instance or a peer, with retries.

        Once an attempt may have run the request, failures of later ones don't
        make it "not run".
        """
        self._retry_budget.record_first_attempt()
        service = (req.customer, req.service)
        tried: tuple[str, ...] = ()
        response = None
        unknown = None
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self._may_retry(req, response):
                break
            if attempt:
                metrics.RETRIES.inc()
            response = self._forwarder.try_forward(req)
            if response is None or response.outcome is messages.Outcome.NOT_RUN:
                slot = self._queues.take_slot(
                    service,
                    req.deadline,
                    may_probe=req.repeatable,
                    exclude=tried,
                )
                if slot.is_err():
                    response = self._refusal_response(req, slot.err_value)
                    break
                response = self._send(req, slot.ok_value)
                tried += (slot.ok_value.instance.id,)
            if response.outcome is messages.Outcome.DONE:
                return response
            if response.outcome is messages.Outcome.UNKNOWN:
                unknown = response
        return unknown or response

    def _may_retry(
        self, req: messages.CallerRequest, last: messages.CallerResponse
    ) -> bool:
        """Returns whether a request may be sent again."""
        if time.monotonic() >= req.deadline:
            return False
        if last.outcome is messages.Outcome.UNKNOWN and (
            # The VM that has forwarded it counts the attempts.
            not req.repeatable or req.hops
        ):
            return False
        if last.reason not in _RETRYABLE_REASONS:
            return False
        return self._retry_budget.spend()

    def _send(
        self, req: messages.CallerRequest, slot: routing.Slot
    ) -> messages.CallerResponse:
        """Sends a request and waits for its response until the deadline.

        The slot stays taken until the instance has responded or the limit for
        late responses has passed, since the instance may be busy until then.
        """
        exchange = eventlet.spawn(self._exchange, req, slot, tracing.current())
        with contextlib.suppress(eventlet.Timeout):
            with eventlet.Timeout(max(0.001, req.deadline - time.monotonic())):
                return exchange.wait()
        return _upstream_failure(errors.UpstreamUnansweredError("timeout"))

    def _exchange(
        self,
        req: messages.CallerRequest,
        slot: routing.Slot,
        context: otel_context.Context,
    ) -> messages.CallerResponse:
        """Sends a request to the instance of a slot and frees the slot."""
        instance = slot.instance
        service = (req.customer, req.service)
        outcome = routing.Result.FAILED
        metrics.IN_FLIGHT.inc()
        try:
            with tracing.span("upstream", context=context):
                response = self._upstream.send(
                    (instance.ip, instance.port),
                    req.method,
                    req.path,
                    {**dict(req.headers), **tracing.outgoing_headers()},
                    req.body,
                    req.deadline - time.monotonic() + self._late_answer_limit_s,
                )
            if response.is_ok():
                if time.monotonic() < req.deadline:
                    outcome = routing.Result.OK
                return messages.CallerResponse(
                    messages.Outcome.DONE,
                    response.ok_value.status,
                    response.ok_value.headers,
                    response.ok_value.body,
                )
            exc = response.err_value
            if isinstance(exc, errors.UpstreamRefusedError):
                outcome = routing.Result.REFUSED
            return _upstream_failure(exc)
        finally:
            metrics.IN_FLIGHT.dec()
            now = time.monotonic()
            self._instances.pool(service).release(slot, outcome, now)
            if outcome is routing.Result.OK:
                self._queues.queue(service).record_service_time(
                    now - slot.started_at
                )
            self._queues.dispatch(service)

    def _refusal_response(
        self, req: messages.CallerRequest, refusal: admission.Refusal
    ) -> messages.CallerResponse:
        limits = (admission.Refusal.RATE, admission.Refusal.IN_FLIGHT)
        wait_s = self._queues.expected_wait_s((req.customer, req.service))
        retry_after = (
            MIN_RETRY_AFTER_S
            if math.isinf(wait_s)
            else max(MIN_RETRY_AFTER_S, math.ceil(wait_s))
        )
        return messages.problem(
            messages.Outcome.NOT_RUN,
            429 if refusal in limits else 503,
            refusal.value,
            "the request was refused and not run",
            retry_after_s=retry_after,
        )


_RETRYABLE_REASONS = frozenset(
    {
        "upstream-not-reached",
        "upstream-refused",
        "upstream-unanswered",
        "peer-not-reached",
        "peer-unanswered",
        admission.Refusal.TOO_LATE.value,
        admission.Refusal.QUEUE_FULL.value,
    }
)


def _as_repeatable(req: messages.CallerRequest) -> messages.CallerRequest:
    return messages.CallerRequest(
        req.customer,
        req.service,
        req.method,
        req.path,
        req.headers,
        req.body,
        req.deadline,
        repeatable=True,
    )


def _per_vm_limit(limit: int, member_count: int) -> int:
    return max(1, limit // member_count) if limit else 0


def _not_run(status: int, reason: str, detail: str) -> messages.CallerResponse:
    return messages.problem(messages.Outcome.NOT_RUN, status, reason, detail)


def _upstream_failure(exc: errors.UpstreamError) -> messages.CallerResponse:
    """Returns the response that reports an upstream failure."""
    if isinstance(exc, errors.UpstreamNotSentError):
        return messages.problem(
            messages.Outcome.NOT_RUN,
            503,
            "upstream-not-reached",
            "no connection to the instance",
            retry_after_s=MIN_RETRY_AFTER_S,
        )
    if isinstance(exc, errors.UpstreamRefusedError):
        return messages.problem(
            messages.Outcome.NOT_RUN,
            503,
            "upstream-refused",
            "the instance refused the request",
            retry_after_s=MIN_RETRY_AFTER_S,
        )
    return messages.problem(
        messages.Outcome.UNKNOWN,
        504,
        "upstream-unanswered",
        "the request was sent but no complete response was received",
    )
