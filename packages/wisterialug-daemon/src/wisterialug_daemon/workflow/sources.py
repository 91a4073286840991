"""Interfaces to the list of workers and the config."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import result

    from wisterialug_core.workflow import evacuations, model, routes
    from wisterialug_daemon.workflow import errors, row_store


@dataclasses.dataclass(frozen=True)
class WorkerChanges:
    """Changes of the list of workers.

    Attributes:
      complete: The reports are the whole list, not only what changed.
      cursor: Version from which to watch.
    """

    reports: tuple[model.WorkerReport, ...]
    removed: tuple[str, ...]
    complete: bool
    cursor: int


class WorkerRegistry(abc.ABC):
    """List of the workers, as they report themselves."""

    @abc.abstractmethod
    def read(self) -> result.Result[WorkerChanges, errors.StoreError]:
        """Reads the whole list."""

    @abc.abstractmethod
    def watch(
        self, cursor: int, wait_s: float
    ) -> result.Result[WorkerChanges, errors.StoreError]:
        """Waits for changes."""


@dataclasses.dataclass(frozen=True)
class ConfigChange:
    """What operators have changed.

    Attributes:
      table: The newest config; None where it has not changed or is unreadable.
      cursor: Version from which to watch.
      evacuations: Changes of the data centres out of service; None where the
        source does not follow them.
      transfer: How the change has arrived, if that is known.
      decode_s: How long decoding the table took.
    """

    table: routes.RouteTable | None
    cursor: int
    evacuations: evacuations.Changes | None = None
    transfer: row_store.Transfer | None = None
    decode_s: float = 0.0


class ConfigSource(abc.ABC):
    """The operators' config of queues."""

    @abc.abstractmethod
    def read(self) -> result.Result[ConfigChange, errors.StoreError]:
        """Reads the newest config."""

    @abc.abstractmethod
    def watch(
        self, cursor: int, wait_s: float
    ) -> result.Result[ConfigChange, errors.StoreError]:
        """Waits for a newer config."""
