"""In-memory registry of emulated workers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import eventlet
import result

from wisterialug_core.decisions import resources
from wisterialug_core.workflow import model
from wisterialug_daemon.workflow import clock, sources
from wisterialug_standins import emulated_worker

if TYPE_CHECKING:
    from wisterialug_daemon.workflow import errors

TICK_S = 0.01
LATENCY_S = 0.002
RESTART_S = 0.5


class EmulatedRegistry(sources.WorkerRegistry):
    """Adds, drains and crashes workers, and lists them.

    Attributes:
      workers: Workers that exist, by name.
      reports: Reports of all incarnations at registration.
      restart_s: How long a worker is down after a task has crashed it.
      stays_down: It stays down.
      restarts_keep_ids: Workers start again under the ids that they had.
      capacities: Each worker's capacities, with the times since which it has
        them.
    """

    def __init__(self) -> None:
        self.restart_s = RESTART_S
        self.stays_down = False
        self.restarts_keep_ids = False
        self.workers: dict[str, emulated_worker.EmulatedWorker] = {}
        self.reports: dict[str, model.WorkerReport] = {}
        self.capacities: dict[str, list[tuple[float, resources.Amount]]] = {}
        # Entries of crashed workers that are still listed.
        self._lingering: dict[str, model.WorkerReport] = {}
        self._list_version = 0

    def add(
        self,
        name: str,
        cpu_millicores: int = 16_000,
        rack: str = "r1",
        data_centre: str = "dc1",
    ) -> emulated_worker.EmulatedWorker:
        """Registers a worker."""
        return self._register(
            emulated_worker.EmulatedWorker(
                model.WorkerReport(
                    id=model.Incarnation(name),
                    address=f"{name}:1",
                    service="app",
                    data_centre=data_centre,
                    state=model.WorkerState.READY,
                    capacity=resources.Amount(cpu_millicores, 64_000, 0),
                    labels=("a", rack),
                    remaining_ms=0,
                )
            )
        )

    def drain(self, name: str) -> None:
        """Marks a worker as draining."""
        worker = self.workers[name]
        worker.report = dataclasses.replace(
            worker.report, state=model.WorkerState.DRAINING
        )
        self._list_version += 1

    def set_listed(self, name: str, *, listed: bool) -> None:
        """Removes the entry of a worker that lives on, or adds it again."""
        self.workers[name].listed = listed
        self._list_version += 1

    def crash(self, name: str) -> None:
        """Removes a worker and loses its runs without a report."""
        worker = self.workers.pop(name)
        worker.unreachable = True
        for record in worker.running.values():
            record.ended_s = clock.now_s()
            record.end = model.RunEnd.LOST
        worker.running.clear()
        self._list_version += 1

    def crash_and_restart(self, name: str) -> None:
        """Crashes a worker, which is back at its address after `restart_s`."""
        report = self.workers[name].report
        self.crash(name)
        if self.restarts_keep_ids:
            # The entry outlasts a restart within a few check-ins.
            self._lingering[name] = report
        eventlet.spawn_after(self.restart_s, self._restart, report)

    def _restart(self, report: model.WorkerReport) -> None:
        name = report.name
        self._lingering.pop(name, None)
        if not self.restarts_keep_ids:
            base, _, number = name.partition(".")
            name = f"{base}.{int(number or 0) + 1}"
        # Its clock starts anew, as do its counts.
        booted_s = clock.now_s()
        new = dataclasses.replace(
            report,
            id=model.incarnation(name, clock.wall_ms()),
            state=model.WorkerState.READY,
        )
        self._register(emulated_worker.EmulatedWorker(new, booted_s))

    def set_capacity(self, name: str, cpu_millicores: int) -> None:
        """Changes what a worker has, and says, while it runs."""
        worker = self.workers[name]
        amount = worker.report.capacity._replace(cpu_millicores=cpu_millicores)
        worker.report = dataclasses.replace(worker.report, capacity=amount)
        changes = self.capacities[worker.report.id]
        changes.append((clock.now_s(), amount))
        self._list_version += 1

    def successor(
        self, worker: model.WorkerReport
    ) -> emulated_worker.EmulatedWorker | None:
        """Returns the next incarnation of a worker, at the same address."""
        for other in self.workers.values():
            if other.report.address == worker.address:
                return other
        return None

    def _register(
        self, worker: emulated_worker.EmulatedWorker
    ) -> emulated_worker.EmulatedWorker:
        self.workers[worker.report.name] = worker
        self.reports[worker.report.id] = worker.report
        self.capacities[worker.report.id] = [(0.0, worker.report.capacity)]
        self._list_version += 1
        return worker

    def read(self) -> result.Result[sources.WorkerChanges, errors.StoreError]:
        """Reads the whole list."""
        eventlet.sleep(LATENCY_S)
        reports = (
            *(w.report for w in self.workers.values() if w.listed),
            *self._lingering.values(),
        )
        return result.Ok(
            sources.WorkerChanges(reports, (), True, self._list_version)
        )

    def watch(
        self, cursor: int, wait_s: float
    ) -> result.Result[sources.WorkerChanges, errors.StoreError]:
        """Waits for changes, and then reads the whole list."""
        until_s = clock.now_s() + wait_s
        while cursor == self._list_version and clock.now_s() < until_s:
            eventlet.sleep(TICK_S)
        return self.read()
