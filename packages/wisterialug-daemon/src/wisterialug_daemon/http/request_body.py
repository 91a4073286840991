"""The body of a request, as an application reads it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import eventlet

from wisterialug_daemon.http import (
    framing,
    limits,
    request_errors,
    streams,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from wisterialug_daemon.http import connections

# A body of more chunks is decoded in turn with others of the port: the time that
# it takes depends on their number, not on its size.
FREE_CHUNKS = 256
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestBody:
    """The stream `wsgi.input`; read as a whole once a part is asked for.

    A body is handed out only when all of it has arrived.
    """

    # What eventlet looks at; unread bodies are dealt with by the protocol.
    chunked_input = False
    position = 0
    content_length = 0
    headers_sent: list[int] | None = None

    def __init__(
        self,
        body_framing: framing.Framing,
        reader: streams.Reader,
        writer: streams.Writer,
        conn: connections.Connection,
        port: connections.Connections,
        *,
        expects_continue: bool,
    ) -> None:
        self._framing = body_framing
        self._reader = reader
        self._writer = writer
        self._conn = conn
        self._port = port
        self.should_send_hundred_continue = expects_continue
        self.complete = body_framing.length == 0
        self.failure: request_errors.RequestError | None = None
        self._data = b""
        self._position = 0

    def read(self, size: int | None = None) -> bytes:
        """Returns the next bytes, all that are left without a size.

        Raises:
          RequestError: The body can't be read; none of it is handed out.
        """
        self._load()
        begin, length = self._position, len(self._data)
        end = length if size is None or size < 0 else min(length, begin + size)
        self._position = end
        if begin == 0 and end == length:
            data, self._data, self._position = self._data, b"", 0
            return data
        return self._data[begin:end]

    def readline(self, size: int | None = None) -> bytes:
        """Returns the next line.

        Raises:
          RequestError: See `read`.
        """
        self._load()
        found = self._data.find(b"\n", self._position) + 1
        end = found or len(self._data)
        length = end - self._position
        return self.read(
            length if size is None or size < 0 else min(size, length)
        )

    def readlines(self, hint: int | None = None) -> list[bytes]:
        """Returns all lines that are left.

        Raises:
          RequestError: See `read`.
        """
        del hint
        return list(self)

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.readline, b"")

    def skip(self) -> bool:
        """Drops an unread body that has arrived; returns whether it had."""
        length = self._framing.length
        if not self.complete and length is not None:
            early = self._reader.take_early()
            self.complete = len(early) >= length
            self._reader.keep(early[length:] if self.complete else early)
        return self.complete

    def _load(self) -> None:
        if self.complete:
            return
        if self.failure is not None:
            raise self.failure
        try:
            self._receive_all()
        except request_errors.RequestError as exc:
            self.failure = exc.with_traceback(None)
            raise

    def _receive_all(self) -> None:
        conn, length = self._conn, self._framing.length
        max_bytes = self._port.limits.max_body_bytes
        if length is not None and length > max_bytes:
            raise request_errors.body_too_large(max_bytes)
        if self.should_send_hundred_continue:
            self.should_send_hundred_continue = False
            self._writer.write(CONTINUE)
            self._writer.flush()
        # Waits since its head, however often it sends something.
        conn.state = limits.State.READING
        until_s = time.monotonic() + self._port.limits.body_s
        if length is None:
            self._data = self._read_chunks(max_bytes, until_s)
        else:
            self._data = self._read_length(length, until_s)
        conn.body = bytearray()
        self.complete = True
        conn.enter(limits.State.ANSWERING)

    def _read_length(self, length: int, until_s: float) -> bytes:
        early = self._reader.take_early()
        self._port.reserve(self._conn, min(len(early), length))
        if len(early) >= length:
            self._reader.keep(early[length:])
            return early[:length]
        data = self._conn.body = bytearray(early)
        while len(data) < length:
            size = min(length - len(data), streams.RECEIVE_BODY_BYTES)
            piece = self._receive(size, until_s)
            self._port.reserve(self._conn, len(piece))
            data += piece
        return bytes(data)

    def _read_chunks(self, max_bytes: int, until_s: float) -> bytes:
        self._conn.body = bytearray()
        decoder = framing.ChunkedDecoder(max_bytes, self._conn.body)
        piece = self._reader.take_early()
        while True:
            before = len(decoder.body)
            if decoder.chunks <= FREE_CHUNKS:
                rest = decoder.feed(piece)
            else:
                with self._port.decoding:
                    rest = decoder.feed(piece)
                    eventlet.sleep(0)
            self._port.reserve(self._conn, len(decoder.body) - before)
            if decoder.complete:
                self._reader.keep(rest)
                return bytes(decoder.body)
            piece = self._receive(streams.RECEIVE_BYTES, until_s)

    def _receive(self, size: int, until_s: float) -> bytes:
        piece = self._reader.receive(
            size, until_s, request_errors.Reason.BODY_TIMEOUT
        )
        if not piece:
            raise request_errors.cut_short()
        return piece
