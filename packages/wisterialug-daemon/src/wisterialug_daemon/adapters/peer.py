"""Calls between entry VMs over gRPC."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import eventlet.asyncio
import grpclib.client
import grpclib.exceptions
import grpclib.server
import result

from wisterialug_core.schema import peer_grpc
from wisterialug_daemon import errors, metrics

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from google.protobuf import message

    Handler = Callable[[message.Message], message.Message]


class PeerClient:
    """Keeps a channel open to each peer that was called."""

    def __init__(self) -> None:
        self._channels: dict[tuple[str, int], grpclib.client.Channel] = {}

    def close(self) -> None:
        """Closes all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def close_unused(self, in_use: set[tuple[str, int]]) -> None:
        """Closes the channels to addresses that are no longer in use."""
        for address in self._channels.keys() - in_use:
            self._channels.pop(address).close()

    def call(
        self,
        address: tuple[str, int],
        name: str,
        req: message.Message,
        timeout_s: float,
    ) -> result.Result[message.Message, errors.PeerError]:
        """Calls a method of a peer and waits for the response.

        Args:
          address: IP and peer port.
          name: Method of the Peer service.
          req: The request message.
          timeout_s: Seconds until the call times out.

        Returns:
          The response; PeerUnreachableError if the call was not sent;
          PeerUnansweredError if it may have been carried out.
        """
        metrics.PEER_BYTES.labels("out").inc(req.ByteSize())
        outcome = eventlet.asyncio.spawn_for_awaitable(
            self._call(address, name, req, timeout_s)
        ).wait()
        label = "ok" if outcome.is_ok() else "failed"
        metrics.PEER_CALLS.labels(name, label).inc()
        return outcome

    async def _call(
        self,
        address: tuple[str, int],
        name: str,
        req: message.Message,
        timeout_s: float,
    ) -> result.Result[message.Message, errors.PeerError]:
        channel = self._channels.get(address)
        if channel is None:
            channel = grpclib.client.Channel(*address)
            self._channels[address] = channel
        try:
            await asyncio.wait_for(channel.__connect__(), timeout_s)
        except (OSError, TimeoutError) as exc:
            return result.Err(errors.PeerUnreachableError(str(exc)))
        method = getattr(peer_grpc.PeerStub(channel), name)
        try:
            resp = await method(req, timeout=timeout_s)
        except (
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.StreamTerminatedError,
            grpclib.exceptions.ProtocolError,
            OSError,
            TimeoutError,
        ) as exc:
            return result.Err(errors.PeerUnansweredError(repr(exc)))
        metrics.PEER_BYTES.labels("in").inc(resp.ByteSize())
        return result.Ok(resp)


class PeerServer(peer_grpc.PeerBase):
    """Serves calls of peers; handlers run in greenlets."""

    def __init__(self, handlers: Mapping[str, Handler]) -> None:
        self._handlers = handlers
        self._server = grpclib.server.Server([self])

    def start(self, ip: str, port: int) -> None:
        """Starts to listen."""
        eventlet.asyncio.spawn_for_awaitable(
            self._server.start(ip, port)
        ).wait()

    def close(self) -> None:
        """Stops listening and ends all streams."""
        self._server.close()

    async def _serve(self, name: str, stream: grpclib.server.Stream) -> None:
        req = await stream.recv_message()
        if req is None:
            return
        metrics.PEER_BYTES.labels("in").inc(req.ByteSize())
        resp = await _in_greenlet(self._handlers[name], req)
        metrics.PEER_BYTES.labels("out").inc(resp.ByteSize())
        await stream.send_message(resp)

    async def Exchange(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Serves a heartbeat."""
        await self._serve("Exchange", stream)

    async def PushConfig(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Serves a config delta."""
        await self._serve("PushConfig", stream)

    async def FetchConfig(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Serves a request for a config delta."""
        await self._serve("FetchConfig", stream)

    async def Members(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Serves a request for the members."""
        await self._serve("Members", stream)

    async def Forward(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Serves a forwarded request."""
        await self._serve("Forward", stream)

    async def Describe(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Serves a request for the state of shards and workers."""
        await self._serve("Describe", stream)

    async def WakeShard(self, stream: grpclib.server.Stream) -> None:  # noqa: N802
        """Serves a notice of new work."""
        await self._serve("WakeShard", stream)


def _in_greenlet(
    handler: Callable[[message.Message], message.Message],
    req: message.Message,
) -> Awaitable[message.Message]:
    """Runs a handler in a greenlet that a coroutine can wait for."""
    loop = asyncio.get_running_loop()
    fut: asyncio.Future[message.Message] = loop.create_future()

    def finish(thread: eventlet.greenthread.GreenThread) -> None:
        try:
            resp = thread.wait()
        except Exception as exc:  # noqa: BLE001 - raised in the coroutine
            if not fut.done():
                fut.set_exception(exc)
        else:
            if not fut.done():
                fut.set_result(resp)

    eventlet.spawn(handler, req).link(finish)
    return fut
