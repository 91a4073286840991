"""The platform's store over HTTP, behind a link of a given rate."""

import base64
import json
import urllib.parse

import eventlet

from wisterialug_daemon.http import responses, server
from wisterialug_daemon.workflow import clock

READ_TIMEOUT_S = 1.0
PIECE_BYTES = 8192


class ThinLink:
    """A link that all responses share, piece by piece."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self._free_s = 0.0

    def send(self, data):
        for start in range(0, len(data), PIECE_BYTES):
            piece = data[start : start + PIECE_BYTES]
            begins_s = max(self._free_s, clock.now_s())
            self._free_s = begins_s + len(piece) / self.bytes_per_s
            eventlet.sleep(max(0.0, self._free_s - clock.now_s()))
            yield piece


class ThinStore:
    """Answers scans and feeds of a store in memory.

    A feed holds each change of a row, not only the latest.

    Attributes:
      requests: Paths of all requests.
      refusing: All requests are refused.
      stalled_after: Bytes of a response after which it pauses; None if not.
      pause_s: How long it pauses.
    """

    def __init__(self, rows, bytes_per_s):
        self.link = ThinLink(bytes_per_s)
        self.requests = []
        self.refusing = False
        self.stalled_after = None
        self.pause_s = 60.0
        self._rows = rows
        self._server = server.WsgiServer("127.0.0.1", 0, self._answer)

    @property
    def address(self):
        return f"127.0.0.1:{self._server.port}"

    def close(self):
        self._server.close()

    def _answer(self, environ, start_response):
        path = environ["PATH_INFO"]
        self.requests.append(path)
        if self.refusing:
            return responses.json_response(start_response, 503, {})
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"], True))
        read = read_feed if "feed" in path else read_scan
        found = read(self._rows, query)
        if found is None:
            return responses.json_response(start_response, 410, {})
        data = json.dumps(answer_fields(*found)).encode()
        start_response("200 OK", [("Content-Length", str(len(data)))])
        return self._send(data)

    def _send(self, data):
        sent = 0
        for piece in self.link.send(data):
            if self.stalled_after is not None and sent >= self.stalled_after:
                self.stalled_after = None
                eventlet.sleep(self.pause_s)
            yield piece
            sent += len(piece)


def read_feed(rows, query):
    """Returns the version and all changes after one; None if they are lost."""
    table, after = query["table"], int(query["after"])
    outcome = rows.watch(table, after, int(query["wait_ms"]) / 1000)
    if outcome.is_err():
        return None
    return outcome.ok_value.version, rows.history(table, after)


def read_scan(rows, query):
    """Returns the version and the rows of a part."""
    snapshot = rows.scan(
        query["table"],
        query["part"],
        query.get("from", ""),
        query.get("target", ""),
        timeout_s=READ_TIMEOUT_S,
    ).ok_value
    found = [(row.version, row.ref, row.value) for row in snapshot.rows]
    return snapshot.version, found


def answer_fields(version, changes):
    """Returns the fields of an answer with rows."""
    rows = [entry(*change) for change in changes]
    return {"rows": rows, "ver": version, "has_more": False}


def entry(version, ref, value):
    """Returns the fields of one row."""
    fields = {**ref._asdict(), "ver": version}
    if value is None:
        return {**fields, "tombstone": True}
    return {**fields, "value": base64.b64encode(value).decode()}
