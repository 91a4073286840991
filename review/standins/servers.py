"""Servers that run tasks, as PROTOCOL.md describes them.

The `spec` of a job tells how long a task of each of its steps runs, in ms.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import time
from typing import TYPE_CHECKING, Any

from review.standins import http_server

if TYPE_CHECKING:
    from collections.abc import Callable

    from review.standins import row_store

HEARTBEAT_S = 1.1
HOLD_MAX_MS = 10_000
STOP_S = 0.1
CHECKPOINT_S = 0.5
MAX_LISTED = 500
MAX_WAIT_MS = 2000
# A call without an answer may be carried out this much later.
LATEST_S = 12.0
SILENT_BEATS = 3


@dataclasses.dataclass
class Run:
    """One run on a server; times are of the steady clock."""

    task: str
    number: int
    began_s: float
    lasts_s: float
    cpu: int
    stop_s: float = 0.0

    def percent(self, now_s: float) -> int:
        """Returns how much of its work is done."""
        return min(99, int(100 * (now_s - self.began_s) / self.lasts_s))

    def checkpoint(self, now_s: float) -> str:
        """Returns the latest saved progress."""
        steps = int((now_s - self.began_s) / CHECKPOINT_S)
        return f"{steps:08x}{hash(self.task) & 0xFFFFFFFF:08x}" if steps else ""


class TaskServer:
    """One server; its entry lies in the store.

    Attributes:
      running: Its runs, by task.
      holds_next_start: The next start gets no answer, and is carried out late.
      failed_runs: Runs that have ended as failed.
      crashes: How often it has crashed.
    """

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        zone: str,
        labels: tuple[str, ...],
        cpu: int,
        store: row_store.RowStore,
        service: str,
        record: Callable[[str], None],
        task_cpu: Callable[[str], int],
        slowdown: Callable[[str, str], float],
    ) -> None:
        self.name = name
        self._address = address
        self._zone = zone
        self._labels = labels
        self._cpu = cpu
        self._store = store
        self._service = service
        self._record = record
        # Returns what a task of this name requests.
        self._task_cpu = task_cpu
        # Returns how many times as long it runs on a rack.
        self._slowdown = slowdown
        self._http = http_server.Server(*address, self._handle)
        self._up = False
        self.holds_next_start = False
        # A start that is carried out late.
        self._held_start: dict[str, Any] | None = None
        self.failed_runs = 0
        self.crashes = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._reset()

    def _reset(self) -> None:
        self._booted_s = time.monotonic()
        self._born = int(time.time() * 1000)
        self._fence = 0
        self._deadline_ms = 0
        self._seq = 0
        self._beats = 0
        self._ended_runs: dict[str, int] = {}
        self._finished: list[list[Any]] = []
        # Tasks that have ended as done, with the lease held until the ack.
        self._acked: set[str] = set()
        # Up to this number, the lease lapsed before an end was taken note of.
        self._lapsed_seq = 0
        self._new_end = asyncio.Event()
        self.running: dict[str, Run] = {}

    @property
    def used_cpu(self) -> int:
        """Returns what runs here now, in thousandths of a core."""
        return sum(run.cpu for run in self.running.values())

    @property
    def up(self) -> bool:
        """Returns whether it is up."""
        return self._up

    @property
    def cut(self) -> bool:
        """Returns whether it is cut off."""
        return self._http.silent

    @property
    def capacity(self) -> int:
        """Returns its room, in thousandths of a core."""
        return self._cpu

    @property
    def labels(self) -> tuple[str, ...]:
        """Returns its kind and its rack."""
        return self._labels

    def runs(self, job: str) -> bool:
        """Returns whether a task of a job runs here."""
        return any(task.split(".")[0] == job for task in self.running)

    def has_acked(self, task: str) -> bool:
        """Returns whether the end of a task is taken note of."""
        return task in self._acked

    async def start(self) -> None:
        """Starts the server, or starts it again, under its id, after a crash."""
        self._reset()
        self._up = True
        await self._http.start()
        self._tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._tick()),
        ]

    def crash(self) -> None:
        """Ends the server and all that runs there; its entry expires."""
        self._up = False
        self.crashes += 1
        for task in self._tasks:
            task.cancel()
        for run in self.running.values():
            self._record(f"lost {run.task} run {run.number} on {self.name}")
        self.running.clear()
        self._http.stop()
        asyncio.get_running_loop().call_later(
            SILENT_BEATS * HEARTBEAT_S, self._expire
        )

    def _expire(self) -> None:
        if not self._up:
            self._store.remove(("servers", "", self.name))

    def cut_off(self) -> None:
        """Cuts it off from the system's machines; the store hears it still."""
        self._http.silent = True
        self._record(f"cut off {self.name}, {len(self.running)} runs go on")

    def heal(self) -> None:
        """Ends the cut."""
        self._http.heal()
        self._record(f"healed {self.name}")

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._booted_s) * 1000)

    async def _beat(self) -> None:
        while True:
            self._beats += 1
            entry = {
                "service": self._service,
                "address": f"{self._address[0]}:{self._address[1]}",
                "zone": self._zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": self._cpu, "mem_mb": 64_000, "gpu": 0},
                "labels": list(self._labels),
                "clock_ms": self._clock_ms(),
                "seq": self._beats,
                "born": self._born,
            }
            self._store.put(
                ("servers", "", self.name), json.dumps(entry).encode()
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            now_s = time.monotonic()
            if self._clock_ms() > self._deadline_ms:
                # Ends that are listed, and not taken note of, never count.
                self._lapsed_seq = self._seq
                for run in list(self.running.values()):
                    self._end(run, "lapsed")
            for run in list(self.running.values()):
                if run.stop_s and now_s >= run.stop_s:
                    self._end(run, "stopped")
                elif now_s >= run.began_s + run.lasts_s:
                    self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        self.failed_runs += how == "failed"
        self._ended_runs[run.task] = run.number
        self._seq += 1
        saved = run.checkpoint(time.monotonic()) if how != "done" else ""
        self._finished.append([self._seq, run.task, run.number, how, saved])
        self._record(f"end {run.task} run {run.number} on {self.name}: {how}")
        self._new_end.set()
        self._new_end = asyncio.Event()

    async def _handle(
        self, request: http_server.Request
    ) -> http_server.Response:
        if request.headers.get("x-expected-instance", self.name) != self.name:
            return http_server.Response(421, {})
        fields = request.fields()
        token = fields.get("fencing_token", 0)
        if token < self._fence:
            return self._reject("fence")
        self._fence = token
        if request.target == "/run-start":
            if self.holds_next_start:
                return await self._hold_start(fields)
            return self._start_run(fields)
        if request.target == "/run-stop":
            return self._stop_run(fields)
        if request.target == "/hold":
            return await self._hold(fields)
        if request.target == "/pace":
            return self._answer()
        return http_server.Response(404, {})

    def _answer(self) -> http_server.Response:
        return http_server.Response(200, {"clock_ms": self._clock_ms()})

    def _reject(self, reason: str) -> http_server.Response:
        return http_server.Response(
            409, {"clock_ms": self._clock_ms(), "reason": reason}
        )

    def _extend(self, deadline_ms: int) -> None:
        longest_ms = self._clock_ms() + HOLD_MAX_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest_ms))

    def _start_run(self, fields: dict[str, Any]) -> http_server.Response:
        task, number = fields["task"], fields["run"]
        if fields["deadline_ms"] <= self._clock_ms():
            return self._reject("late")
        self._extend(fields["deadline_ms"])
        here = self.running.get(task)
        if here is not None and here.number == number:
            return self._answer()
        if here is not None or number <= self._ended_runs.get(task, 0):
            return self._reject("old")
        cpu = self._task_cpu(task)
        if self.used_cpu + cpu > self._cpu:
            return self._reject("room")
        lasts_s = _lasts_ms(fields["spec"], task) / 1000
        lasts_s *= self._slowdown(task, self._labels[-1])
        self.running[task] = Run(task, number, time.monotonic(), lasts_s, cpu)
        self._record(f"start {task} run {number} on {self.name}")
        return self._answer()

    async def _hold_start(self, fields: dict[str, Any]) -> http_server.Response:
        self.holds_next_start = False
        self._held_start = fields
        self._record(f"unanswered start {fields['task']} on {self.name}")
        await asyncio.sleep(LATEST_S)
        raise ConnectionResetError

    def carry_out_late(self) -> None:
        """Carries the held start out, in the present life of the server."""
        fields, self._held_start = self._held_start, None
        if fields is None:
            return
        self._record(f"late start {fields['task']} on {self.name}")
        if fields["fencing_token"] < self._fence:
            self._record("the late start is rejected: fence")
            return
        self._fence = fields["fencing_token"]
        response = self._start_run(fields)
        self._record(f"the late start gets {response.status}")

    def _stop_run(self, fields: dict[str, Any]) -> http_server.Response:
        task, number = fields["task"], fields["run"]
        run = self.running.get(task)
        if run is not None and run.number == number:
            run.stop_s = run.stop_s or time.monotonic() + STOP_S
        elif run is None:
            highest = self._ended_runs.get(task, 0)
            self._ended_runs[task] = max(highest, number)
        return self._answer()

    async def _hold(self, fields: dict[str, Any]) -> http_server.Response:
        if "deadline_ms" in fields:
            self._extend(fields["deadline_ms"])
        acked = fields.get("ack_seq", 0)
        for number, task, run, how, _ in self._finished:
            if self._lapsed_seq < number <= acked and how == "done":
                self._acked.add(task)
                self._record(f"acknowledged {task} run {run} on {self.name}")
        self._finished = [end for end in self._finished if end[0] > acked]
        wait_ms = min(MAX_WAIT_MS, fields.get("wait_ms", 0))
        if wait_ms and not self._finished:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._new_end.wait()
            except TimeoutError:
                pass
        now_s = time.monotonic()
        return http_server.Response(
            200,
            {
                "clock_ms": self._clock_ms(),
                "born": self._born,
                "running": [
                    [
                        run.task,
                        run.number,
                        run.checkpoint(now_s),
                        run.percent(now_s),
                        run.cpu,
                    ]
                    for run in self.running.values()
                ],
                "finished": self._finished[:MAX_LISTED],
            },
        )


def _lasts_ms(spec: str, task: str) -> int:
    """Returns how long a task runs; the last number is for all further steps."""
    numbers = [int(text) for text in spec.split(",")]
    return numbers[min(int(task.split(".")[2]), len(numbers) - 1)]
