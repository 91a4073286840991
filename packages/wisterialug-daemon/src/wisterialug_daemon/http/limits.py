"""Limits of what clients may hold of a process, and who is disconnected first."""

from __future__ import annotations

import dataclasses
import enum
import fractions
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

BYTES_PER_MB = 1_000_000
# For processes that are not told the size of their VM.
DEFAULT_MEMORY_MB = 512
DEFAULT_MAX_FDS = 4096
# Of the memory: unfinished and unanswered requests, and open connections.
REQUEST_MEMORY_SHARE = 1 / 8
CONNECTION_MEMORY_SHARE = 1 / 4
# Bytes of a connection that were received and not read count as memory, too. The
# kernel doubles the size that is asked for.
RECEIVE_BUFFER_BYTES = 32_768
# A greenlet with its frames and buffers, and the kernel's buffer.
CONNECTION_BYTES = 32_768 + 2 * RECEIVE_BUFFER_BYTES
# Descriptors that can't be sockets.
FILE_FDS = 200
# A request may open a connection to the store; workers and peers need some, too.
FDS_PER_CONNECTION = 3
MIN_CONNECTIONS = 8

MAX_REQUEST_LINE_BYTES = 8192
MAX_HEAD_BYTES = 16_384
# A head is kept as read, as parsed headers and as the application's environ.
HEAD_COPIES = 4
DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024

IDLE_S = 75.0
HEAD_S = 10.0
BODY_S = 30.0
SEND_S = 30.0
RETRY_AFTER_S = 1
# A request that is unfinished for this long is disconnected before others.
STALL_S = 1.0
# The same for a client that does not read: responses to VMs on thin links pause.
SEND_STALL_S = 5.0


class Port(enum.Enum):
    """What a port is for; the values are labels of metrics."""

    CALLERS = "callers"
    PEERS = "peers"
    OPERATORS = "operators"
    READINESS = "readiness"
    METRICS = "metrics"


# Shares of one process; fixed, so that a crowd on one port leaves the others alone.
PORT_SHARES = {
    Port.CALLERS: fractions.Fraction(8, 16),
    Port.PEERS: fractions.Fraction(3, 16),
    Port.OPERATORS: fractions.Fraction(3, 16),
    Port.READINESS: fractions.Fraction(1, 16),
    Port.METRICS: fractions.Fraction(1, 16),
}


class State(enum.Enum):
    """What a connection is doing."""

    # Between requests, or before the first one.
    IDLE = "idle"
    # A request has begun and is not complete.
    READING = "reading"
    ANSWERING = "answering"
    # The client does not read the response as fast as it is sent.
    SENDING = "sending"
    # The response is sent; what the client still sends is dropped.
    CLOSING = "closing"


@dataclasses.dataclass(frozen=True)
class PortLimits:
    """Limits of one port.

    Attributes:
      max_connections: Connections that are open at a time.
      max_held_bytes: Bytes of all requests that are not answered yet.
      max_body_bytes: Size of one request's body.
      idle_s: Time until the next request begins.
      head_s: Time from a request's first byte to the end of its head.
      body_s: Time for the body of a request.
      send_s: Time for the client to take in a part of a response.
    """

    max_connections: int
    max_held_bytes: int
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    idle_s: float = IDLE_S
    head_s: float = HEAD_S
    body_s: float = BODY_S
    send_s: float = SEND_S


@dataclasses.dataclass
class Load:
    """What one connection holds.

    Attributes:
      state: What it is doing.
      since_s: When it entered the state; for responses, when the client last
        took something in.
      answered: Whether a request of it has been answered.
      held_bytes: Bytes of its request.
    """

    state: State
    since_s: float
    answered: bool = False
    held_bytes: int = 0


LoadT = TypeVar("LoadT", bound=Load)


def port_limits(
    port: Port,
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    memory_mb: float = DEFAULT_MEMORY_MB,
    max_fds: int = DEFAULT_MAX_FDS,
) -> PortLimits:
    """Returns a port's share of what a process with these resources admits."""
    memory_bytes = memory_mb * BYTES_PER_MB
    connections = min(
        memory_bytes * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES,
        (max_fds - FILE_FDS) / FDS_PER_CONNECTION,
    )
    share = PORT_SHARES[port]
    return PortLimits(
        max(MIN_CONNECTIONS, int(connections * share)),
        # One body has room on each port, or the port could not do its work.
        max(
            max_body_bytes + HEAD_COPIES * MAX_HEAD_BYTES,
            int(memory_bytes * REQUEST_MEMORY_SHARE * share),
        ),
        max_body_bytes,
    )


def largest_unfinished(loads: Iterable[LoadT]) -> LoadT | None:
    """Returns which unfinished request to end when bytes run out.

    The largest one holds more than the mean, so that small requests of others
    are read however many large ones are held back.
    """
    unfinished = [load for load in loads if load.state is State.READING]
    return max(
        unfinished,
        key=lambda load: (load.held_bytes, -load.since_s),
        default=None,
    )


def first_to_disconnect(loads: Iterable[LoadT], now_s: float) -> LoadT | None:
    """Returns which connection to end in favour of a new one, if any.

    Never one whose request is being answered to a client that reads.
    """
    candidates = [
        (rank, load.since_s, number, load)
        for number, load in enumerate(loads)
        if (rank := _rank(load, now_s)) is not None
    ]
    return min(candidates)[-1] if candidates else None


def _rank(load: Load, now_s: float) -> int | None:
    waited_s = now_s - load.since_s
    if load.state is State.CLOSING:
        return 0
    if load.state is State.SENDING:
        return 1 if waited_s >= SEND_STALL_S else None
    if load.state is State.ANSWERING:
        return None
    if load.state is State.IDLE and load.answered:
        return 2
    return 1 if waited_s >= STALL_S else 3
