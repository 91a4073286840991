"""Stand-ins of the platform's store and of its workers, over HTTP.

They follow the users' pages. All of them run in the process of the script that
uses them, each on a loopback address of its own; threads serve the connections.
"""

from __future__ import annotations

import base64
import http.server
import json
import math
import socket
import threading
import time
import urllib.parse
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

STORE_PORT = 8169
WORKER_PORT = 8080
HOLD_MAX_MS = 10_000
STOP_MS = 200
TICK_S = 0.01
GANG_MS = 3000
# Longer than a caller waits.
UNANSWERED_S = 3.0
CHECKPOINT_MS = 500
# Silent check-ins after which the platform removes an entry.
REMOVED_AFTER_S = 3.3
ROW_LIMIT = 500
TX_S = 0.003
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_ROW_BYTES = 65_536


Ref = tuple[str, str, str]
Change = tuple[int, Ref, "str | None"]
Answer = tuple[int, dict[str, Any]]


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Leaves broken connections without a line."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args: object) -> None:
        """Leaves requests without a line."""

    def setup(self) -> None:
        """Sends answers at once."""
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _handle(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        answer = self.server.owner.answer(
            self.command, self.path, self.headers, body
        )
        if answer is None:
            self.close_connection = True
            return
        status, fields = answer
        data = json.dumps(fields).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = _handle  # noqa: N815 - the name that the server looks up
    do_POST = _handle  # noqa: N815
    do_PUT = _handle  # noqa: N815
    do_DELETE = _handle  # noqa: N815


def serve(owner: Any, ip: str, port: int) -> _Server:
    """Serves an object's `answer` method on an address."""
    server = _Server((ip, port), _Handler)
    server.owner = owner
    threading.Thread(
        target=server.serve_forever, args=(0.05,), daemon=True
    ).start()
    return server


class Store:
    """The platform's table store, in memory."""

    def __init__(self) -> None:
        self._rows: dict[Ref, tuple[int, str]] = {}
        self._log: list[Change] = []
        self._version = 0
        self._changed = threading.Condition()
        self.calls = 0
        # Rejects every call with 503 while set.
        self.down = False

    def put(self, table: str, key: str, fields: object) -> None:
        """Writes a row as the operator or a worker does."""
        value = base64.b64encode(json.dumps(fields).encode()).decode()
        with self._changed:
            self._apply([((table, "", key), value)], [])

    def remove(self, table: str, key: str) -> None:
        """Removes a row as the platform does."""
        with self._changed:
            self._apply([], [(table, "", key)])

    def rows(self, table: str) -> dict[tuple[str, str], bytes]:
        """Returns the rows of a table by part and key."""
        with self._changed:
            return {
                ref[1:]: base64.b64decode(value)
                for ref, (_, value) in self._rows.items()
                if ref[0] == table
            }

    def answer(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> Answer | None:
        """Answers one call."""
        del method, headers
        self.calls += 1
        if self.down:
            return 503, {}
        name, _, query_text = path.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, True))
        if name == "/rows-tx":
            return self._transact(body)
        if name == "/rows-get":
            return self._get(query)
        if name == "/rows-feed":
            return self._feed(query)
        return 400, {}

    def _fields(self, rows: list[dict], **more: Any) -> dict[str, Any]:
        return {
            "rows": rows,
            "ver": self._version,
            "now_ms": int(time.monotonic() * 1000),
            **more,
        }

    def _transact(self, body: bytes) -> Answer:
        if len(body) > MAX_CALL_BYTES:
            return 400, {}
        fields = json.loads(body)
        expected = [(_ref(e), e["ver"]) for e in fields["expected_rev"]]
        writes = [(_ref(e), e["value"]) for e in fields["writes"]]
        removes = [_ref(e) for e in fields.get("remove", [])]
        if len(expected) + len(writes) + len(removes) > MAX_ENTRIES or any(
            len(value) > MAX_ROW_BYTES * 4 // 3 + 4 for _, value in writes
        ):
            return 400, {}
        time.sleep(TX_S)
        with self._changed:
            if any(
                self._rows.get(ref, (0, ""))[0] != version
                for ref, version in expected
            ):
                rows = [
                    _row(ref, *self._rows[ref])
                    for ref, _ in expected
                    if ref in self._rows
                ]
                return 412, self._fields(rows)
            return 200, self._fields([], **self._apply(writes, removes))

    def _apply(
        self, writes: list[tuple[Ref, str]], removes: list[Ref]
    ) -> dict[str, Any]:
        self._version += 1
        for ref, value in writes:
            self._rows[ref] = self._version, value
            self._log.append((self._version, ref, value))
        for ref in removes:
            if self._rows.pop(ref, None) is not None:
                self._log.append((self._version, ref, None))
        self._changed.notify_all()
        return {"ver": self._version}

    def _get(self, query: dict[str, str]) -> Answer:
        limit = min(int(query.get("limit", ROW_LIMIT)), ROW_LIMIT)
        first, end = query.get("from", ""), query.get("target")
        with self._changed:
            refs = sorted(
                ref
                for ref in self._rows
                if ref[0] == query["table"]
                and ref[1] == query.get("part", "")
                and ref[2] >= first
                and (end is None or ref[2] < end)
            )
            rows = [_row(ref, *self._rows[ref]) for ref in refs[:limit]]
            return 200, self._fields(rows, has_more=len(refs) > limit)

    def _feed(self, query: dict[str, str]) -> Answer:
        after = int(query["after"])
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self._changed:
            while True:
                changes = [
                    change
                    for change in _after(self._log, after)
                    if change[1][0] == query["table"]
                ]
                left_s = until_s - time.monotonic()
                if changes or left_s <= 0:
                    break
                self._changed.wait(left_s)
            rows = [
                _row(ref, version, value)
                if value is not None
                else {**_row(ref, version, ""), "tombstone": True}
                for version, ref, value in changes
            ]
            return 200, self._fields(rows)


def _after(log: list[Change], version: int) -> list[Change]:
    for entry in reversed(log):
        if entry[0] <= version:
            break
    else:
        return list(log)
    low, high = 0, len(log)
    while low < high:
        middle = (low + high) // 2
        if log[middle][0] <= version:
            low = middle + 1
        else:
            high = middle
    return log[low:]


def _ref(entry: dict[str, Any]) -> Ref:
    return entry["table"], entry.get("part", ""), entry["key"]


def _row(ref: Ref, version: int, value: str) -> dict[str, Any]:
    table, part, key = ref
    return {
        "table": table,
        "part": part,
        "key": key,
        "ver": version,
        "value": value,
    }


class Worker:
    """One worker; its tasks take the time that the fleet gives them."""

    def __init__(self, fleet: Fleet, name: str, ip: str, entry: dict) -> None:
        self.name = name
        self.ip = ip
        self.entry = entry
        # It does not answer while it is down.
        self.down = False
        # Cut off from the system's machines: calls get no answer.
        self.cut = False
        # Is told of each order before anything else.
        self.on_call: Callable[[str, dict], None] = lambda *_: None
        self._fleet = fleet
        self._lock = threading.Condition()
        self._ended_at_s = 0.0
        self.restart()

    def restart(self) -> None:
        """Begins another life under the same id."""
        with self._lock:
            self.born_ms = int(time.time() * 1000)
            self._began_s = time.monotonic()
            self.fence = 0
            self.deadline_ms = 0
            self.running: dict[str, dict] = {}
            self.ended: list[list] = []
            self.seq = 0
            self.highest: dict[str, int] = {}
            self._lock.notify_all()

    def clock_ms(self) -> int:
        """Returns the worker's steady clock."""
        return int((time.monotonic() - self._began_s) * 1000)

    def used_cpu(self) -> int:
        """Returns what its runs have reserved, in thousandths of a core."""
        with self._lock:
            return sum(run["need"][0] for run in self.running.values())

    def report(self, seq: int) -> dict:
        """Returns the worker's entry in the store."""
        return {
            **self.entry,
            "address": f"{self.ip}:{WORKER_PORT}",
            "born": self.born_ms,
            "clock_ms": self.clock_ms(),
            "seq": seq,
        }

    def answer(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> Answer | None:
        """Answers one call."""
        if self.down:
            return None
        if method == "GET":
            return 200, {}
        fields = json.loads(body)
        expected = headers.get("X-Expected-Instance")
        if expected and expected != self.name:
            return 421, {}
        self.on_call(path, fields)
        if self.cut:
            time.sleep(UNANSWERED_S)
            return None
        if path == "/hold":
            return self._hold(fields)
        return self.carry_out(path, fields)

    def carry_out(self, path: str, fields: dict[str, Any]) -> Answer:
        """Carries an order out, now or late."""
        with self._lock:
            if fields.get("fencing_token", 0) < self.fence:
                return self._reject("fence")
            self.fence = fields.get("fencing_token", 0)
            if path == "/run-start":
                return self._start(fields)
            if path == "/run-stop":
                return self._stop(fields)
            return 200, {"clock_ms": self.clock_ms()}

    def _reject(self, reason: str) -> Answer:
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            longest = self.clock_ms() + HOLD_MAX_MS
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))

    def _start(self, fields: dict[str, Any]) -> Answer:
        task, run = fields["task"], fields["run"]
        if fields["deadline_ms"] < self.clock_ms():
            return self._reject("late")
        self._extend(fields["deadline_ms"])
        current = self.running.get(task)
        if current is not None and current["run"] == run:
            return 200, {"clock_ms": self.clock_ms()}
        if current is not None or run <= self.highest.get(task, 0):
            return self._reject("old")
        need = self._fleet.need_of(task)
        used = [
            sum(r["need"][i] for r in self.running.values()) for i in (0, 1)
        ]
        capacity = self.entry["capacity"]
        if (
            used[0] + need[0] > capacity["cpu"]
            or used[1] + need[1] > capacity["mem_mb"]
        ):
            return self._reject("room")
        now_s = time.monotonic()
        self.running[task] = {
            "run": run,
            "need": need,
            "ends_s": now_s + self._fleet.duration_s(task),
            "began_s": now_s,
            "how": "done",
            "saved": fields.get("checkpoint", ""),
            "given": fields.get("checkpoint", ""),
        }
        if self._fleet.gang_size(task):
            self.running[task]["ends_s"] = math.inf
        self._fleet.note_start(self, task, run, fields)
        return 200, {"clock_ms": self.clock_ms()}

    def _stop(self, fields: dict[str, Any]) -> Answer:
        task, run = fields["task"], fields["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        current = self.running.get(task)
        if current is not None and current["run"] <= run:
            current["how"] = "stopped"
            current["ends_s"] = min(
                current["ends_s"], time.monotonic() + STOP_MS / 1000 / 2
            )
        return 200, {"clock_ms": self.clock_ms()}

    def _hold(self, fields: dict[str, Any]) -> Answer | None:
        until_s = time.monotonic() + fields.get("wait_ms", 0) / 1000
        with self._lock:
            if fields.get("fencing_token", 0) < self.fence:
                return self._reject("fence")
            self.fence = fields.get("fencing_token", 0)
            self._extend(fields.get("deadline_ms"))
            acked = fields.get("ack_seq", 0)
            self.ended = [e for e in self.ended if e[0] > acked]
            born_ms = self.born_ms
            while not self.ended and born_ms == self.born_ms:
                left_s = until_s - time.monotonic()
                if left_s <= 0:
                    break
                self._lock.wait(left_s)
            if born_ms != self.born_ms or self.down:
                return None
            now_s = time.monotonic()
            return 200, {
                "clock_ms": self.clock_ms(),
                "born": self.born_ms,
                "running": [
                    [task, r["run"], r["saved"], _percent(r, now_s), 0]
                    for task, r in self.running.items()
                ],
                "finished": self.ended[:ROW_LIMIT],
            }

    def crash(self) -> None:
        """Ends for good; what runs here ends without a word."""
        with self._lock:
            self.down = True
            self.running = {}
            self._lock.notify_all()

    def run_of(self, task: str) -> dict[str, Any] | None:
        """Returns the active run of a task."""
        with self._lock:
            return self.running.get(task)

    def end(self, task: str, how: str) -> None:
        """Ends a run at the next tick."""
        with self._lock:
            record = self.running.get(task)
            if record is not None:
                record["how"] = how
                record["ends_s"] = 0.0

    def tick(self) -> None:
        """Ends runs whose time has come, and all when the lease lapses."""
        with self._lock:
            now_s = time.monotonic()
            lapsed = self.running and self.deadline_ms < self.clock_ms()
            for task, record in list(self.running.items()):
                if lapsed or now_s >= record["ends_s"]:
                    how = "lapsed" if lapsed else record["how"]
                    del self.running[task]
                    self.seq += 1
                    run = record["run"]
                    self.highest[task] = max(self.highest.get(task, 0), run)
                    self.ended.append(
                        [self.seq, task, run, how, record["saved"]]
                    )
                    self._fleet.note_end(self, task, run, how)
                    self._lock.notify_all()


def _percent(record: dict[str, Any], now_s: float) -> int:
    if math.isinf(record["ends_s"]):
        return record.get("percent", 0)
    length_s = max(0.001, record["ends_s"] - record["began_s"])
    return min(99, int(100 * (now_s - record["began_s"]) / length_s))


class Fleet:
    """All workers, with a record of what they were told and did."""

    def __init__(self, store: Store, record: Callable[[str], None]) -> None:
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, dict] = {}
        self.starts: list[tuple] = []
        self.ends: list[tuple] = []
        self.store = store
        self._record = record
        self.checkpoints: list[tuple[str, int, str]] = []
        # Work of each gang in ms, since when it has not been complete, and its
        # run.
        self._gangs: dict[tuple[str, int], list[float]] = {}
        self._complete: set[tuple[str, int]] = set()
        self._seq = 0
        self._servers = []
        threading.Thread(target=self._tick, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def add(self, name: str, ip: str, entry: dict) -> Worker:
        """Starts a worker and lists it."""
        worker = Worker(self, name, ip, entry)
        self._servers.append(serve(worker, ip, WORKER_PORT))
        self.store.put("servers", name, worker.report(0))
        self.workers[name] = worker
        return worker

    def used_share(self) -> float:
        """Returns which part of all processors runs have reserved."""
        used = total = 0
        for worker in list(self.workers.values()):
            used += worker.used_cpu()
            total += worker.entry["capacity"]["cpu"]
        return round(used / max(1, total), 3)

    def _step(self, task: str) -> dict[str, Any]:
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def need_of(self, task: str) -> tuple[int, int]:
        """Returns the processors and the memory that a task reserves."""
        if task.split(".", 1)[0] not in self.jobs:
            return 0, 0
        step = self._step(task)
        cpu = 0 if step.get("fills") else step.get("cpu", 0)
        return cpu, step.get("mem_mb", 0)

    def duration_s(self, task: str) -> float:
        """Returns how long a task takes."""
        if task.split(".", 1)[0] not in self.jobs:
            return 1.0
        step = self._step(task)
        if step.get("long_running"):
            return 1e9
        return step.get("true_ms", step.get("estimate_ms", 100)) / 1000

    def note_start(
        self, worker: Worker, task: str, run: int, fields: dict[str, Any]
    ) -> None:
        """Records a start that a worker has carried out."""
        self.starts.append((time.monotonic(), worker.name, task, run))
        checkpoint = fields.get("checkpoint", "")
        self.checkpoints.append((task, run, checkpoint))
        self._record(
            f"start {task} run {run} on {worker.name} checkpoint '{checkpoint}'"
        )

    def note_end(self, worker: Worker, task: str, run: int, how: str) -> None:
        """Records the end of a run."""
        self.ends.append((time.monotonic(), worker.name, task, run, how))
        self._record(f"end {task} run {run} on {worker.name}: {how}")

    def _tick(self) -> None:
        while True:
            time.sleep(TICK_S)
            for worker in list(self.workers.values()):
                worker.tick()
            self._tick_gangs()

    def gang_size(self, task: str) -> int:
        """Returns how many members a task's gang has; 0 without a gang."""
        if task.split(".", 1)[0] not in self.jobs:
            return 0
        step = self._step(task)
        return step["count"] if step.get("gang") else 0

    def _tick_gangs(self) -> None:
        """Lets gangs work whose members are all present."""
        present: dict[tuple[str, int], list[tuple[Worker, str, dict]]] = {}
        for worker in list(self.workers.values()):
            for task in list(worker.running):
                record = worker.run_of(task)
                if record is not None and self.gang_size(task):
                    key = task.rpartition(".")[0], record["run"]
                    present.setdefault(key, []).append((worker, task, record))
        for key, members in present.items():
            self._tick_gang(key, members)

    def _tick_gang(
        self,
        key: tuple[str, int],
        members: list[tuple[Worker, str, dict[str, Any]]],
    ) -> None:
        """Lets one gang work, and ends it when it is done or not complete."""
        now_s = time.monotonic()
        task = members[0][1]
        gang = self._gangs.get(key)
        if gang is None:
            # The value of any member is valid; work goes on from there.
            saved = max(record["saved"] for _, _, record in members)
            begun_ms = int(saved[:8], 16) if saved else 0.0
            gang = self._gangs[key] = [begun_ms, now_s, now_s]
        worked_ms, since_s, last_s = gang
        # Members that resume from unequal states don't work together.
        equal = len({record["given"] for _, _, record in members}) == 1
        complete = equal and len(members) == self.gang_size(task)
        if complete:
            worked_ms += (now_s - last_s) * 1000
            since_s = now_s
        gang[:] = worked_ms, since_s, now_s
        length_ms = self.duration_s(task) * 1000
        how = ""
        if worked_ms >= length_ms:
            how = "done"
        elif not complete and key in self._complete:
            how = "broken"
        elif (now_s - since_s) * 1000 > GANG_MS:
            how = "alone"
        if complete:
            self._complete.add(key)
        steps = int(worked_ms) // CHECKPOINT_MS
        for worker, member, record in members:
            record["percent"] = min(99, int(100 * worked_ms / length_ms))
            if steps and equal:
                record["saved"] = f"{steps * CHECKPOINT_MS:08x}{key[0][:8]}"
            if how:
                worker.end(member, how)

    def crash(self, name: str) -> None:
        """Has a worker crash for good; its entry is removed after a while."""
        self._record(f"worker {name} crashes for good")
        self.workers[name].crash()

        def remove() -> None:
            time.sleep(REMOVED_AFTER_S)
            self.store.remove("servers", name)

        threading.Thread(target=remove, daemon=True).start()

    def _beat(self) -> None:
        while True:
            time.sleep(1.0)
            self._seq += 1
            for name, worker in list(self.workers.items()):
                if not worker.down:
                    self.store.put("servers", name, worker.report(self._seq))
