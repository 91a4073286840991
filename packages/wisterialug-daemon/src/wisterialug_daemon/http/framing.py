"""How a request's body is delimited; pure, without input or output."""

from __future__ import annotations

import dataclasses
import enum
import re
from typing import TYPE_CHECKING

from wisterialug_daemon.http import request_errors

if TYPE_CHECKING:
    from collections.abc import Sequence

# Size in hexadecimal digits, extensions and the line's end.
MAX_SIZE_LINE_BYTES = 1024
MAX_EXTENSION_BYTES = 16_384
MAX_TRAILER_BYTES = 8192
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\r\n]*)?")
_SMALL_CHUNK = re.compile(rb"([1-9A-Fa-f][0-9A-Fa-f]{0,2})\r\n")
_CONTENT_LENGTH = re.compile(r"[0-9]{1,15}")


@dataclasses.dataclass(frozen=True)
class Framing:
    """How the body of a request is delimited.

    Attributes:
      length: Bytes of the body; None for a chunked one.
    """

    length: int | None

    @property
    def chunked(self) -> bool:
        """Returns whether the body comes in chunks."""
        return self.length is None


def framing(lengths: Sequence[str], encodings: Sequence[str]) -> Framing:
    """Returns how a body is delimited.

    Args:
      lengths: Values of all Content-Length headers.
      encodings: Values of all Transfer-Encoding headers.

    Raises:
      RequestError: The headers contradict each other or can't be understood.
    """
    if encodings:
        if lengths:
            raise request_errors.bad_framing(
                "Content-Length and Transfer-Encoding exclude each other"
            )
        if len(encodings) > 1 or encodings[0].strip().lower() != "chunked":
            raise request_errors.bad_framing(
                "the only Transfer-Encoding understood is chunked"
            )
        return Framing(None)
    if not lengths:
        return Framing(0)
    values = {length.strip() for length in lengths}
    if len(values) > 1 or not _CONTENT_LENGTH.fullmatch(min(values)):
        raise request_errors.bad_framing("Content-Length is not a number")
    return Framing(int(values.pop()))


class _Part(enum.Enum):
    SIZE = "size"
    DATA = "data"
    DATA_END = "data end"
    TRAILER = "trailer"
    END = "end"


class ChunkedDecoder:
    """Decodes a chunked body into one buffer.

    Attributes:
      body: What has been decoded, appended to the given buffer.
      chunks: How many chunks have begun.
    """

    def __init__(self, max_body_bytes: int, body: bytearray) -> None:
        self.body = body
        self.chunks = 0
        self._max_body_bytes = max_body_bytes
        self._part = _Part.SIZE
        self._left = 0
        # The beginning of a line whose end has not arrived.
        self._line = b""
        self._extension_bytes = 0
        self._trailer_bytes = 0

    @property
    def complete(self) -> bool:
        """Returns whether the body and its trailers have arrived."""
        return self._part is _Part.END

    def feed(self, data: bytes) -> bytes:
        """Decodes the next bytes; returns those that follow the body.

        Raises:
          RequestError: The body is malformed or exceeds a limit.
        """
        if self._line:
            data = self._line + data
            self._line = b""
        position, end = 0, len(data)
        while self._part is not _Part.END:
            if self._part is _Part.SIZE:
                position = self._take_whole_chunks(data, position)
            if self._part is _Part.DATA:
                stop = min(end, position + self._left)
                self.body += data[position:stop]
                self._left -= stop - position
                position = stop
                if self._left:
                    return b""
                self._part = _Part.DATA_END
            found = data.find(b"\n", position)
            if found < 0:
                self._keep(data[position:])
                return b""
            self._take_line(data[position : found + 1])
            position = found + 1
        return data[position:]

    def _take_whole_chunks(self, data: bytes, position: int) -> int:
        """Decodes small chunks without extensions that have arrived whole."""
        body, max_bytes = self.body, self._max_body_bytes
        while match := _SMALL_CHUNK.match(data, position):
            begin = match.end()
            stop = begin + int(match[1], 16)
            if (
                data[stop : stop + 2] != b"\r\n"
                or len(body) + stop - begin > max_bytes
            ):
                break
            body += data[begin:stop]
            position = stop + 2
            self.chunks += 1
        return position

    def _keep(self, line: bytes) -> None:
        if len(line) > MAX_SIZE_LINE_BYTES:
            self._check_line(line)
        self._line = line

    def _check_line(self, line: bytes) -> None:
        if self._part is _Part.TRAILER:
            if self._trailer_bytes + len(line) > MAX_TRAILER_BYTES:
                raise request_errors.head_too_large("the trailers are too long")
        elif len(line) > MAX_SIZE_LINE_BYTES:
            raise request_errors.bad_framing("a chunk's size line is too long")

    def _take_line(self, line: bytes) -> None:
        if self._part is _Part.TRAILER:
            self._check_line(line)
            self._trailer_bytes += len(line)
            if line in (b"\r\n", b"\n"):
                self._part = _Part.END
        elif self._part is _Part.DATA_END:
            if line not in (b"\r\n", b"\n"):
                raise request_errors.bad_framing("a chunk exceeds its size")
            self._part = _Part.SIZE
        else:
            self._begin_chunk(line)

    def _begin_chunk(self, line: bytes) -> None:
        self._check_line(line)
        text = line.rstrip(b"\r\n")
        match = _CHUNK_SIZE.fullmatch(text)
        if match is None:
            raise request_errors.bad_framing("a chunk's size is not a number")
        self._extension_bytes += len(text) - match.end(1)
        if self._extension_bytes > MAX_EXTENSION_BYTES:
            raise request_errors.bad_framing("chunk extensions are too long")
        self.chunks += 1
        self._left = int(match[1], 16)
        if len(self.body) + self._left > self._max_body_bytes:
            raise request_errors.body_too_large(self._max_body_bytes)
        self._part = _Part.DATA if self._left else _Part.TRAILER
