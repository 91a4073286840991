"""The callers' interface: requests to services over plain HTTP."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from wisterialug_daemon import messages
from wisterialug_daemon.http import request_errors, responses

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisterialug_daemon import router

OUTCOME_HEADER = "Wisterialug-Outcome"
CUSTOMER_VARIABLE = "HTTP_WISTERIALUG_CUSTOMER"
TIMEOUT_VARIABLE = "HTTP_WISTERIALUG_TIMEOUT_MS"
IDEMPOTENCY_KEY_VARIABLE = "HTTP_IDEMPOTENCY_KEY"
PATH_PREFIX = "services"
MAX_TIMEOUT_MS = 600_000
# Hop-by-hop headers and those that this VM sets itself.
_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "date",
        "server",
        OUTCOME_HEADER.lower(),
    }
)


class CallersApplication:
    """The WSGI application on the callers' port."""

    def __init__(
        self,
        router_: router.Router,
        ready: Callable[[], bool],
        timeout_ms_of: Callable[[str, str], int],
        max_body_bytes: int,
        safe_methods: frozenset[str],
    ) -> None:
        self._router = router_
        self._ready = ready
        self._timeout_ms_of = timeout_ms_of
        self._max_body_bytes = max_body_bytes
        self._safe_methods = safe_methods

    def __call__(
        self, environ: dict, start_response: responses.StartResponse
    ) -> Iterable[bytes]:
        """Answers one request."""
        resp = self._respond(environ)
        headers = [
            (name, value)
            for name, value in resp.headers
            if name.lower() not in _DROPPED_HEADERS
        ]
        headers.append((OUTCOME_HEADER, resp.outcome.value))
        headers.append(("Content-Length", str(len(resp.body))))
        start_response(responses.status_line(resp.status), headers)
        return [resp.body]

    def _respond(self, environ: dict) -> messages.CallerResponse:
        if not self._ready():
            return _refuse(
                503, "not-ready", "this VM has no config yet", retry_after_s=1
            )
        body = self._body(environ)
        if isinstance(body, messages.CallerResponse):
            return body
        req = self._request(environ, body)
        if isinstance(req, messages.CallerResponse):
            return req
        return self._router.handle(req)

    def _body(self, environ: dict) -> bytes | messages.CallerResponse:
        """Returns the whole body, or the response that rejects it."""
        if environ.get("HTTP_TRANSFER_ENCODING"):
            return _refuse(411, "length-required", "Content-Length is required")
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > self._max_body_bytes:
            return _refuse(
                413,
                "body-too-large",
                f"the body exceeds {self._max_body_bytes} bytes",
            )
        try:
            return environ["wsgi.input"].read()
        except request_errors.RequestError as exc:
            return _refuse(
                exc.status,
                exc.reason.value,
                exc.detail,
                retry_after_s=exc.retry_after_s,
            )

    def _request(
        self, environ: dict, body: bytes
    ) -> messages.CallerRequest | messages.CallerResponse:
        parts = environ["RAW_PATH_INFO"].split("/", 3)
        if len(parts) < 3 or parts[1] != PATH_PREFIX or not parts[2]:
            return _refuse(
                404, "unknown-path", f"use /{PATH_PREFIX}/SERVICE/PATH"
            )
        customer = environ.get(CUSTOMER_VARIABLE, "")
        if not customer:
            return _refuse(
                400,
                "customer-required",
                "the header Wisterialug-Customer is missing",
            )
        timeout_ms = self._timeout_ms(environ, customer, parts[2])
        if timeout_ms is None:
            return _refuse(
                400,
                "bad-timeout",
                "the header Wisterialug-Timeout-Ms must be an integer"
                f" from 1 to {MAX_TIMEOUT_MS}",
            )
        path = "/" + (parts[3] if len(parts) > 3 else "")
        if environ.get("QUERY_STRING"):
            path += "?" + environ["QUERY_STRING"]
        method = environ["REQUEST_METHOD"]
        return messages.CallerRequest(
            customer,
            parts[2],
            method,
            path,
            tuple(_headers(environ)),
            body,
            time.monotonic() + timeout_ms / 1000,
            key=environ.get(IDEMPOTENCY_KEY_VARIABLE, ""),
            repeatable=method in self._safe_methods,
        )

    def _timeout_ms(
        self, environ: dict, customer: str, service: str
    ) -> int | None:
        text = environ.get(TIMEOUT_VARIABLE)
        if text is None:
            return self._timeout_ms_of(customer, service)
        if text.isascii() and text.isdigit():
            if 1 <= int(text) <= MAX_TIMEOUT_MS:
                return int(text)
        return None


def _headers(environ: dict) -> Iterable[tuple[str, str]]:
    """Returns the end-to-end headers of a request."""
    if environ.get("CONTENT_TYPE"):
        yield "Content-Type", environ["CONTENT_TYPE"]
    for name, value in environ.items():
        if not name.startswith("HTTP_"):
            continue
        header = name.removeprefix("HTTP_").replace("_", "-").lower()
        if header not in _DROPPED_HEADERS:
            yield header, value


def _refuse(
    status: int, reason: str, detail: str, *, retry_after_s: int | None = None
) -> messages.CallerResponse:
    return messages.problem(
        messages.Outcome.NOT_RUN,
        status,
        reason,
        detail,
        retry_after_s=retry_after_s,
    )
