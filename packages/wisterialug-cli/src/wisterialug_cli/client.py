"""HTTP client of an entry VM's operator API."""

from __future__ import annotations

import json
import pathlib
from typing import TYPE_CHECKING

import urllib3

from wisterialug_cli import errors

if TYPE_CHECKING:
    from wisterialug_core.schema import settings_pb2

_HTTP_OK = 200
_EXIT_CODES = {
    401: errors.ExitCode.UNAUTHORIZED,
    409: errors.ExitCode.CONFLICT,
    503: errors.ExitCode.UNAVAILABLE,
}


class Client:
    """Sends requests with the operator token."""

    def __init__(self, cfg: settings_pb2.ClientSettings) -> None:
        self._cfg = cfg
        self._pool = urllib3.PoolManager(num_pools=1, retries=False)
        self._headers = {
            "Authorization": f"Bearer {_read_token(cfg.token_file)}",
            "Content-Type": "application/json",
        }

    def get(self, path: str) -> object:
        """Sends a GET request; returns the JSON response."""
        return self._call("GET", path, None, self._cfg.timeout_s)

    def post(
        self, path: str, body: dict, *, extra_timeout_s: float = 0.0
    ) -> object:
        """Posts JSON; returns the JSON response."""
        return self._call(
            "POST", path, body, self._cfg.timeout_s + extra_timeout_s
        )

    def _call(
        self, method: str, path: str, body: dict | None, timeout_s: float
    ) -> object:
        try:
            resp = self._pool.request(
                method,
                self._cfg.server + path,
                body=None if body is None else json.dumps(body).encode(),
                headers=self._headers,
                timeout=timeout_s,
            )
            content = json.loads(resp.data)
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            raise errors.CliError(
                errors.ExitCode.UNREACHABLE,
                f"{self._cfg.server} can't be reached",
                [str(exc)],
            ) from exc
        if resp.status == _HTTP_OK:
            return content
        raise errors.CliError(
            _EXIT_CODES.get(resp.status, errors.ExitCode.REFUSED),
            content.get("title", f"HTTP status {resp.status}"),
            content.get("details", []),
        )


def _read_token(name: str) -> str:
    """Reads the operator token; error messages never contain it."""
    try:
        token = pathlib.Path(name).read_text(encoding="ascii").strip()
    except OSError as exc:
        raise errors.CliError(
            errors.ExitCode.USAGE,
            f"the token file {name} can't be read",
            [exc.strerror or type(exc).__name__],
        ) from None
    except UnicodeDecodeError:
        token = ""
    if not token or not token.isprintable() or " " in token:
        raise errors.CliError(
            errors.ExitCode.USAGE,
            f"the token file {name} must contain a single token",
            ["printable ASCII characters, without spaces or line breaks"],
        )
    return token
