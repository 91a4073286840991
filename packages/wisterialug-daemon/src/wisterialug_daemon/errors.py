"""Errors of the daemon, to which adapters convert library errors."""

from __future__ import annotations


class DaemonError(Exception):
    """Base of all errors of the daemon."""


class TableError(DaemonError):
    """Base of errors of the table service."""


class TableUnreachableError(TableError):
    """The call had no effect: it was not sent."""


class TableUnansweredError(TableError):
    """No response was received; a write may have taken effect."""


class TableConflictError(TableError):
    """A condition did not hold, so nothing was written."""


class PeerError(DaemonError):
    """Base of errors of calls to other entry VMs."""


class PeerUnreachableError(PeerError):
    """The call was not sent."""


class PeerUnansweredError(PeerError):
    """The call was sent but no response was received."""


class UpstreamError(DaemonError):
    """Base of errors of service instances and workers."""


class UpstreamNotSentError(UpstreamError):
    """No connection was made, so nothing was sent."""


class UpstreamRefusedError(UpstreamError):
    """The upstream reported that it did not run the request."""

    def __init__(self, retry_after: str) -> None:
        super().__init__("upstream refused the request")
        self.retry_after = retry_after


class UpstreamUnansweredError(UpstreamError):
    """The request was sent but no complete response was received."""


class VmListError(DaemonError):
    """The VM list could not be read."""


class OperatorError(DaemonError):
    """An operator's request that can't be carried out.

    Attributes:
      status: HTTP status code.
      details: One line for each error.
    """

    def __init__(self, status: int, title: str, details: list[str]) -> None:
        super().__init__(title)
        self.status = status
        self.title = title
        self.details = details
