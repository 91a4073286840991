"""Transport-independent requests of callers and their responses."""

from __future__ import annotations

import dataclasses
import enum
import json


class Outcome(enum.Enum):
    """Outcome of a request, as reported to its caller."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """One request of a caller.

    Attributes:
      deadline: Monotonic time by which the response is due.
      key: Idempotency key, or ''.
      hops: How many entry VMs have forwarded the request.
      repeatable: Whether the request may run more than once.
    """

    customer: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float
    key: str = ""
    hops: int = 0
    repeatable: bool = False


@dataclasses.dataclass(frozen=True)
class CallerResponse:
    """The complete response to a request."""

    outcome: Outcome
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    reason: str = ""


def problem(
    outcome: Outcome,
    status: int,
    reason: str,
    detail: str,
    *,
    retry_after_s: int | None = None,
) -> CallerResponse:
    """Returns a response with a problem body (RFC 9457)."""
    headers = [("Content-Type", "application/problem+json")]
    if retry_after_s is not None:
        headers.append(("Retry-After", str(retry_after_s)))
    body = json.dumps(
        {
            "type": f"urn:wisterialug:problem:{reason}",
            "title": reason.replace("-", " "),
            "status": status,
            "detail": detail,
            "outcome": outcome.value,
        }
    ).encode()
    return CallerResponse(outcome, status, tuple(headers), body, reason)
