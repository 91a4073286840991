"""Interface to workers: orders, leases and reports."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import result

    from wisterialug_core.workflow import model
    from wisterialug_daemon.workflow import errors


@dataclasses.dataclass(frozen=True)
class Reply:
    """A worker's reply to a call.

    Attributes:
      clock_ms: The worker's monotonic clock in ms; -1 if it is not reported.
      sent_s: When the call was sent, by the local clock.
      received_s: When the reply arrived, by the local clock.
    """

    clock_ms: int
    sent_s: float
    received_s: float


@dataclasses.dataclass(frozen=True)
class RunningRun:
    """A run that is active on a worker.

    Attributes:
      checkpoint: Where a next run can resume; empty if nothing is saved.
      progress: Percent done of its work, or of a long-running task's startup.
      measurement: Over the last half second, tail latency in ms of a serving
        task, else CPU use in millicores.
    """

    task: str
    run: int
    checkpoint: str
    progress: int
    measurement: int


@dataclasses.dataclass(frozen=True)
class EndedRun:
    """A run that has ended; `seq` counts a worker's ends since it started."""

    seq: int
    task: str
    run: int
    end: model.RunEnd
    checkpoint: str


@dataclasses.dataclass(frozen=True)
class RunReport:
    """All active runs of a worker and its unacknowledged run ends."""

    reply: Reply
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """An order to start a run.

    Attributes:
      deadline_ms: On the worker's clock; a later arrival is rejected.
    """

    task: str
    run: int
    spec: str
    checkpoint: str
    deadline_ms: int
    epoch: int
    ticket: str = ""


class WorkerCalls(abc.ABC):
    """Calls to workers; each is valid for one incarnation of a worker."""

    @abc.abstractmethod
    def start(
        self, worker: model.WorkerReport, order: StartOrder, timeout_s: float
    ) -> result.Result[Reply, errors.WorkerError]:
        """Starts a run; the call is idempotent."""

    @abc.abstractmethod
    def stop(
        self,
        worker: model.WorkerReport,
        task: str,
        run: int,
        epoch: int,
        timeout_s: float,
    ) -> result.Result[Reply, errors.WorkerError]:
        """Stops a run, or prevents it if its start has not arrived yet."""

    @abc.abstractmethod
    def poll(
        self,
        worker: model.WorkerReport,
        epoch: int,
        durable_seq: int,
        deadline_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> result.Result[RunReport, errors.WorkerError]:
        """Extends the lease, acknowledges ends and waits for a new end.

        Args:
          worker: Incarnation of the worker to call.
          epoch: Fencing token; the worker rejects one lower than it has seen.
          durable_seq: The worker may discard ends up to this number.
          deadline_ms: New end of the lease; None leaves it as it is.
          wait_ms: How long to wait for an end.
          timeout_s: How long to wait for the response.
        """

    @abc.abstractmethod
    def pace(
        self,
        worker: model.WorkerReport,
        task: str,
        run: int,
        percent: int,
        epoch: int,
        timeout_s: float,
    ) -> result.Result[Reply, errors.WorkerError]:
        """Sets the pace of a run, in percent of its full speed."""
