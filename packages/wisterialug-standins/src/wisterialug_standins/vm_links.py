"""The links of one VM to the shared stand-ins, which freeze or lose calls."""

from __future__ import annotations

import dataclasses
import enum
import functools
from typing import TYPE_CHECKING, TypeVar

import eventlet
import eventlet.event
import result

from wisterialug_daemon.workflow import (
    clock,
    errors,
    row_store,
    sources,
    worker_calls,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from wisterialug_core.workflow import model

    T = TypeVar("T")

# Beyond the time that a watch waits, and for calls without a time of their own.
ANSWER_TIMEOUT_S = 1.0
# Share of the replies that arrive during a freeze, but are found to be too late
# after it: the program looks at its timers or at its sockets first.
OVERDUE_REPLY_SHARE = 0.5


class Cut(enum.Flag):
    """What a link loses."""

    NONE = 0
    # Calls are not carried out.
    REQUESTS = enum.auto()
    # Calls are carried out without an answer.
    REPLIES = enum.auto()
    BOTH = REQUESTS | REPLIES


class Boundary(enum.Enum):
    """Where a freeze may begin, besides a given time."""

    BEFORE_START = "before a start is sent"
    AFTER_START = "before the reply to a start is received"
    AFTER_POLL = "before a report is received"
    BEFORE_COMMIT = "before a change is sent"
    AFTER_COMMIT = "before the reply to a change is received"


class VmLink:
    """State of one VM's links, and whether the VM is frozen.

    A frozen VM sends a call after the thaw, and receives a reply after the
    thaw; a call that has left is carried out meanwhile. The clock goes on. By
    itself this stops a VM only where it makes calls: its greenlets go on
    between them, so that it may decide during the freeze what it sends
    afterwards. `frozen_greenlets` holds them back as well. What neither
    represents is a freeze between two instructions without a switch between
    greenlets, e.g. between two readings of the clock.

    Attributes:
      store_cut: What the link to the store loses, the list of workers included.
      worker_cuts: The same by worker.
      frozen_until_s: When the VM thaws, or has thawed.
    """

    def __init__(self, rng: random.Random) -> None:
        self.store_cut = Cut.NONE
        self.worker_cuts: dict[str, Cut] = {}
        # Runs calls apart from the VM's own greenlets.
        self.spawn: Callable[..., object] = eventlet.spawn
        self.frozen_until_s = 0.0
        self._rng = rng
        self._next_freeze: tuple[Boundary, float] | None = None

    @property
    def healthy(self) -> bool:
        """Returns whether the VM runs and loses no calls."""
        cut = self.store_cut or any(self.worker_cuts.values())
        return not cut and not self.frozen

    def freeze(self, duration_s: float) -> None:
        """Freezes the VM from now on."""
        self.frozen_until_s = clock.now_s() + duration_s

    @property
    def awaits_freeze(self) -> bool:
        """Returns whether a freeze will begin at a boundary."""
        return self._next_freeze is not None

    def freeze_at(self, boundary: Boundary, duration_s: float) -> None:
        """Freezes the VM the next time that it comes to a boundary."""
        self._next_freeze = boundary, duration_s

    def drop_next_freeze(self) -> None:
        """Lets no freeze begin at a boundary."""
        self._next_freeze = None

    def pass_boundary(self, boundary: Boundary | None) -> None:
        """Begins the freeze that waits for a boundary, if any."""
        if self._next_freeze is not None and boundary is not None:
            waited_for, duration_s = self._next_freeze
            if boundary is waited_for:
                self._next_freeze = None
                self.freeze(duration_s)

    @property
    def frozen(self) -> bool:
        """Returns whether the VM is frozen."""
        return clock.now_s() < self.frozen_until_s

    def call(
        self,
        carry_out: Callable[[], T],
        cut: Callable[[], Cut],
        timeout_s: float,
        before: Boundary | None = None,
        after: Boundary | None = None,
    ) -> T | None:
        """Makes a call; returns its outcome, or None without an answer.

        Args:
          carry_out: Carries out the call.
          cut: Returns what the link loses at present.
          timeout_s: How long to wait for the answer.
          before: Boundary before the call is sent.
          after: Boundary after it was carried out.
        """
        self.pass_boundary(before)
        self._wait_for_thaw()
        sent_s = clock.now_s()
        reply = eventlet.event.Event()
        if Cut.REQUESTS not in cut():
            self.spawn(self._carry, carry_out, cut, reply, after)
        with eventlet.Timeout(timeout_s, False):
            reply.wait()
        self._wait_for_thaw()
        overdue = clock.now_s() - sent_s > timeout_s
        if not reply.ready() or (
            overdue and self._rng.random() < OVERDUE_REPLY_SHARE
        ):
            return None
        return reply.wait()

    def _wait_for_thaw(self) -> None:
        while self.frozen:
            eventlet.sleep(max(0.0, self.frozen_until_s - clock.now_s()))

    def _carry(
        self,
        carry_out: Callable[[], T],
        cut: Callable[[], Cut],
        reply: eventlet.event.Event,
        after: Boundary | None,
    ) -> None:
        outcome = carry_out()
        self.pass_boundary(after)
        if Cut.REPLIES not in cut():
            reply.send(outcome)


class LinkedStore(row_store.RowStore):
    """The shared store as one VM reaches it."""

    def __init__(self, store: row_store.RowStore, link: VmLink) -> None:
        self._store = store
        self._link = link

    def commit(
        self, transaction: row_store.Transaction, timeout_s: float
    ) -> result.Result[int, errors.StoreError]:
        """Changes all rows or none; returns the version of the change."""
        return _call_store(
            self._link,
            lambda: self._store.commit(transaction, timeout_s),
            timeout_s,
            Boundary.BEFORE_COMMIT,
            Boundary.AFTER_COMMIT,
        )

    def scan(
        self,
        table: str,
        part: str,
        first_key: str = "",
        end_key: str = "",
        *,
        timeout_s: float,
    ) -> result.Result[row_store.Snapshot, errors.StoreError]:
        """Reads rows of a part from a key up to another, exclusive."""
        return _call_store(
            self._link,
            lambda: self._store.scan(
                table, part, first_key, end_key, timeout_s=timeout_s
            ),
            timeout_s,
        )

    def watch(
        self,
        table: str,
        after: int,
        wait_s: float,
        max_bytes: int | None = None,
    ) -> result.Result[row_store.Changes, errors.StoreError]:
        """Waits for changes of a table after a version."""
        return _call_store(
            self._link,
            lambda: self._store.watch(table, after, wait_s, max_bytes),
            wait_s + ANSWER_TIMEOUT_S,
        )


class LinkedRegistry(sources.WorkerRegistry):
    """The list of workers as one VM reaches it: in the store."""

    def __init__(self, registry: sources.WorkerRegistry, link: VmLink) -> None:
        self._registry = registry
        self._link = link

    def read(self) -> result.Result[sources.WorkerChanges, errors.StoreError]:
        """Reads the whole list."""
        return _call_store(self._link, self._registry.read, ANSWER_TIMEOUT_S)

    def watch(
        self, cursor: int, wait_s: float
    ) -> result.Result[sources.WorkerChanges, errors.StoreError]:
        """Waits for changes."""
        return _call_store(
            self._link,
            lambda: self._registry.watch(cursor, wait_s),
            wait_s + ANSWER_TIMEOUT_S,
        )


class LinkedWorkers(worker_calls.WorkerCalls):
    """The shared workers as one VM reaches them."""

    def __init__(self, calls: worker_calls.WorkerCalls, link: VmLink) -> None:
        self._calls = calls
        self._link = link

    def start(
        self,
        worker: model.WorkerReport,
        order: worker_calls.StartOrder,
        timeout_s: float,
    ) -> result.Result[worker_calls.Reply, errors.WorkerError]:
        """Starts a run; the call is idempotent."""
        return self._order(
            worker,
            lambda: self._calls.start(worker, order, timeout_s),
            timeout_s,
            Boundary.BEFORE_START,
            Boundary.AFTER_START,
        )

    def stop(
        self,
        worker: model.WorkerReport,
        task: str,
        run: int,
        epoch: int,
        timeout_s: float,
    ) -> result.Result[worker_calls.Reply, errors.WorkerError]:
        """Stops a run, or prevents it if its start has not arrived yet."""
        return self._order(
            worker,
            lambda: self._calls.stop(worker, task, run, epoch, timeout_s),
            timeout_s,
        )

    def poll(
        self,
        worker: model.WorkerReport,
        epoch: int,
        durable_seq: int,
        deadline_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> result.Result[worker_calls.RunReport, errors.WorkerError]:
        """Extends the lease, acknowledges ends and waits for a new end."""
        sent_s = clock.now_s()
        outcome = self._call(
            worker,
            lambda: self._calls.poll(
                worker, epoch, durable_seq, deadline_ms, wait_ms, timeout_s
            ),
            timeout_s,
            after=Boundary.AFTER_POLL,
        )
        return outcome.map(
            lambda report: dataclasses.replace(
                report, reply=_seen_by_vm(report.reply, sent_s)
            )
        )

    def pace(
        self,
        worker: model.WorkerReport,
        task: str,
        run: int,
        percent: int,
        epoch: int,
        timeout_s: float,
    ) -> result.Result[worker_calls.Reply, errors.WorkerError]:
        """Sets the pace of a run, in percent of its full speed."""
        return self._order(
            worker,
            lambda: self._calls.pace(
                worker, task, run, percent, epoch, timeout_s
            ),
            timeout_s,
        )

    def _order(
        self,
        worker: model.WorkerReport,
        carry_out: Callable[
            [], result.Result[worker_calls.Reply, errors.WorkerError]
        ],
        timeout_s: float,
        before: Boundary | None = None,
        after: Boundary | None = None,
    ) -> result.Result[worker_calls.Reply, errors.WorkerError]:
        sent_s = clock.now_s()
        outcome = self._call(worker, carry_out, timeout_s, before, after)
        return outcome.map(lambda reply: _seen_by_vm(reply, sent_s))

    def _call(
        self,
        worker: model.WorkerReport,
        carry_out: Callable[[], result.Result[T, errors.WorkerError]],
        timeout_s: float,
        before: Boundary | None = None,
        after: Boundary | None = None,
    ) -> result.Result[T, errors.WorkerError]:
        cut = functools.partial(
            self._link.worker_cuts.get, worker.name, Cut.NONE
        )
        outcome = self._link.call(carry_out, cut, timeout_s, before, after)
        if outcome is None:
            return result.Err(errors.NoAnswerError("no answer on the link"))
        return outcome


def _call_store(
    link: VmLink,
    carry_out: Callable[[], result.Result[T, errors.StoreError]],
    timeout_s: float,
    before: Boundary | None = None,
    after: Boundary | None = None,
) -> result.Result[T, errors.StoreError]:
    outcome = link.call(
        carry_out, lambda: link.store_cut, timeout_s, before, after
    )
    if outcome is None:
        return result.Err(errors.StoreUnknownError("no answer on the link"))
    return outcome


def _seen_by_vm(reply: worker_calls.Reply, sent_s: float) -> worker_calls.Reply:
    """Returns a reply with the times that the VM itself has read."""
    return dataclasses.replace(reply, sent_s=sent_s, received_s=clock.now_s())
