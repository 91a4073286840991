"""A stand-in for a service instance that logs the requests it ran."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING

import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

STUCK_S = 3600.0


class InstanceStandIn:
    """Echoes each request after a random service time."""

    def __init__(self, name: str, mean_s: float, slots: int) -> None:
        self._name = name
        self._mean_s = mean_s
        self._slots = slots
        self._rng = random.Random(name)
        self._in_flight = 0
        self._max_in_flight = 0
        self._runs: list[str] = []
        self._count = 0
        self._behaviour = {
            "slow_factor": 1.0,
            "fail": False,
            "stuck": False,
            "refuse": False,
            "log": True,
        }

    def __call__(
        self, environ: dict, start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Handles one request or control call."""
        path = environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        if path == "/-/behaviour":
            self._behaviour.update(json.loads(body))
            return _reply(start_response, "200 OK", b"{}")
        if path == "/-/log":
            return _reply(start_response, "200 OK", self._report())
        if self._behaviour["refuse"]:
            start_response(
                "503 Service Unavailable",
                [("Wisterialug-Not-Run", "1"), ("Content-Length", "0")],
            )
            return [b""]
        return self._serve(environ, path, body, start_response)

    def _serve(
        self,
        environ: dict,
        path: str,
        body: bytes,
        start_response: Callable[..., object],
    ) -> Iterable[bytes]:
        self._in_flight += 1
        self._max_in_flight = max(self._max_in_flight, self._in_flight)
        self._count += 1
        tag = environ.get("HTTP_X_REQUEST_ID", "")
        if self._behaviour["log"]:
            self._runs.append(tag)
        try:
            if self._behaviour["stuck"]:
                eventlet.sleep(STUCK_S)
            if not self._behaviour["fail"]:
                eventlet.sleep(self._service_time_s())
        finally:
            self._in_flight -= 1
        if self._behaviour["fail"]:
            # Closes the connection without a response.
            environ["eventlet.input"].get_socket().close()
            raise OSError("connection closed: instance is set to fail")
        echo = {
            "instance": self._name,
            "method": environ["REQUEST_METHOD"],
            "path": path,
            "tag": tag,
            "body": body.decode("latin-1"),
            "traceparent": environ.get("HTTP_TRACEPARENT", ""),
        }
        return _reply(start_response, "200 OK", json.dumps(echo).encode())

    def _service_time_s(self) -> float:
        factor = self._rng.expovariate(1.0) if self._mean_s else 0.0
        return factor * self._mean_s * self._behaviour["slow_factor"]

    def _report(self) -> bytes:
        return json.dumps(
            {
                "max_in_flight": self._max_in_flight,
                "in_flight": self._in_flight,
                "count": self._count,
                "slots": self._slots,
                "runs": self._runs,
            }
        ).encode()


def _reply(
    start_response: Callable[..., object], status: str, body: bytes
) -> list[bytes]:
    start_response(
        status,
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ],
    )
    return [body]
