"""In-memory workers with leases, fencing, faults and a history of runs."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import eventlet
import result

from wisterialug_core.workflow import model
from wisterialug_daemon.workflow import (
    clock,
    errors,
    worker_calls,
)
from wisterialug_standins import (
    emulated_registry,
    emulated_worker,
    order_faults,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

MAX_LEASE_MS = 10_000
# Time from the start of a task that crashes its worker to the crash.
CRASH_DELAY_S = 0.01
# Range of the delay of orders that arrive late.
ORDER_DELAY_S = (0.5, 3.0)


class EmulatedFleet(
    emulated_registry.EmulatedRegistry, worker_calls.WorkerCalls
):
    """Emulates workers and their registry; `duration_s` returns run times.

    Attributes:
      history: All runs of all workers, by start time.
    """

    def __init__(
        self,
        rng: random.Random,
        duration_s: Callable[[str], float],
        fails: Callable[[str], bool] = lambda _: False,
    ) -> None:
        super().__init__()
        # Faults of the next starts, before those that are drawn.
        self.next_start_faults: collections.deque[order_faults.OrderFault] = (
            collections.deque()
        )
        self.order_delay_s = ORDER_DELAY_S
        # Returns the number of members of a task's gang; 0 without a gang.
        self.gang_size: Callable[[str], int] = lambda _: 0
        # Returns whether a task crashes each worker that starts it.
        self.crashes_worker: Callable[[str], bool] = lambda _: False
        self.crash_delay_s = CRASH_DELAY_S
        self.history: list[emulated_worker.RunRecord] = []
        self._rng = rng
        self._duration_s = duration_s
        self._fails = fails
        self._thread = eventlet.spawn(self._tick)

    def close(self) -> None:
        """Stops all runs."""
        self._thread.kill()

    def start(
        self,
        worker: model.WorkerReport,
        order: worker_calls.StartOrder,
        timeout_s: float,
    ) -> result.Result[worker_calls.Reply, errors.WorkerError]:
        """Starts a run."""
        faults = self.next_start_faults
        return self._deliver(
            worker,
            timeout_s,
            lambda target: self._start_run(target, order),
            faults.popleft() if faults else None,
        )

    def stop(
        self,
        worker: model.WorkerReport,
        task: str,
        run: int,
        epoch: int,
        timeout_s: float,
    ) -> result.Result[worker_calls.Reply, errors.WorkerError]:
        """Stops a run, or rejects its start if that arrives later."""

        def carry_out(
            target: emulated_worker.EmulatedWorker,
        ) -> errors.WorkerError | None:
            if epoch < target.fence:
                return errors.RejectedError(errors.Rejection.FENCED)
            target.fence = epoch
            record = target.running.get(task)
            if record is not None and record.run <= run:
                self._end_run(target, record, model.RunEnd.STOPPED)
            highest = target.highest_ended_run.get(task, 0)
            target.highest_ended_run[task] = max(highest, run)
            return None

        return self._deliver(worker, timeout_s, carry_out)

    def pace(
        self,
        worker: model.WorkerReport,
        task: str,
        run: int,
        percent: int,
        epoch: int,
        timeout_s: float,
    ) -> result.Result[worker_calls.Reply, errors.WorkerError]:
        """Accepts any pace without changing the speed of the run."""
        del task, run, percent, epoch
        return self._deliver(worker, timeout_s, lambda _: None)

    def poll(
        self,
        worker: model.WorkerReport,
        epoch: int,
        durable_seq: int,
        deadline_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> result.Result[worker_calls.RunReport, errors.WorkerError]:
        """Extends the lease, drops durable ends and waits for a new end."""

        def carry_out(
            target: emulated_worker.EmulatedWorker,
        ) -> errors.WorkerError | None:
            if epoch < target.fence:
                return errors.RejectedError(errors.Rejection.FENCED)
            target.fence = epoch
            self._extend(target, deadline_ms)
            for ended in target.ended:
                if ended.seq <= durable_seq:
                    self._mark_acked(ended, target)
            target.ended = [e for e in target.ended if e.seq > durable_seq]
            return None

        sent_s = clock.now_s()
        reply = self._deliver(worker, timeout_s, carry_out, is_poll=True)
        if reply.is_err():
            return reply
        target = self.workers.get(worker.name)
        until_s = sent_s + wait_ms / 1000
        while target and not target.ended and clock.now_s() < until_s:
            eventlet.sleep(emulated_registry.TICK_S)
        if target is None or target.unreachable or target.drops_replies:
            return result.Err(errors.NoAnswerError("unreachable"))
        if target.report.id != worker.id:
            return result.Err(errors.OtherLifeError(target.report.id))
        return result.Ok(
            worker_calls.RunReport(
                worker_calls.Reply(target.clock_ms(), sent_s, clock.now_s()),
                tuple(
                    worker_calls.RunningRun(
                        r.task, r.run, "", self._progress(target, r), 0
                    )
                    for r in target.running.values()
                ),
                tuple(target.ended),
            )
        )

    def _progress(
        self,
        worker: emulated_worker.EmulatedWorker,
        record: emulated_worker.RunRecord,
    ) -> int:
        if worker.hangs:
            return 0
        elapsed_s = self._worked_s(record) / worker.slowness
        return min(100, int(100 * elapsed_s / self._duration_s(record.task)))

    def _deliver(
        self,
        worker: model.WorkerReport,
        timeout_s: float,
        carry_out: Callable[
            [emulated_worker.EmulatedWorker], errors.WorkerError | None
        ],
        fault: order_faults.OrderFault | None = None,
        *,
        is_poll: bool = False,
    ) -> result.Result[worker_calls.Reply, errors.WorkerError]:
        """Delivers a call with a fault, drawn by the worker's rates if None."""
        sent_s = clock.now_s()
        eventlet.sleep(emulated_registry.LATENCY_S)
        target = self.workers.get(worker.name)
        if target is None and self.successor(worker) is not None:
            return result.Err(errors.OtherLifeError())
        if target is None or target.unreachable:
            eventlet.sleep(timeout_s)
            return result.Err(errors.NoAnswerError("unreachable"))
        rates = target.fault_rates
        if is_poll and target.poll_fault_rates is not None:
            rates = target.poll_fault_rates
        fault = fault or order_faults.draw(rates, self._rng)
        if fault is order_faults.OrderFault.REFUSED:
            return result.Err(errors.UnwellError())
        if fault is order_faults.OrderFault.NO_ROOM:
            return result.Err(errors.RejectedError(errors.Rejection.NO_ROOM))
        if fault in {
            order_faults.OrderFault.LATE,
            order_faults.OrderFault.REPEATED,
        }:
            delay_s = self._rng.uniform(*self.order_delay_s)
            eventlet.spawn_after(delay_s, self._arrive_late, target, carry_out)
        error = None
        if fault not in {
            order_faults.OrderFault.LATE,
            order_faults.OrderFault.LOST,
        }:
            error = carry_out(target)
        unanswered = fault is not None and (
            fault is not order_faults.OrderFault.REPEATED
        )
        if unanswered or target.drops_replies:
            eventlet.sleep(timeout_s)
            return result.Err(errors.NoAnswerError(fault and fault.value))
        if error is not None:
            return result.Err(error)
        return result.Ok(
            worker_calls.Reply(target.clock_ms(), sent_s, clock.now_s())
        )

    def _arrive_late(
        self,
        target: emulated_worker.EmulatedWorker,
        carry_out: Callable[
            [emulated_worker.EmulatedWorker], errors.WorkerError | None
        ],
    ) -> None:
        """Carries out an order, unless its worker has crashed meanwhile.

        A worker that is back under its id takes it for its own.
        """
        present = self.workers.get(target.report.name)
        if present is not None:
            carry_out(present)

    def _start_run(
        self,
        target: emulated_worker.EmulatedWorker,
        order: worker_calls.StartOrder,
    ) -> errors.WorkerError | None:
        if order.epoch < target.fence:
            return errors.RejectedError(errors.Rejection.FENCED)
        target.fence = order.epoch
        if order.deadline_ms < target.clock_ms():
            return errors.RejectedError(errors.Rejection.EXPIRED)
        self._extend(target, order.deadline_ms)
        current = target.running.get(order.task)
        if current is not None and current.run == order.run:
            return None
        if current is not None or order.run <= target.highest_ended_run.get(
            order.task, 0
        ):
            return errors.RejectedError(errors.Rejection.OLD_RUN)
        record = emulated_worker.RunRecord(
            order.task,
            order.run,
            target.report.id,
            order.epoch,
            clock.now_s(),
            order.checkpoint,
        )
        target.running[order.task] = record
        self.history.append(record)
        if self.crashes_worker(order.task):
            eventlet.spawn_after(
                self.crash_delay_s, self._crash_under, target, record
            )
        return None

    def _crash_under(
        self,
        target: emulated_worker.EmulatedWorker,
        record: emulated_worker.RunRecord,
    ) -> None:
        """Crashes a worker under a run that is still active there."""
        name = target.report.name
        if record.end is None and self.workers.get(name) is target:
            record.crashed_worker = True
            if self.stays_down:
                self.crash(name)
            else:
                self.crash_and_restart(name)

    def _extend(
        self, target: emulated_worker.EmulatedWorker, deadline_ms: int | None
    ) -> None:
        if deadline_ms is not None:
            longest = target.clock_ms() + MAX_LEASE_MS
            target.deadline_ms = max(
                target.deadline_ms, min(deadline_ms, longest)
            )

    def _mark_acked(
        self,
        ended: worker_calls.EndedRun,
        worker: emulated_worker.EmulatedWorker,
    ) -> None:
        """Marks a run's end as acknowledged, unless a lease has lapsed since."""
        for record in self.history:
            same = (record.task, record.run) == (ended.task, ended.run)
            if same and record.worker == worker.report.id:
                record.acked = record.ended_s > worker.lapsed_s

    def _end_run(
        self,
        target: emulated_worker.EmulatedWorker,
        record: emulated_worker.RunRecord,
        end: model.RunEnd,
    ) -> None:
        del target.running[record.task]
        record.ended_s = clock.now_s()
        record.end = end
        target.ended.append(
            worker_calls.EndedRun(
                target.next_seq, record.task, record.run, end, ""
            )
        )
        target.next_seq += 1
        target.highest_ended_run[record.task] = record.run

        self._end_gang(record, end)

    def _gang(
        self, record: emulated_worker.RunRecord
    ) -> list[tuple[emulated_worker.EmulatedWorker, emulated_worker.RunRecord]]:
        """Returns the active members of a run's gang; empty without a gang."""
        if not self.gang_size(record.task):
            return []
        group = record.task.rpartition(".")[0]
        return [
            (worker, member)
            for worker in self.workers.values()
            for member in worker.running.values()
            if member.task.rpartition(".")[0] == group
            and member.run == record.run
        ]

    def _end_gang(
        self, ended: emulated_worker.RunRecord, end: model.RunEnd
    ) -> None:
        """Ends the other members: all are done together, or none is."""
        if end is not model.RunEnd.DONE:
            end = model.RunEnd.BROKEN
        for worker, member in self._gang(ended):
            # Ending a member ends the rest of its gang as well.
            if member.end is None:
                self._end_run(worker, member, end)

    def _worked_s(self, record: emulated_worker.RunRecord) -> float:
        """Returns how long a run has worked; a gang needs all its members."""
        size = self.gang_size(record.task)
        began_s = record.began_s
        if size:
            members = [member for _, member in self._gang(record)]
            if len(members) < size:
                return 0.0
            began_s = max(member.began_s for member in members)
        return clock.now_s() - began_s

    def _tick(self) -> None:
        while True:
            eventlet.sleep(emulated_registry.TICK_S)
            for worker in list(self.workers.values()):
                self._tick_worker(worker)

    def _tick_worker(self, worker: emulated_worker.EmulatedWorker) -> None:
        lapsed = worker.deadline_ms < worker.clock_ms()
        if lapsed:
            worker.lapsed_s = clock.now_s()
        for record in list(worker.running.values()):
            if record.end is not None:
                # Ended with another member of its gang.
                continue
            elapsed_s = self._worked_s(record) / worker.slowness
            if lapsed:
                self._end_run(worker, record, model.RunEnd.LAPSED)
            elif worker.fails_all:
                self._end_run(worker, record, model.RunEnd.FAILED)
            elif worker.hangs:
                continue
            elif elapsed_s >= self._duration_s(record.task):
                failed = self._fails(record.task)
                end = model.RunEnd.FAILED if failed else model.RunEnd.DONE
                self._end_run(worker, record, end)
