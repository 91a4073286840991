"""Errors of the command line, each with its exit code."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit codes; docs/operators.md lists them."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNAUTHORIZED = 5
    NOT_IN_FORCE = 6
    UNAVAILABLE = 7


class CliError(Exception):
    """An error that ends the program with a message and an exit code."""

    def __init__(
        self, code: ExitCode, title: str, details: list[str] | None = None
    ) -> None:
        super().__init__(title)
        self.code = code
        self.title = title
        self.details = details or []
