"""Liveness, readiness and Prometheus metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

import prometheus_client

from wisterialug_daemon import metrics
from wisterialug_daemon.http import responses

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class MonitoringApplication:
    """The WSGI application on the metrics port."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready
        self._metrics = prometheus_client.make_wsgi_app(metrics.REGISTRY)

    def __call__(
        self, environ: dict, start_response: responses.StartResponse
    ) -> Iterable[bytes]:
        """Answers one request."""
        path = environ["PATH_INFO"]
        if path == "/livez":
            return responses.json_response(start_response, 200, {"live": True})
        if path == "/readyz":
            ready = self._ready()
            metrics.READY.set(int(ready))
            return responses.json_response(
                start_response, 200 if ready else 503, {"ready": ready}
            )
        if path == "/metrics":
            return self._metrics(environ, start_response)
        return responses.json_response(
            start_response, 404, {"error": f"no such path {path}"}
        )
