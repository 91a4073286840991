"""Calls to service instances and workers over HTTP."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

import eventlet
import result
import urllib3
from google.protobuf import json_format

from wisterialug_core.schema import work_pb2
from wisterialug_daemon import errors, tracing

if TYPE_CHECKING:
    from collections.abc import Mapping

# Set by an upstream on a 503 where it did not run the request.
NOT_RUN_HEADER = "Wisterialug-Not-Run"
_HTTP_OK = 200
_HTTP_UNAVAILABLE = 503


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete response of an upstream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class UpstreamClient(abc.ABC):
    """Sends requests to service instances."""

    @abc.abstractmethod
    def send(
        self,
        address: tuple[str, int],
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> result.Result[Response, errors.UpstreamError]:
        """Sends one request and reads the whole response."""


class HttpUpstreamClient(UpstreamClient):
    """Pools connections; one on which a call failed is not reused."""

    def __init__(self, connections: int, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._pools = urllib3.PoolManager(
            num_pools=256, maxsize=connections, block=False, retries=False
        )

    def close(self) -> None:
        """Closes all connections."""
        self._pools.clear()

    def send(
        self,
        address: tuple[str, int],
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> result.Result[Response, errors.UpstreamError]:
        """Sends one request and reads the whole response.

        Args:
          address: IP and port of the instance.
          method: HTTP method.
          path: Path and query.
          headers: Headers to send.
          body: Body to send.
          timeout_s: Seconds until the whole response must have been read.

        Returns:
          The response, whatever its status; UpstreamNotSentError if nothing
          was sent; UpstreamRefusedError if the instance reports that it did
          not run the request; UpstreamUnansweredError otherwise.
        """
        pool = self._pools.connection_from_host(*address)
        try:
            with eventlet.Timeout(timeout_s):
                # Reads the body up to its declared length; a shorter one
                # raises, and any exception closes the connection.
                resp = pool.urlopen(
                    method,
                    path,
                    body=body,
                    headers=dict(headers),
                    redirect=False,
                    retries=False,
                    decode_content=False,
                    assert_same_host=False,
                    timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
                )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            return result.Err(errors.UpstreamNotSentError(str(exc)))
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            return result.Err(errors.UpstreamUnansweredError(str(exc)))
        except eventlet.Timeout:
            return result.Err(errors.UpstreamUnansweredError("timeout"))
        if resp.status == _HTTP_UNAVAILABLE and resp.headers.get(
            NOT_RUN_HEADER
        ):
            return result.Err(
                errors.UpstreamRefusedError(
                    resp.headers.get("Retry-After", "1")
                )
            )
        return result.Ok(
            Response(resp.status, tuple(resp.headers.items()), resp.data)
        )


class WorkerClient(abc.ABC):
    """Exchanges messages with workers."""

    @abc.abstractmethod
    def sync(
        self,
        address: tuple[str, int],
        req: work_pb2.WorkerSyncRequest,
        timeout_s: float,
    ) -> result.Result[work_pb2.WorkerSyncResponse, errors.UpstreamError]:
        """Sends one message and returns the worker's response."""


class HttpWorkerClient(WorkerClient):
    """Sends protobuf messages as JSON over HTTP."""

    def __init__(self) -> None:
        self._pools = urllib3.PoolManager(
            num_pools=256, maxsize=1, block=False, retries=False
        )

    def close(self) -> None:
        """Closes all connections."""
        self._pools.clear()

    def sync(
        self,
        address: tuple[str, int],
        req: work_pb2.WorkerSyncRequest,
        timeout_s: float,
    ) -> result.Result[work_pb2.WorkerSyncResponse, errors.UpstreamError]:
        """Sends one message and returns the worker's response."""
        url = f"http://{address[0]}:{address[1]}/v1/sync"
        try:
            with eventlet.Timeout(timeout_s), tracing.span("worker sync"):
                resp = self._pools.request(
                    "POST",
                    url,
                    body=json_format.MessageToJson(req, indent=None).encode(),
                    headers=tracing.outgoing_headers(),
                    timeout=timeout_s,
                )
            if resp.status != _HTTP_OK:
                return result.Err(
                    errors.UpstreamUnansweredError(f"HTTP {resp.status}")
                )
            return result.Ok(
                json_format.Parse(resp.data, work_pb2.WorkerSyncResponse())
            )
        except (
            urllib3.exceptions.HTTPError,
            OSError,
            json_format.ParseError,
            eventlet.Timeout,
        ) as exc:
            return result.Err(errors.UpstreamUnansweredError(str(exc)))
