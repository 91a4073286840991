"""A stand-in for the transactional table service."""

from __future__ import annotations

import bisect
import json
import time
from typing import TYPE_CHECKING

import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

MAX_SCAN_ROWS = 1000


class TableStandIn:
    """Rows in memory, with faults that a test can set."""

    def __init__(self) -> None:
        self._rows: dict[str, tuple[int, str]] = {}
        self._keys: list[str] = []
        self._version = 0
        self._faults = {"down": False, "delay_s": 0.0, "lose_answers": 0}
        self._stats = {"reads": 0, "writes": 0, "rows_written": 0, "bytes": 0}
        self._handlers: dict[str, Callable[[dict], dict | None]] = {
            "/v1/read": self._read,
            "/v1/scan": self._scan,
            "/v1/commit": self._commit,
        }

    def __call__(
        self, environ: dict, start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Handles one request."""
        path = environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(length) or b"{}")
        if path == "/v1/faults":
            self._faults.update(body)
            return _reply(start_response, "200 OK", self._faults)
        if path == "/v1/stats":
            return _reply(
                start_response,
                "200 OK",
                {**self._stats, "time": time.monotonic()},
            )
        if self._faults["delay_s"]:
            eventlet.sleep(self._faults["delay_s"])
        if self._faults["down"]:
            return _reply(start_response, "500 Down", {})
        result = self._handlers[path](body)
        self._stats["bytes"] += length + len(json.dumps(result))
        if path == "/v1/commit" and self._faults["lose_answers"] > 0:
            self._faults["lose_answers"] -= 1
            return _reply(start_response, "500 Answer Lost", {})
        if result is None:
            return _reply(start_response, "409 Conflict", {})
        return _reply(start_response, "200 OK", result)

    def _row(self, key: str) -> dict:
        version, value = self._rows.get(key, (0, None))
        return {"key": key, "version": version, "value": value}

    def _read(self, body: dict) -> dict:
        self._stats["reads"] += 1
        return {"rows": [self._row(key) for key in body["keys"]]}

    def _scan(self, body: dict) -> dict:
        self._stats["reads"] += 1
        prefix = body["prefix"]
        limit = min(body["limit"], MAX_SCAN_ROWS)
        index = bisect.bisect_right(self._keys, body["after"])
        index = max(index, bisect.bisect_left(self._keys, prefix))
        rows = []
        while index < len(self._keys) and len(rows) < limit:
            if not self._keys[index].startswith(prefix):
                break
            rows.append(self._row(self._keys[index]))
            index += 1
        return {"rows": rows}

    def _commit(self, body: dict) -> dict | None:
        self._stats["writes"] += 1
        for condition in body["conditions"]:
            current = self._rows.get(condition["key"], (0, None))[0]
            if current != condition["version"]:
                return None
        self._version += 1
        for put in body["puts"]:
            if put["key"] not in self._rows:
                bisect.insort(self._keys, put["key"])
            self._rows[put["key"]] = (self._version, put["value"])
        for key in body["deletes"]:
            if self._rows.pop(key, None) is not None:
                self._keys.remove(key)
        self._stats["rows_written"] += len(body["puts"])
        return {"version": self._version}


def _reply(
    start_response: Callable[..., object], status: str, body: dict
) -> list[bytes]:
    data = json.dumps(body).encode()
    start_response(status, [("Content-Length", str(len(data)))])
    return [data]
