"""A stand-in for the object store in which workers save checkpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class ObjectStoreStandIn:
    """Objects in memory; PUT and GET by path."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    def __call__(
        self, environ: dict, start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Handles one request."""
        path = environ["PATH_INFO"]
        if environ["REQUEST_METHOD"] == "PUT":
            length = int(environ.get("CONTENT_LENGTH") or 0)
            self._objects[path] = environ["wsgi.input"].read(length)
            start_response("204 No Content", [])
            return []
        data = self._objects.get(path)
        status = "404 Not Found" if data is None else "200 OK"
        start_response(status, [("Content-Length", str(len(data or b"")))])
        return [data or b""]
