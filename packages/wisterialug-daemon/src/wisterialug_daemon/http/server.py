"""WSGI servers on eventlet, with a graceful shutdown."""

from __future__ import annotations

import contextlib
import time
from typing import TYPE_CHECKING

import eventlet
import eventlet.greenthread
import eventlet.patcher
import eventlet.wsgi

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Not patched by eventlet: polls without yielding to other greenlets.
_select = eventlet.patcher.original("select")

BACKLOG = 512
MAX_CONNECTIONS = 4096
KEEPALIVE_S = 75.0
# On close: limit for accepting connections from the backlog, and time for
# their greenlets to start on requests that have arrived.
ACCEPT_BACKLOG_S = 0.5
REQUEST_START_S = 0.05


class _Protocol(eventlet.wsgi.HttpProtocol):
    """HTTP/1.1 protocol handler."""

    protocol_version = "HTTP/1.1"


class WsgiServer:
    """Serves one WSGI application on one port."""

    def __init__(
        self, ip: str, port: int, application: Callable[..., Iterable[bytes]]
    ) -> None:
        # A restarted daemon must not listen beside its previous process.
        self._socket = eventlet.listen(
            (ip, port), backlog=BACKLOG, reuse_port=False
        )
        self._pool = eventlet.GreenPool(MAX_CONNECTIONS)
        # Receives eventlet's server, which reads its `keepalive` per response.
        self._started = eventlet.event.Event()
        self._thread = eventlet.spawn(
            eventlet.wsgi.server,
            self._socket,
            application,
            server_event=self._started,
            custom_pool=self._pool,
            protocol=_Protocol,
            keepalive=KEEPALIVE_S,
            log_output=False,
            debug=False,
        )

    @property
    def port(self) -> int:
        """Returns the port that the server listens on."""
        return self._socket.getsockname()[1]

    def end_keepalive(self) -> None:
        """Closes each connection after its next response."""
        self._started.wait().keepalive = False

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
        with contextlib.suppress(eventlet.Timeout):
            with eventlet.Timeout(max(0.01, timeout_s)):
                self._pool.waitall()

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
