"""What the product needs of workers: orders, leases and reports."""

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
    """A worker's answer.

    Attributes:
      clock_ms: The worker's own steady clock; -1 where it is not told.
      sent_s: When the call was sent, by our clock.
      received_s: When the answer came, by our clock.
    """

    clock_ms: int
    sent_s: float
    received_s: float


@dataclasses.dataclass(frozen=True)
class RunningRun:
    """A run that is under way.

    Attributes:
      progress: Percent of its work that is done; for a task that lasts, of
        its startup, so that it is at work from 100 on.
      figure: Tail latency in ms for a task that serves users, else the
        processor in use in thousandths of a core; of the last half second.
    """

    task: str
    run: int
    checkpoint: str
    progress: int
    figure: int


@dataclasses.dataclass(frozen=True)
class EndedRun:
    """A run that has ended; `seq` counts the ends of one life of a worker."""

    seq: int
    task: str
    run: int
    end: model.RunEnd
    checkpoint: str


@dataclasses.dataclass(frozen=True)
class WorkReport:
    """All that runs on a worker and all ends it has not forgotten."""

    reply: Reply
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """A start of a run.

    Attributes:
      deadline_ms: On the worker's clock; a later arrival starts nothing.
    """

    task: str
    run: int
    spec: str
    checkpoint: str
    deadline_ms: int
    epoch: int
    ticket: str = ""


class WorkerCalls(abc.ABC):
    """Calls to workers; each names the life of the worker that is meant."""

    @abc.abstractmethod
    def start(
        self, worker: model.WorkerReport, order: StartOrder, timeout_s: float
    ) -> result.Result[Reply, errors.WorkerError]:
        """Starts a run; repeating the call does no harm."""

    @abc.abstractmethod
    def stop(
        self,
        worker: model.WorkerReport,
        task: str,
        run: int,
        epoch: int,
        timeout_s: float,
    ) -> result.Result[Reply, errors.WorkerError]:
        """Stops a run, or prevents it if it has not come yet."""

    @abc.abstractmethod
    def hold(
        self,
        worker: model.WorkerReport,
        epoch: int,
        durable_seq: int,
        deadline_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> result.Result[WorkReport, errors.WorkerError]:
        """Extends the lease, forgets ends and waits for a new end.

        Args:
          worker: Worker and life that are meant.
          epoch: Fencing token; the worker does nothing for a lower one.
          durable_seq: The worker may forget ends up to this number.
          deadline_ms: New end of the lease; None leaves it as it is.
          wait_ms: How long to wait for an end.
          timeout_s: When to give up on an answer.
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
        """Sets the share at which a run works."""
