"""The platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import collections
import time
import urllib.parse
from typing import Any

from review.standins import http_server

MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_NAME_BYTES = 200
MAX_ROWS = 500
ROW_BYTES = 65_536
HISTORY_S = 20.0
MAX_WAIT_MS = 30_000
ANSWER_S = 0.004

Key = tuple[str, str, str]


class RowStore:
    """Rows with one version counter, transactions and a feed.

    Attributes:
      refused: Calls that were not valid, with the reason.
      largest_bytes: Size of the largest value that was sent.
    """

    def __init__(self) -> None:
        self._rows: dict[Key, tuple[int, bytes]] = {}
        self._version = 0
        # Version, time and row of each change; None for a removed one.
        self._log: collections.deque[tuple[int, float, Key, bytes | None]] = (
            collections.deque()
        )
        self._forgotten = 0
        self._changed = asyncio.Event()
        self.refused: collections.Counter[str] = collections.Counter()
        self.largest_bytes = 0

    def put(self, key: Key, value: bytes) -> None:
        """Writes a row as the operator or a server does."""
        self._apply({key: value}, [])

    def remove(self, key: Key) -> None:
        """Removes a row as the platform does."""
        self._apply({}, [key])

    async def handle(
        self, request: http_server.Request
    ) -> http_server.Response:
        """Answers a call."""
        path, _, query = request.target.partition("?")
        names = dict(urllib.parse.parse_qsl(query))
        await asyncio.sleep(ANSWER_S)
        if path == "/rows-tx":
            return self._transact(request)
        if path == "/rows-get":
            return self._get(names)
        if path == "/rows-feed":
            return await self._feed(names)
        return http_server.Response(404, {})

    def _refuse(self, reason: str) -> http_server.Response:
        self.refused[reason] += 1
        return http_server.Response(400, {"error": reason})

    def _transact(self, request: http_server.Request) -> http_server.Response:
        fields = request.fields()
        expected = fields.get("expected_rev", [])
        writes = fields.get("writes", [])
        remove = fields.get("remove", [])
        entries = [*expected, *writes, *remove]
        if len(entries) > MAX_ENTRIES:
            return self._refuse("more than 100 entries")
        if len(request.body) > MAX_CALL_BYTES:
            return self._refuse("more than 1 MB")
        if len({e["part"] for e in entries}) > 1 and not fields.get("across"):
            return self._refuse("several parts")
        if any(_key(e)[0] in {"op", "servers"} for e in [*writes, *remove]):
            return http_server.Response(403, {})
        if any(len(text) > MAX_NAME_BYTES for e in entries for text in _key(e)):
            return self._refuse("a name of more than 200 bytes")
        values = {_key(e): base64.b64decode(e["value"]) for e in writes}
        sizes = [self.largest_bytes, *map(len, values.values())]
        self.largest_bytes = max(sizes)
        if any(len(value) > ROW_BYTES for value in values.values()):
            return self._refuse("a value of more than row_bytes")
        if any(
            self._rows.get(_key(e), (0, b""))[0] != e["ver"] for e in expected
        ):
            return http_server.Response(
                412,
                self._answer([_row(_key(e), self._rows) for e in expected]),
            )
        self._apply(values, [_key(e) for e in remove])
        return http_server.Response(200, self._answer(None))

    def _apply(self, values: dict[Key, bytes], remove: list[Key]) -> None:
        now_s = time.monotonic()
        self._version += 1
        for key, value in values.items():
            self._rows[key] = self._version, value
            self._log.append((self._version, now_s, key, value))
        for key in remove:
            if self._rows.pop(key, None):
                self._log.append((self._version, now_s, key, None))
        while self._log and self._log[0][1] < now_s - HISTORY_S:
            self._forgotten = self._log.popleft()[0]
        self._changed.set()
        self._changed = asyncio.Event()

    def _get(self, names: dict[str, str]) -> http_server.Response:
        start, end = names.get("from", ""), names.get("target", "")
        keys = sorted(
            key
            for key in self._rows
            if key[0] == names["table"]
            and key[1] == names.get("part", "")
            and key[2] >= start
            and (not end or key[2] < end)
        )
        rows, size = [], 0
        for key in keys[:MAX_ROWS]:
            row = _row(key, self._rows)
            size += len(row["value"])
            if rows and size > MAX_CALL_BYTES:
                break
            rows.append(row)
        answer = self._answer(rows)
        answer["has_more"] = len(rows) < len(keys)
        return http_server.Response(200, answer)

    async def _feed(self, names: dict[str, str]) -> http_server.Response:
        table, after = names["table"], int(names["after"])
        wait_ms = min(MAX_WAIT_MS, int(names.get("wait_ms", "0")))
        until_s = time.monotonic() + wait_ms / 1000
        while True:
            if after < self._forgotten:
                return http_server.Response(410, {})
            changed = self._changed
            rows = [
                _change(version, key, value)
                for version, _, key, value in self._log
                if version > after and key[0] == table
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return http_server.Response(200, self._answer(rows))
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _answer(self, rows: list[dict[str, Any]] | None) -> dict[str, Any]:
        answer: dict[str, Any] = {
            "ver": self._version,
            "now_ms": int(time.monotonic() * 1000),
        }
        if rows is not None:
            answer["rows"] = rows
        return answer


def _key(entry: dict[str, Any]) -> Key:
    return entry["table"], entry.get("part", ""), entry["key"]


def _row(key: Key, rows: dict[Key, tuple[int, bytes]]) -> dict[str, Any]:
    version, value = rows.get(key, (0, b""))
    return _change(version, key, value)


def _change(version: int, key: Key, value: bytes | None) -> dict[str, Any]:
    row: dict[str, Any] = {
        "table": key[0],
        "part": key[1],
        "key": key[2],
        "ver": version,
    }
    if value is None:
        row["tombstone"] = True
    else:
        row["value"] = base64.b64encode(value).decode()
    return row
