"""A stand-in for a worker that logs when each attempt ran."""

from __future__ import annotations

import json
import secrets
import time
from typing import TYPE_CHECKING

import eventlet
import urllib3
from google.protobuf import json_format

from wisterialug_core.schema import work_pb2
from wisterialug_standins import worker_model

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisterialug_core.decisions import resources

TICK_S = 0.05
# The previous worker may still be writing the checkpoint.
MAX_CHECKPOINT_READS = 40
_STOPPED_EARLY = ("ATTEMPT_END_EVICTED", "ATTEMPT_END_LAPSED")


class WorkerStandIn:
    """Serves a worker model over HTTP in real time."""

    def __init__(self, capacity: resources.Amount, object_url: str) -> None:
        self._model = worker_model.WorkerModel(secrets.token_hex(4), capacity)
        self._speed = 1.0
        self._objects = urllib3.PoolManager(num_pools=1, retries=False)
        self._object_url = object_url
        self._saved_checkpoints: set[worker_model.AttemptKey] = set()
        self._lost_checkpoints = 0
        eventlet.spawn(self._tick_loop)

    def __call__(
        self, environ: dict, start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        """Handles one request."""
        path = environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        if path == "/v1/sync":
            req = json_format.Parse(body, work_pb2.WorkerSyncRequest())
            logged = len(self._model.log)
            resp = self._model.sync(req, _monotonic_ms())
            self._save_checkpoints()
            for run in self._model.log[logged:]:
                if run.resumed_ms:
                    eventlet.spawn(self._read_checkpoint, run)
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
            self._model.advance(elapsed_ms, _monotonic_ms())
            self._save_checkpoints()
            last = now

    def _save_checkpoints(self) -> None:
        """Stores the checkpoint of each attempt that stopped early."""
        for run in list(self._model.log):
            key = (run.task, run.attempt)
            if run.end not in _STOPPED_EARLY or key in self._saved_checkpoints:
                continue
            self._saved_checkpoints.add(key)
            self._objects.request(
                "PUT",
                f"{self._object_url}/checkpoints/{run.task}",
                body=str(run.checkpoint_ms).encode(),
            )

    def _read_checkpoint(self, run: worker_model.Run) -> None:
        url = f"{self._object_url}/checkpoints/{run.task}"
        for _ in range(MAX_CHECKPOINT_READS):
            stored = self._objects.request("GET", url).data
            if int(stored or 0) >= run.resumed_ms:
                return
            eventlet.sleep(TICK_S)
        self._lost_checkpoints += 1

    def _report(self) -> dict:
        return {
            "overcommitted": self._model.overcommitted,
            "lost_checkpoints": self._lost_checkpoints,
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


def _monotonic_ms() -> int:
    return int(time.monotonic() * 1000)
