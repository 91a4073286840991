"""Queues that accept jobs, looked up by host and path."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialug_core.schema import workflow_pb2


@dataclasses.dataclass(frozen=True)
class Route:
    """The queue for jobs of one host and path prefix.

    Attributes:
      prefix: Prefix of its paths.
      policy: Policy of its jobs.
    """

    name: str
    host: str
    prefix: str
    policy: workflow_pb2.Policy


class RouteTable:
    """All routes of one version of the config."""

    def __init__(self, version: int, routes: tuple[Route, ...]) -> None:
        self.version = version
        self.routes = routes
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for host_routes in self._by_host.values():
            host_routes.sort(key=lambda route: -len(route.prefix))
        self.by_name = {route.name: route for route in routes}

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
