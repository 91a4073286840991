"""Requests that the server rejects before an application has handled them."""

from __future__ import annotations

import enum

from wisterialug_daemon.http import limits


class Reason(enum.Enum):
    """Why a request or a connection was ended; the values are labels."""

    BAD_HEAD = "bad-head"
    BAD_FRAMING = "bad-framing"
    BODY_CUT_SHORT = "body-cut-short"
    BODY_TIMEOUT = "body-timeout"
    BODY_TOO_LARGE = "body-too-large"
    HEAD_TIMEOUT = "head-timeout"
    HEAD_TOO_LARGE = "head-too-large"
    # The request holds the most of those that are not complete.
    NO_MEMORY = "no-memory"
    # Ended in favour of a new connection, or of another request.
    DISCONNECTED = "disconnected"
    # All connections are being answered; accepting waits.
    NO_CONNECTION_FREE = "no-connection-free"
    NO_DESCRIPTOR_FREE = "no-descriptor-free"
    SEND_TIMEOUT = "send-timeout"


class RequestError(Exception):
    """Reports a request that can't be read; it has not run.

    Attributes:
      status: Status of the response.
      reason: Why.
      detail: For the client.
      retry_after_s: When the client may try again.
    """

    def __init__(
        self,
        status: int,
        reason: Reason,
        detail: str,
        retry_after_s: int | None = None,
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail
        self.retry_after_s = retry_after_s


def bad_framing(detail: str) -> RequestError:
    """Returns the error for a body whose end can't be told."""
    return RequestError(400, Reason.BAD_FRAMING, detail)


def cut_short() -> RequestError:
    """Returns the error for a client that has left within a request."""
    return RequestError(400, Reason.BODY_CUT_SHORT, "the request is truncated")


def head_too_large(detail: str) -> RequestError:
    """Returns the error for a head or trailers over the limit."""
    return RequestError(431, Reason.HEAD_TOO_LARGE, detail)


def body_too_large(max_bytes: int) -> RequestError:
    """Returns the error for a body over the limit."""
    return RequestError(
        413, Reason.BODY_TOO_LARGE, f"the body exceeds {max_bytes} bytes"
    )


def timed_out(reason: Reason) -> RequestError:
    """Returns the error for a request that has not arrived in time."""
    return RequestError(408, reason, "the request has not arrived in time")


def disconnected() -> RequestError:
    """Returns the error of a connection that this process has ended."""
    return _unavailable(Reason.DISCONNECTED)


def no_memory() -> RequestError:
    """Returns the error for a request for which there is no memory left."""
    return _unavailable(Reason.NO_MEMORY)


def _unavailable(reason: Reason) -> RequestError:
    return RequestError(
        503, reason, "this VM has no room for the request", limits.RETRY_AFTER_S
    )
