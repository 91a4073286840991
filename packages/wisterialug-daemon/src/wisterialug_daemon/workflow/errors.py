"""Errors of calls to the store and to workers."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from wisterialug_daemon import errors

if TYPE_CHECKING:
    from wisterialug_core.workflow import model


class StoreError(errors.DaemonError):
    """Base of all errors of the store."""


@dataclasses.dataclass(frozen=True)
class StoreRefusedError(StoreError):
    """Reports a call that the store did not execute."""

    reason: str

    def __str__(self) -> str:
        return f"the store did not execute the call: {self.reason}"


class StoreRejectedError(StoreRefusedError):
    """Reports a call that the store will not execute, however often repeated."""

    def __str__(self) -> str:
        return f"the store rejects the call: {self.reason}"


@dataclasses.dataclass(frozen=True)
class StoreUnknownError(StoreError):
    """Reports a call of unknown outcome; it may still take effect."""

    reason: str

    def __str__(self) -> str:
        return f"no response from the store: {self.reason}"


class HistoryLostError(StoreError):
    """Reports that changes since a version are no longer available."""

    def __str__(self) -> str:
        return "the store has no changes since that version any more"


class AnswerTooLargeError(StoreError):
    """Reports an answer that was not read, as it exceeds the given limit."""

    def __str__(self) -> str:
        return "the answer exceeds its limit and was not read"


class Rejection(enum.Enum):
    """Why a worker rejected an order."""

    FENCED = "fenced"
    OLD_RUN = "old run"
    EXPIRED = "expired"
    NO_ROOM = "no room"
    NO_TICKET = "no ticket"
    INVALID = "invalid"


class WorkerError(errors.DaemonError):
    """Base of all errors of calls to workers."""


@dataclasses.dataclass(frozen=True)
class RejectedError(WorkerError):
    """Reports an order that the worker understood and rejected."""

    reason: Rejection

    def __str__(self) -> str:
        return f"rejected: {self.reason.value}"


class UnwellError(WorkerError):
    """Reports an order not executed because the worker is unavailable."""

    def __str__(self) -> str:
        return "worker unavailable; order not executed"


class NotSentError(WorkerError):
    """Reports an order not sent, as too many others await a response."""

    def __str__(self) -> str:
        return "not sent; other orders to the worker await a response"


@dataclasses.dataclass(frozen=True)
class OtherLifeError(WorkerError):
    """Reports that another incarnation of the worker has answered.

    Attributes:
      incarnation: The one that has carried the call out; None if it refused,
        since it has another name.
    """

    incarnation: model.Incarnation | None = None

    def __str__(self) -> str:
        if self.incarnation is None:
            return "worker has restarted under another name"
        return f"worker has restarted as {self.incarnation}"


@dataclasses.dataclass(frozen=True)
class NoAnswerError(WorkerError):
    """Reports an order of unknown outcome; it may still take effect."""

    reason: str

    def __str__(self) -> str:
        return f"no response: {self.reason}"
