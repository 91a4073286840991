"""A stand-in for the platform's VM list."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


class VmListStandIn:
    """Serves the list that a test has posted.

    Views replace addresses for single readers, to insert fault proxies.
    """

    def __init__(self) -> None:
        self._vms: dict[str, dict] = {}
        self._views: dict[str, dict[str, dict]] = {}

    def __call__(
        self, environ: dict, start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Handles one request."""
        path = environ["PATH_INFO"]
        if environ["REQUEST_METHOD"] == "POST":
            length = int(environ.get("CONTENT_LENGTH") or 0)
            body = json.loads(environ["wsgi.input"].read(length))
            self._vms = {vm["id"]: vm for vm in body["vms"]}
            self._views = body.get("views", {})
        view = self._views.get(path.strip("/").split("/")[0], {})
        vms = [{**vm, **view.get(vm["id"], {})} for vm in self._vms.values()]
        data = json.dumps({"vms": vms}).encode()
        start_response("200 OK", [("Content-Length", str(len(data)))])
        return [data]
