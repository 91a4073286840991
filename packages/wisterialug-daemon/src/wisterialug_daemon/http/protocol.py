"""The HTTP/1.1 protocol of one connection, with bounds on what it reads."""

from __future__ import annotations

import io
import json
import re
import socket
import time
from typing import TYPE_CHECKING

import eventlet
import eventlet.support
import eventlet.wsgi
from absl import logging

from wisterialug_daemon.http import (
    framing,
    limits,
    request_body,
    request_errors,
    responses,
    streams,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_daemon.http import connections

_HEAD_END = re.compile(rb"\n\r?\n")
# The parser takes it for the end of a line.
_BARE_RETURN = re.compile(rb"\r(?!\n)")
# After a rejection: closing at once would reset the connection before the client
# has read the response.
LINGER_S = 1.0
LINGER_BYTES = 1024 * 1024


class Protocol(eventlet.wsgi.HttpProtocol):
    """Handles the requests of one connection."""

    protocol_version = "HTTP/1.1"

    def setup(self) -> None:
        """Prepares the streams of the connection."""
        self.connection = self.request
        self._conn: connections.Connection = self.conn_state[3]
        self._port: connections.Connections = self.server.connections
        self._reader = streams.Reader(self._conn)
        self.rfile = io.BytesIO()
        self.wfile = streams.Writer(self._conn, self._port)
        self.headers = None
        self._linger = False
        self.connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_QUICKACK, True
        )

    def handle(self) -> None:
        """Handles requests until the connection is to be closed."""
        self.close_connection = False
        while not self.close_connection:
            self.handle_one_request()
            self._forget_request()
            if self._conn.last_request:
                break
            self._conn.answered = True
            self._conn.enter(limits.State.IDLE)
            if self._reader.has_early:
                # A client that pipelines leaves other greenlets their turns.
                eventlet.sleep(0)
        if self._linger:
            self._drop_input()

    def finish(self) -> None:
        """Leaves the socket to the server."""

    def handle_one_request(self) -> None:
        """Reads the head of a request and has it answered."""
        self.close_connection = True
        try:
            head = self._read_head()
            if not head:
                return
            self._parse(head)
            self._framing = framing.framing(
                self.headers.get_all("Content-Length", ()),
                self.headers.get_all("Transfer-Encoding", ()),
            )
            self._port.reserve(
                self._conn,
                limits.HEAD_COPIES * len(head) - self._conn.held_bytes,
            )
        except request_errors.RequestError as exc:
            self._reject(exc)
            return
        self._conn.enter(limits.State.ANSWERING)
        self.environ = self.get_environ()
        self.application = self._answer
        try:
            self.handle_one_response()
        except OSError as exc:
            self.close_connection = True
            if eventlet.support.get_errno(exc) not in eventlet.wsgi.BROKEN_SOCK:
                raise

    def _forget_request(self) -> None:
        """Drops what a connection between requests would keep."""
        self.environ = self.headers = None
        self.rfile = io.BytesIO()
        self.raw_requestline = b""
        self.requestline = self.path = ""
        self._conn.body = bytearray()
        self._port.release(self._conn)

    def get_environ(self) -> dict:
        """Returns the environment of the request."""
        environ = super().get_environ()
        body = request_body.RequestBody(
            self._framing,
            self._reader,
            self.wfile,
            self._conn,
            self._port,
            expects_continue=environ.get("HTTP_EXPECT", "").lower()
            == "100-continue",
        )
        environ["wsgi.input"] = environ["eventlet.input"] = body
        return environ

    def _read_head(self) -> bytes:
        """Returns a request's line and headers; nothing if none has begun."""
        conn, port_limits = self._conn, self._port.limits
        data = bytearray(self._reader.take_early().lstrip(b"\r\n"))
        begun = bool(data)
        until_s = time.monotonic() + port_limits.idle_s
        if begun:
            conn.enter(limits.State.READING)
            self._port.reserve(conn, len(data))
            until_s = conn.since_s + port_limits.head_s
        scanned = 0
        while True:
            if data:
                found = _HEAD_END.search(data, max(0, scanned - 2))
                scanned = found.end() if found else len(data)
                if scanned > limits.MAX_HEAD_BYTES:
                    raise request_errors.head_too_large("the head is too long")
                if found:
                    self._reader.keep(bytes(data[scanned:]))
                    return bytes(data[:scanned])
            try:
                piece = self._reader.receive(
                    streams.RECEIVE_BYTES,
                    until_s,
                    request_errors.Reason.HEAD_TIMEOUT,
                )
            except request_errors.RequestError:
                if begun:
                    raise
                return b""
            if not piece:
                if data:
                    raise request_errors.cut_short()
                return b""
            if not begun:
                begun = True
                conn.enter(limits.State.READING)
                until_s = conn.since_s + port_limits.head_s
            if data:
                self._port.reserve(conn, len(piece))
            data += piece if data else piece.lstrip(b"\r\n")

    def send_error(
        self, code: int, message: str | None = None, explain: str | None = None
    ) -> None:
        """Rejects a head that the parser does not understand.

        Raises:
          RequestError: Always.
        """
        del explain
        raise request_errors.RequestError(
            int(code), request_errors.Reason.BAD_HEAD, message or "invalid"
        )

    def _parse(self, head: bytes) -> None:
        self.rfile = io.BytesIO(head)
        self.raw_requestline = self.rfile.readline()
        if len(self.raw_requestline) > limits.MAX_REQUEST_LINE_BYTES:
            self.send_error(414, "the request line is too long")
        if not self.parse_request():
            self.send_error(400, "the request line is not valid")
        if self.headers.defects or _BARE_RETURN.search(head):
            # The parser drops what follows, the length of the body included.
            self.send_error(400, "a header is not valid")

    def _answer(
        self, environ: dict, start_response: responses.StartResponse
    ) -> Iterable[bytes]:
        """Calls the application, or answers for a body that can't be read."""
        body = environ["eventlet.input"]
        try:
            answer = self.server.app(environ, start_response)
        except request_errors.RequestError as exc:
            answer = responses.json_response(
                start_response,
                exc.status,
                {"error": exc.detail},
                responses.retry_after(exc.retry_after_s),
            )
        except Exception:
            logging.exception("request failed")
            raise
        if body.failure is not None:
            self._port.note(body.failure.reason)
            self._conn.enter(limits.State.ANSWERING)
        if not body.complete and not body.skip():
            self.close_connection = True
            self._linger = True
        return answer

    def _reject(self, exc: request_errors.RequestError) -> None:
        """Answers a request whose head can't be read."""
        self._port.note(exc.reason)
        self.close_connection = True
        self._linger = True
        data = json.dumps({"error": exc.detail}).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
            ("Connection", "close"),
            *responses.retry_after(exc.retry_after_s),
        ]
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        status = responses.status_line(exc.status)
        self.wfile.write(f"HTTP/1.1 {status}\r\n{lines}\r\n".encode() + data)
        self._conn.enter(limits.State.ANSWERING)
        try:
            self.wfile.flush()
        except OSError:
            # The client has left or was disconnected: nobody reads this.
            self._linger = False

    def _drop_input(self) -> None:
        """Drops what the client still sends, for a short time."""
        conn = self._conn
        conn.enter(limits.State.CLOSING)
        until_s = time.monotonic() + LINGER_S
        left = LINGER_BYTES
        try:
            conn.sock.shutdown(socket.SHUT_WR)
            while left > 0:
                piece = self._reader.receive(
                    streams.RECEIVE_BODY_BYTES,
                    until_s,
                    request_errors.Reason.BODY_TIMEOUT,
                )
                if not piece:
                    return
                left -= len(piece)
        except (OSError, request_errors.RequestError):
            return
