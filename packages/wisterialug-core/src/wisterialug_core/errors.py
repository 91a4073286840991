"""Error types of wisterialug_core."""

from __future__ import annotations

import dataclasses


class CoreError(Exception):
    """Base of all errors that wisterialug_core reports."""


@dataclasses.dataclass(frozen=True)
class SettingError(CoreError):
    """Reports one setting whose value is not allowed."""

    name: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"setting {self.name}: {self.value!r} is not allowed; allowed: {self.allowed}"


@dataclasses.dataclass(frozen=True)
class CellError(CoreError):
    """Reports one cell of the table of weights and limits that is invalid."""

    row: str
    column: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return (
            f"row {self.row}, column {self.column}: {self.value!r} is not"
            f" allowed; allowed: {self.allowed}"
        )


@dataclasses.dataclass(frozen=True)
class CellConflictError(CoreError):
    """Reports a cell that another operator changed first."""

    key: str
    column: str
    base: str
    current: str
    value: str

    def __str__(self) -> str:
        return (
            f"row {self.key}, column {self.column}: changed from"
            f" {self.base!r} to {self.current!r} by another operator;"
            f" {self.value!r} was not applied"
        )


class RevisionGapError(CoreError):
    """Reports a config delta that starts after the applied revision."""


@dataclasses.dataclass(frozen=True)
class FieldError(CoreError):
    """Reports one field of a request body that is invalid."""

    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"field {self.field}: {self.value!r} is not allowed; allowed: {self.allowed}"
