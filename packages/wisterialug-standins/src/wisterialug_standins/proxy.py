"""A TCP proxy that delays, cuts, swallows and resets on demand."""

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
    DELAY = "delay"  # Holds each piece back for a while.
    BLACK_HOLE = "black-hole"  # Takes all and passes nothing on.
    RESET = "reset"  # Resets new connections and open ones.
    CUT_ANSWER = "cut-answer"  # Passes half of the answer, then resets.
    LOSE_ANSWER = "lose-answer"  # Passes the request, then resets.


class FaultProxy:
    """Passes connections from one address to another, with faults."""

    def __init__(
        self, listen: tuple[str, int], target: tuple[str, int]
    ) -> None:
        self._target = target
        self.fault = Fault.PASS
        self.delay_s = 0.0
        self._open: set[tuple[socket.socket, socket.socket]] = set()
        self._socket = eventlet.listen(listen)
        eventlet.spawn(self._accept_loop)

    def set(self, fault: Fault, delay_s: float = 0.0) -> None:
        """Changes the fault, also for open connections."""
        self.fault, self.delay_s = fault, delay_s
        if fault is Fault.RESET:
            for pair in list(self._open):
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
        self._open.add(pair)
        answers = eventlet.spawn(self._pump, upstream, client, True, pair)
        self._pump(client, upstream, False, pair)
        answers.wait()
        self._open.discard(pair)
        for sock in pair:
            sock.close()

    def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        answers: bool,
        pair: tuple[socket.socket, socket.socket],
    ) -> None:
        try:
            while True:
                data = source.recv(CHUNK_BYTES)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                if not self._pass(data, sink, answers, pair):
                    return
        except (OSError, EOFError):
            # eventlet raises EOFError where the other pump has closed.
            _reset(*pair)

    def _pass(
        self,
        data: bytes,
        sink: socket.socket,
        answers: bool,
        pair: tuple[socket.socket, socket.socket],
    ) -> bool:
        fault = self.fault
        if fault is Fault.DELAY:
            eventlet.sleep(self.delay_s)
        while self.fault is Fault.BLACK_HOLE:
            eventlet.sleep(0.05)
        if answers and fault is Fault.CUT_ANSWER:
            sink.sendall(data[: len(data) // 2])
            _reset(*pair)
            return False
        if answers and fault is Fault.LOSE_ANSWER:
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
            self.proxies[name].set(
                Fault(body["fault"]), body.get("delay_s", 0.0)
            )
        start_response("200 OK", [("Content-Length", "2")])
        return [b"{}"]


def _reset(*socks: socket.socket) -> None:
    """Closes sockets with a reset instead of an orderly end."""
    for sock in socks:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        sock.close()
