"""Reads from and writes to a connection, each within its time."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import eventlet

from wisterialug_daemon.http import limits, request_errors

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_daemon.http import connections

RECEIVE_BYTES = 8192
RECEIVE_BODY_BYTES = 65_536
# A socket that always has data would keep other greenlets waiting.
YIELD_AFTER_BYTES = 65_536


class Reader:
    """Receives bytes; keeps those that were received too early."""

    def __init__(self, conn: connections.Connection) -> None:
        self._conn = conn
        self._early = b""
        self._received_bytes = 0

    @property
    def has_early(self) -> bool:
        """Returns whether bytes of the next request are kept."""
        return bool(self._early)

    def take_early(self) -> bytes:
        """Returns what was kept."""
        data, self._early = self._early, b""
        return data

    def keep(self, data: bytes) -> None:
        """Keeps bytes of the next request."""
        self._early = data

    def receive(
        self, max_bytes: int, until_s: float, late: request_errors.Reason
    ) -> bytes:
        """Returns the next bytes; nothing if the client has left.

        Raises:
          RequestError: Nothing has arrived in time, or the connection was ended.
        """
        conn = self._conn
        if self._received_bytes >= YIELD_AFTER_BYTES:
            self._received_bytes = 0
            eventlet.sleep(0)
        left_s = until_s - time.monotonic()
        if left_s <= 0:
            raise request_errors.timed_out(late)
        conn.sock.settimeout(left_s)
        try:
            data = conn.sock.recv(max_bytes)
        except TimeoutError:
            raise request_errors.timed_out(late) from None
        except (ConnectionError, EOFError):
            data = b""
        if conn.ended:
            raise request_errors.disconnected()
        self._received_bytes += len(data)
        return data


class Writer:
    """Sends responses; the file interface that the protocol writes to."""

    closed = False

    def __init__(
        self, conn: connections.Connection, port: connections.Connections
    ) -> None:
        self._conn = conn
        self._port = port
        self._pieces: list[bytes] = []

    def write(self, data: bytes) -> int:
        """Adds bytes to the next flush."""
        self._pieces.append(data)
        return len(data)

    def writelines(self, pieces: Iterable[bytes]) -> None:
        """Adds bytes to the next flush."""
        self._pieces.extend(pieces)

    def flush(self) -> None:
        """Sends what was written.

        Raises:
          TimeoutError: The client has not taken it in time.
          OSError: The client has left.
        """
        if not self._pieces:
            return
        data = b"".join(self._pieces)
        self._pieces.clear()
        conn = self._conn
        # Tried first without waiting: nearly all responses fit into the buffer.
        conn.sock.settimeout(0)
        try:
            sent = conn.sock.send(data)
        except BlockingIOError:
            sent = 0
        if sent < len(data):
            self._send_rest(memoryview(data)[sent:])

    def _send_rest(self, rest: memoryview) -> None:
        conn = self._conn
        state = conn.state
        conn.enter(limits.State.SENDING)
        until_s = time.monotonic() + self._port.limits.send_s
        try:
            while rest:
                conn.sock.settimeout(max(0.001, until_s - time.monotonic()))
                rest = rest[conn.sock.send(rest) :]
                conn.since_s = time.monotonic()
        except TimeoutError:
            self._port.note(request_errors.Reason.SEND_TIMEOUT)
            raise
        conn.enter(state)

    def close(self) -> None:
        """Does nothing: the connection's owner closes it."""
