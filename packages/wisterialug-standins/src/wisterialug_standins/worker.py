"""A stand-in for a worker, whose log says what ran when."""

from __future__ import annotations

import json
import secrets
import time
from typing import TYPE_CHECKING

import eventlet
from google.protobuf import json_format

from wisterialug_core.schema import work_pb2
from wisterialug_standins import worker_model

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisterialug_core.decisions import resources

TICK_S = 0.05


class WorkerStandIn:
    """Serves a worker model over HTTP in real time."""

    def __init__(self, capacity: resources.Amount) -> None:
        self._model = worker_model.WorkerModel(secrets.token_hex(4), capacity)
        self._speed = 1.0
        eventlet.spawn(self._tick_loop)

    def __call__(
        self, environ: dict, start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Answers one call."""
        path = environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        if path == "/v1/sync":
            req = json_format.Parse(body, work_pb2.WorkerSyncRequest())
            resp = self._model.sync(req, _clock_ms())
            data = json_format.MessageToJson(resp, indent=None).encode()
        elif path == "/v1/behaviour":
            behaviour = json.loads(body)
            self._model.fail = behaviour.get("fail", self._model.fail)
            self._speed = behaviour.get("speed", self._speed)
            data = b"{}"
        else:
            data = json.dumps(self._report()).encode()
        start_response("200 OK", [("Content-Length", str(len(data)))])
        return [data]

    def _tick_loop(self) -> None:
        last = time.monotonic()
        while True:
            eventlet.sleep(TICK_S)
            now = time.monotonic()
            elapsed_ms = (now - last) * 1000 * self._speed
            self._model.advance(elapsed_ms, _clock_ms())
            last = now

    def _report(self) -> dict:
        return {
            "overcommitted": self._model.overcommitted,
            "incarnation": self._model.incarnation,
            "runs": [
                {
                    "task": run.task,
                    "attempt": run.attempt,
                    "resumed_ms": run.resumed_ms,
                    "checkpoint_ms": run.checkpoint_ms,
                    "started_ms": run.started_ms,
                    "ended_ms": run.ended_ms,
                    "end": run.end,
                }
                for run in self._model.log
            ],
        }


def _clock_ms() -> int:
    return int(time.monotonic() * 1000)
