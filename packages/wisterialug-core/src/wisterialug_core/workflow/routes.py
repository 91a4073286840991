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
        # By host, length of the prefix and prefix: a host may have thousands of
        # routes, but their prefixes have few lengths.
        self._by_host: dict[str, dict[int, dict[str, Route]]] = {}
        for route in routes:
            lengths = self._by_host.setdefault(route.host, {})
            prefixes = lengths.setdefault(len(route.prefix), {})
            prefixes.setdefault(route.prefix, route)
        self._by_host = {
            host: dict(sorted(lengths.items(), reverse=True))
            for host, lengths in self._by_host.items()
        }
        self.by_name = {route.name: route for route in routes}

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path."""
        for length, prefixes in self._by_host.get(host.lower(), {}).items():
            route = prefixes.get(path[:length])
            if route is not None:
                return route
        return None
