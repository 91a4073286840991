"""The operators' interface: JSON over HTTP with a bearer token."""

from __future__ import annotations

import hmac
import json
import re
from typing import TYPE_CHECKING

from absl import logging
from google.protobuf import json_format

from wisterialug_core.schema import work_pb2
from wisterialug_daemon import errors
from wisterialug_daemon.http import request_errors, responses

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisterialug_daemon import jobs, operations

    Handler = Callable[..., object]

MAX_BODY_BYTES = 8 * 1024 * 1024
NAME = r"([A-Za-z0-9_.-]+)"


class OperatorsApplication:
    """The WSGI application on the operators' port."""

    def __init__(
        self, token: str, ops: operations.Operations, jobs_: jobs.Jobs
    ) -> None:
        self._token = token.encode()
        self._jobs = jobs_
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = [
            (method, re.compile(pattern), handler)
            for method, pattern, handler in (
                ("GET", "/v1/status", ops.status),
                ("GET", "/v1/table", ops.export_table),
                ("POST", "/v1/table/apply", ops.apply_table),
                ("POST", "/v1/in-force", ops.in_force),
                ("GET", "/v1/services", ops.list_services),
                ("POST", "/v1/services", ops.create_service),
                ("POST", f"/v1/services/{NAME}/{NAME}", ops.set_service_state),
                ("GET", "/v1/vms", ops.list_vms),
                ("POST", "/v1/drains", ops.drain),
                ("GET", "/v1/workers", jobs_.workers),
                ("GET", "/v1/jobs", jobs_.list),
                ("POST", "/v1/jobs", self._submit),
                ("GET", f"/v1/jobs/{NAME}", jobs_.show),
                ("POST", f"/v1/jobs/{NAME}/cancel", self._cancel),
                ("GET", f"/v1/jobs/{NAME}/explain", jobs_.explain),
            )
        ]

    def __call__(
        self, environ: dict, start_response: responses.StartResponse
    ) -> Iterable[bytes]:
        """Answers one request."""
        try:
            body = self._dispatch(environ)
        except errors.OperatorError as exc:
            return responses.json_response(
                start_response,
                exc.status,
                {"title": exc.title, "details": exc.details},
            )
        except request_errors.RequestError as exc:
            return responses.json_response(
                start_response,
                exc.status,
                {"title": exc.detail, "details": []},
                responses.retry_after(exc.retry_after_s),
            )
        except Exception:  # noqa: BLE001 - reported to the operator
            logging.exception("operator request failed")
            return responses.json_response(
                start_response, 500, {"title": "internal error", "details": []}
            )
        return responses.json_response(start_response, 200, body)

    def _dispatch(self, environ: dict) -> object:
        given = environ.get("HTTP_AUTHORIZATION", "").removeprefix("Bearer ")
        if not hmac.compare_digest(given.encode(), self._token):
            raise errors.OperatorError(401, "the token is wrong", [])
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        for route_method, pattern, handler in self._routes:
            match = pattern.fullmatch(path)
            if match is None or route_method != method:
                continue
            if method == "POST":
                return handler(*match.groups(), _json_body(environ))
            return handler(*match.groups())
        raise errors.OperatorError(404, f"no such call: {method} {path}", [])

    def _submit(self, body: dict) -> object:
        try:
            job = json_format.ParseDict(body, work_pb2.Job())
        except json_format.ParseError as exc:
            raise errors.OperatorError(
                400, "the job is not valid", [str(exc)]
            ) from exc
        return {"id": self._jobs.submit(job).id}

    def _cancel(self, job_id: str, body: dict) -> object:
        del body
        return {"id": self._jobs.cancel(job_id).id, "cancelled": True}


def _json_body(environ: dict) -> dict:
    try:
        body = json.loads(environ["wsgi.input"].read() or b"{}")
    except ValueError as exc:
        raise errors.OperatorError(
            400, "the body is not JSON", [str(exc)]
        ) from exc
    if not isinstance(body, dict):
        raise errors.OperatorError(400, "the body is not a JSON object", [])
    return body
