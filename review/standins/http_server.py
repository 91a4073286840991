"""A small HTTP/1.1 server and client on asyncio."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class Request(NamedTuple):
    """A request as received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    def fields(self) -> dict[str, Any]:
        """Returns the fields of the body."""
        return json.loads(self.body or b"{}")


class Response(NamedTuple):
    """A response to be sent, or one that was received."""

    status: int
    fields: dict[str, Any]


class Server:
    """Serves one address; can fall silent or reset its connections.

    Attributes:
      silent: What arrives is not read, and nothing is sent.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        handle: Callable[[Request], Awaitable[Response]],
    ) -> None:
        self._ip = ip
        self._port = port
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Set when the server stops or a silence ends.
        self._dropped = asyncio.Event()
        self.silent = False

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, self._port
        )

    def stop(self) -> None:
        """Closes the port and resets all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self._drop_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, OSError
        ):
            while True:
                request = await _read_request(reader)
                await self._while_silent()
                response = await self._handle(request)
                await self._while_silent()
                body = json.dumps(response.fields).encode()
                writer.write(
                    f"HTTP/1.1 {response.status} X\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        self._writers.discard(writer)
        writer.transport.abort()

    async def _while_silent(self) -> None:
        if self.silent:
            # What a cut holds up is lost with the channel.
            await self._dropped.wait()
            raise ConnectionResetError

    def heal(self) -> None:
        """Ends the silence; channels from before are reset."""
        self.silent = False
        self._drop_all()

    def _drop_all(self) -> None:
        self._dropped.set()
        self._dropped = asyncio.Event()
        for writer in list(self._writers):
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines if line)
    }
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    host: str,
    fields: dict[str, Any] | None,
    timeout_s: float,
) -> Response | None:
    """Calls a server once; None without a whole response."""
    body = b"" if fields is None else json.dumps(fields).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
        "Content-Type: application/json\r\nConnection: close\r\n"
        f"X-Timeout-Ms: {int(timeout_s * 1000)}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(head.encode() + body)
                await writer.drain()
                answer = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None
    top, separator, rest = answer.partition(b"\r\n\r\n")
    if not separator:
        return None
    try:
        return Response(int(top.split(b" ", 2)[1]), json.loads(rest or b"{}"))
    except ValueError:
        return None
