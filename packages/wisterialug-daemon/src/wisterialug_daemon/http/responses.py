"""Parts of responses that all ports share."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    StartResponse = Callable[[str, list[tuple[str, str]]], object]

_REASON_PHRASES = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    411: "Length Required",
    413: "Content Too Large",
    414: "URI Too Long",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


def status_line(status: int) -> str:
    """Returns a status with its reason phrase."""
    return f"{status} {_REASON_PHRASES.get(status, 'Status')}"


def retry_after(after_s: int | None) -> list[tuple[str, str]]:
    """Returns the header that says when to try again, if ever."""
    return [] if after_s is None else [("Retry-After", str(after_s))]


def json_response(
    start_response: StartResponse,
    status: int,
    body: object,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Sends a response with a JSON body."""
    data = json.dumps(body).encode()
    start_response(
        status_line(status),
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
            *headers,
        ],
    )
    return [data]
