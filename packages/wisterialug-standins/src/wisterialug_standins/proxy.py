"""A TCP proxy that injects delays, black holes, truncation and resets."""

from __future__ import annotations

import enum
import json
import socket
import struct
from typing import TYPE_CHECKING

import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

CHUNK_BYTES = 65536
_LINGER_RESET = struct.pack("ii", 1, 0)


class Fault(enum.Enum):
    """What the proxy does to a connection."""

    PASS = "pass"
    DELAY = "delay"  # Delays each chunk.
    BLACK_HOLE = "black-hole"  # Accepts data, forwards none.
    RESET = "reset"  # Resets new and open connections.
    CUT_ANSWER = "cut-answer"  # Forwards half of the response, then resets.
    LOSE_ANSWER = "lose-answer"  # Forwards the request, then resets.


class FaultProxy:
    """Forwards connections from one address to another, with faults."""

    def __init__(
        self, listen: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self._target = target
        self.fault = Fault.PASS
        self.delay_s = 0.0
        self._connections: set[tuple[socket.socket, socket.socket]] = set()
        self._socket = eventlet.listen(listen)
        eventlet.spawn(self._accept_loop)

    def set_fault(self, fault: Fault, delay_s: float = 0.0) -> None:
        """Changes the fault, also for open connections."""
        self.fault, self.delay_s = fault, delay_s
        if fault is Fault.RESET:
            for pair in list(self._connections):
                _reset(*pair)

    def _accept_loop(self) -> None:
        while True:
            client, _ = self._socket.accept()
            eventlet.spawn(self._serve, client)

    def _serve(self, client: socket.socket) -> None:
        if self.fault is Fault.RESET:
            _reset(client)
            return
        try:
            upstream = eventlet.connect(self._target)
        except OSError:
            _reset(client)
            return
        pair = (client, upstream)
        self._connections.add(pair)
        responses = eventlet.spawn(self._pump, upstream, client, True, pair)
        self._pump(client, upstream, False, pair)
        responses.wait()
        self._connections.discard(pair)
        for sock in pair:
            sock.close()

    def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        is_response: bool,
        pair: tuple[socket.socket, socket.socket],
    ) -> None:
        try:
            while True:
                data = source.recv(CHUNK_BYTES)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                if not self._forward(data, sink, is_response, pair):
                    return
        except (OSError, EOFError):
            # eventlet raises EOFError if the other pump has closed the socket.
            _reset(*pair)

    def _forward(
        self,
        data: bytes,
        sink: socket.socket,
        is_response: bool,
        pair: tuple[socket.socket, socket.socket],
    ) -> bool:
        fault = self.fault
        if fault is Fault.DELAY:
            eventlet.sleep(self.delay_s)
        while self.fault is Fault.BLACK_HOLE:
            eventlet.sleep(0.05)
        if is_response and fault is Fault.CUT_ANSWER:
            sink.sendall(data[: len(data) // 2])
            _reset(*pair)
            return False
        if is_response and fault is Fault.LOSE_ANSWER:
            _reset(*pair)
            return False
        sink.sendall(data)
        return True


class ProxyControl:
    """A WSGI application that sets the faults of proxies by name."""

    def __init__(self) -> None:
        self.proxies: dict[str, FaultProxy] = {}

    def __call__(
        self, environ: dict, start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Sets faults: {"names": [...], "fault": ..., "delay_s": ...}."""
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(length) or b"{}")
        for name in body.get("names", []):
            self.proxies[name].set_fault(
                Fault(body["fault"]), body.get("delay_s", 0.0)
            )
        start_response("200 OK", [("Content-Length", "2")])
        return [b"{}"]


def _reset(*socks: socket.socket) -> None:
    """Closes sockets with a TCP reset instead of an orderly shutdown."""
    for sock in socks:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        sock.close()
