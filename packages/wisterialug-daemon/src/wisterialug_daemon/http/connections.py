"""Connections of one port and the bytes that their requests hold."""

from __future__ import annotations

import contextlib
import socket
import time

import eventlet.greenio
import eventlet.semaphore

from wisterialug_daemon import logs, metrics
from wisterialug_daemon.http import limits, request_errors

LOG_INTERVAL_S = 1.0


class Connection(limits.Load):
    """An open connection.

    Attributes:
      ended: Whether this process has ended it in favour of others.
      last_request: Whether it is to be closed after the current request.
      body: What has arrived of the body that is being read.
    """

    def __init__(
        self, sock: eventlet.greenio.GreenSocket, client: tuple[str, int]
    ) -> None:
        super().__init__(limits.State.IDLE, time.monotonic())
        self.sock = sock
        self.client = client
        self.ended = False
        self.last_request = False
        self.body = bytearray()

    # Two connections are never the same one.
    __eq__ = object.__eq__
    __hash__ = object.__hash__

    def enter(self, state: limits.State) -> None:
        """Notes what the connection does from now on."""
        self.state = state
        self.since_s = time.monotonic()

    def shut_down(self) -> None:
        """Ends the connection; whoever waits for it is woken."""
        # The client may have reset it.
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)


class Connections:
    """The open connections of one port, within its limits."""

    def __init__(self, port: str, port_limits: limits.PortLimits) -> None:
        self.limits = port_limits
        self.held_bytes = 0
        # Held by the one body of very many chunks that is being decoded.
        self.decoding = eventlet.semaphore.Semaphore(1)
        self._port = port
        self._open: set[Connection] = set()
        self._decisions = _DecisionLog(port)
        metrics.HTTP_CONNECTIONS.labels(port).set_function(
            lambda: len(self._open)
        )
        metrics.HTTP_HELD_BYTES.labels(port).set_function(
            lambda: self.held_bytes
        )

    def __len__(self) -> int:
        return len(self._open)

    def add(self, conn: Connection) -> bool:
        """Admits a connection; returns False while there is no room for it."""
        while len(self._open) >= self.limits.max_connections:
            if not self.end_one(request_errors.Reason.DISCONNECTED):
                return False
        self._open.add(conn)
        return True

    def remove(self, conn: Connection) -> None:
        """Forgets a connection and what it holds."""
        self.release(conn)
        self._open.discard(conn)

    def close_unused(self) -> None:
        """Ends connections between requests, others after their response."""
        for conn in self._open:
            conn.last_request = True
            if conn.state is limits.State.IDLE:
                conn.shut_down()

    def end_one(self, reason: request_errors.Reason) -> bool:
        """Ends the connection that counts least, if one may be ended."""
        conn = limits.first_to_disconnect(self._open, time.monotonic())
        if conn is None:
            return False
        self._end(conn, reason)
        return True

    def reserve(self, conn: Connection, size: int) -> None:
        """Counts bytes that a request is about to hold.

        Raises:
          RequestError: The request is to be given up.
        """
        if conn.ended:
            raise request_errors.disconnected()
        while self.held_bytes + size > self.limits.max_held_bytes:
            largest = limits.largest_unfinished(self._open)
            if largest is None or largest is conn:
                raise request_errors.no_memory()
            self._end(largest, request_errors.Reason.NO_MEMORY)
        conn.held_bytes += size
        self.held_bytes += size

    def release(self, conn: Connection) -> None:
        """Counts nothing for a connection any more."""
        self.held_bytes -= conn.held_bytes
        conn.held_bytes = 0

    def note(self, reason: request_errors.Reason) -> None:
        """Counts and logs a request or connection that was ended."""
        self._decisions.note(reason)

    def _end(self, conn: Connection, reason: request_errors.Reason) -> None:
        conn.ended = True
        # Its greenlet may wait for its turn: the memory is needed now.
        conn.body.clear()
        conn.shut_down()
        self.remove(conn)
        self.note(reason)


class _DecisionLog:
    """Logs one line a second and reason, with a count."""

    def __init__(self, port: str) -> None:
        self._port = port
        self._logged_s: dict[request_errors.Reason, float] = {}
        self._counts: dict[request_errors.Reason, int] = {}

    def note(self, reason: request_errors.Reason) -> None:
        """Counts a decision and logs it, if the last line is old enough."""
        metrics.HTTP_LIMITED.labels(self._port, reason.value).inc()
        count = self._counts.get(reason, 0) + 1
        now_s = time.monotonic()
        if now_s - self._logged_s.get(reason, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            self._counts[reason] = count
            return
        self._logged_s[reason] = now_s
        self._counts[reason] = 0
        logs.event(
            "client-limited", port=self._port, reason=reason.value, count=count
        )
