"""WSGI servers on eventlet, with limits and a graceful shutdown."""

from __future__ import annotations

import contextlib
import errno
import socket
import time
from typing import TYPE_CHECKING

import eventlet
import eventlet.greenthread
import eventlet.patcher
import eventlet.wsgi
from absl import logging

from wisterialug_daemon.http import (
    connections,
    limits,
    protocol,
    request_errors,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Not patched by eventlet: polls without yielding to other greenlets.
_select = eventlet.patcher.original("select")

BACKLOG = 512
# Greenlets of connections that were ended and have not noticed yet.
ENDING_CONNECTIONS = 64
# On close: limit for accepting connections from the backlog, and time for
# their greenlets to start on requests that have arrived.
ACCEPT_BACKLOG_S = 0.5
REQUEST_START_S = 0.05
# Accepted in a row before other greenlets run.
ACCEPTED_IN_A_ROW = 32
ACCEPT_PAUSE_S = 0.05
_NO_DESCRIPTOR = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
_CLOSED = {errno.EBADF, errno.EINVAL, errno.ENOTSOCK}


class WsgiServer:
    """Serves one WSGI application on one port.

    Args:
      ip: Address to listen on.
      port: Port to listen on; 0 for any free one.
      application: The WSGI application.
      port_limits: What clients may hold.
      name: Value of the label `port` in metrics and log lines.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        application: Callable[..., Iterable[bytes]],
        port_limits: limits.PortLimits | None = None,
        name: limits.Port = limits.Port.CALLERS,
    ) -> None:
        # A restarted daemon must not listen beside its previous process.
        self._socket = eventlet.listen(
            (ip, port), backlog=BACKLOG, reuse_port=False
        )
        # Before the first connection: accepted sockets inherit it.
        self._socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            limits.RECEIVE_BUFFER_BYTES,
        )
        if port_limits is None:
            port_limits = limits.port_limits(name)
        self._connections = connections.Connections(name.value, port_limits)
        self._pool = eventlet.GreenPool(
            port_limits.max_connections + ENDING_CONNECTIONS
        )
        self._server = eventlet.wsgi.Server(
            self._socket,
            self._socket.getsockname(),
            application,
            protocol=protocol.Protocol,
            keepalive=port_limits.idle_s,
            log_output=False,
            debug=False,
        )
        self._server.connections = self._connections
        self._thread = eventlet.spawn(self._accept)

    @property
    def port(self) -> int:
        """Returns the port that the server listens on."""
        return self._socket.getsockname()[1]

    def end_keepalive(self) -> None:
        """Closes each connection after its next response."""
        self._server.keepalive = False

    def close(self, timeout_s: float = 0.0) -> None:
        """Stops accepting, then waits for requests in flight.

        Connections in the backlog are from callers that were sent here before
        the load balancer saw the shutdown; closing would reset them.
        """
        if self._socket.fileno() >= 0:
            self._accept_backlog()
        # No greenlet may wait on a closed socket.
        eventlet.greenthread.kill(self._thread)
        self._socket.close()
        self._connections.close_unused()
        with contextlib.suppress(eventlet.Timeout):
            with eventlet.Timeout(max(0.01, timeout_s)):
                self._pool.waitall()

    def _accept(self) -> None:
        in_a_row = 0
        while True:
            in_a_row += 1
            if in_a_row >= ACCEPTED_IN_A_ROW:
                in_a_row = 0
                eventlet.sleep(0)
            try:
                sock, client = self._socket.accept()
            except OSError as exc:
                if exc.errno in _CLOSED:
                    return
                if exc.errno in _NO_DESCRIPTOR:
                    reason = request_errors.Reason.NO_DESCRIPTOR_FREE
                    if not self._connections.end_one(reason):
                        self._connections.note(reason)
                    eventlet.sleep(ACCEPT_PAUSE_S)
                # Others concern one connection that has gone.
                continue
            conn = connections.Connection(sock, client)
            if not self._connections.add(conn):
                self._connections.note(request_errors.Reason.NO_CONNECTION_FREE)
                while not self._connections.add(conn):
                    eventlet.sleep(ACCEPT_PAUSE_S)
            self._pool.spawn_n(self._serve, conn)

    def _serve(self, conn: connections.Connection) -> None:
        try:
            protocol.Protocol(
                [conn.client, conn.sock, eventlet.wsgi.STATE_IDLE, conn],
                self._server,
            )
        except OSError:
            # The client has left.
            pass
        except Exception:  # noqa: BLE001 - reported; ends one connection only
            logging.exception("connection failed")
        finally:
            self._connections.remove(conn)
            conn.shut_down()
            conn.sock.close()

    def _accept_backlog(self) -> None:
        poll = _select.poll()
        poll.register(self._socket.fileno(), _select.POLLIN)
        until_s = time.monotonic() + ACCEPT_BACKLOG_S
        accepted = False
        while poll.poll(0) and time.monotonic() < until_s:
            accepted = True
            eventlet.sleep(0)
        if accepted:
            eventlet.sleep(REQUEST_START_S)
