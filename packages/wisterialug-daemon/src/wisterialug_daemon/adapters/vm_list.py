"""The platform's VM list: interface and HTTP adapter."""

from __future__ import annotations

import abc

import eventlet
import result
import urllib3
from google.protobuf import json_format

from wisterialug_core.schema import work_pb2
from wisterialug_daemon import errors

_HTTP_OK = 200


class VmListService(abc.ABC):
    """Lists the live and the leaving VMs, with some delay."""

    @abc.abstractmethod
    def read(self) -> result.Result[work_pb2.VmList, errors.VmListError]:
        """Reads the whole list."""


class HttpVmListService(VmListService):
    """Reads the VM list as JSON over HTTP."""

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url.rstrip("/") + "/v1/vms"
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(num_pools=1, maxsize=1, retries=False)

    def close(self) -> None:
        """Closes all connections."""
        self._pool.clear()

    def read(self) -> result.Result[work_pb2.VmList, errors.VmListError]:
        """Reads the whole list."""
        try:
            with eventlet.Timeout(self._timeout_s):
                resp = self._pool.request(
                    "GET", self._url, timeout=self._timeout_s
                )
            if resp.status != _HTTP_OK:
                return result.Err(
                    errors.VmListError(f"HTTP status {resp.status}")
                )
            return result.Ok(
                json_format.Parse(
                    resp.data, work_pb2.VmList(), ignore_unknown_fields=True
                )
            )
        except (
            urllib3.exceptions.HTTPError,
            OSError,
            json_format.ParseError,
            eventlet.Timeout,
        ) as exc:
            return result.Err(errors.VmListError(str(exc)))
