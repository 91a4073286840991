"""Processes of the system beside a store and workers that answer over HTTP."""

import base64
import json
import pathlib
import subprocess
import sys
import tempfile
import urllib.parse
import uuid

import eventlet
import result

from tests.test_daemon import workflow_base
from tests.test_platform import thin_store
from wisterialug_daemon.http import responses, server
from wisterialug_daemon.workflow import errors, row_store, worker_calls
from wisterialug_standins import emulated_workers

ROOT = pathlib.Path(__file__).parents[2]
HOST = "jobs.example"
PREFIX = "/jobs/"
SERVICE = "app"
READY_S = 20.0
CALL_S = 3.0
STORE_PORT, WORKER_PORT = 8169, 8080
CALLERS_PORT, READINESS_PORT = 8161, 8167
PEERS_PORT, METRICS_PORT = 7720, 9464
_REASONS = {
    errors.Rejection.FENCED: "fence",
    errors.Rejection.OLD_RUN: "old",
    errors.Rejection.EXPIRED: "late",
    errors.Rejection.NO_ROOM: "room",
}
_SETTINGS = """\
node = "{node}"
zone = "dc1"
ip = "{ip}"
internal_ports = [7720, 7735]
heartbeat_ms = 1100
contracts = ["base", "sched"]
orders = "rpc"
[listen]
front = "{ip}:8161"
ready = "{ip}:8167"
control = "{ip}:8166"
[limits]
cpu_share = 0.5
cores = 2
memory_mb = {memory_mb}
max_fds = {max_fds}
[bounds]
hold_max_ms = {hold_max_ms}
status_s = 60
grace_s = 6
[platform]
address = "{store}"
row_bytes = 65536
"""


def call(ip, port, method, path, fields=None):
    """Makes one HTTP call; returns its status, 0 without an answer."""
    http = eventlet.import_patched("http.client")
    conn = http.HTTPConnection(ip, port, timeout=CALL_S)
    try:
        body = None if fields is None else json.dumps(fields)
        conn.request(method, path, body, {"Host": HOST})
        answer = conn.getresponse()
        return answer.status, answer.read()
    except OSError:
        return 0, b""
    finally:
        conn.close()


class StoreApplication:
    """Answers calls to rows that are kept in memory."""

    def __init__(self, rows):
        self._rows = rows

    def __call__(self, environ, start_response):
        path = environ["PATH_INFO"]
        query = dict(
            urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""), True)
        )
        if path == "/rows-tx":
            length = int(environ["CONTENT_LENGTH"])
            answer = self._transact(
                json.loads(environ["wsgi.input"].read(length))
            )
        else:
            read = thin_store.read_feed
            if path == "/rows-get":
                read = thin_store.read_scan
            found = read(self._rows, query)
            answer = 410, {}
            if found is not None:
                answer = 200, thin_store.answer_fields(*found)
        return responses.json_response(start_response, *answer)

    def _transact(self, fields):
        outcome = self._rows.commit(
            row_store.Transaction(
                tuple((_ref(e), e["ver"]) for e in fields["expected_rev"]),
                tuple(
                    (_ref(e), base64.b64decode(e["value"]))
                    for e in fields["writes"]
                ),
                tuple(map(_ref, fields["remove"])),
            ),
            CALL_S,
        )
        if outcome.is_ok():
            return 200, {"ver": outcome.ok_value}
        exc = outcome.err_value
        if isinstance(exc, row_store.ConflictError):
            changes = [(r.version, r.ref, r.value) for r in exc.rows]
            version = self._rows.version()
            return 412, thin_store.answer_fields(version, changes)
        rejected = isinstance(exc, errors.StoreRejectedError)
        return (400 if rejected else 503), {"error": str(exc)}


class WorkerApplication:
    """Answers calls to one emulated worker."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name

    def __call__(self, environ, start_response):
        length = int(environ["CONTENT_LENGTH"] or 0)
        fields = json.loads(environ["wsgi.input"].read(length))
        worker = self._fleet.workers[self._name].report
        expected = environ.get("HTTP_X_EXPECTED_INSTANCE", worker.name)
        if expected != worker.name:
            return responses.json_response(start_response, 421, {})
        outcome = self._carry_out(environ["PATH_INFO"], worker, fields)
        clock_ms = self._fleet.workers[self._name].clock_ms()
        if outcome.is_err():
            reason = _REASONS[outcome.err_value.reason]
            answer = {"clock_ms": clock_ms, "reason": reason}
            return responses.json_response(start_response, 409, answer)
        answer = {"clock_ms": clock_ms, **outcome.ok_value}
        return responses.json_response(start_response, 200, answer)

    def _carry_out(self, path, worker, fields):
        epoch = fields["fencing_token"]
        if path == "/hold":
            polled = self._fleet.poll(
                worker,
                epoch,
                fields["ack_seq"],
                fields.get("deadline_ms"),
                fields.get("wait_ms", 0),
                CALL_S,
            )
            return polled.map(_lists)
        task, run = fields["task"], fields["run"]
        if path == "/run-start":
            order = worker_calls.StartOrder(
                task, run, fields["spec"], "", fields["deadline_ms"], epoch
            )
            reply = self._fleet.start(worker, order, CALL_S)
        elif path == "/run-stop":
            reply = self._fleet.stop(worker, task, run, epoch, CALL_S)
        else:
            return result.Ok({})
        return reply.map(lambda _: {})


class ProcessTest(workflow_base.WorkflowTest):
    """Provides processes that are started with the deploy file's command."""

    PROCESSES = 3
    # Of each process, in its settings.
    MEMORY_MB = 300
    MAX_FDS = 4100

    def setUp(self):
        super().setUp()
        self._net = f"127.{self.rng_byte()}.{self.rng_byte()}"
        self._folder = tempfile.TemporaryDirectory()
        self.addCleanup(self._folder.cleanup)
        self.processes = []
        self._serve(
            f"{self._net}.200", STORE_PORT, StoreApplication(self.store)
        )
        self.write(
            "op",
            "config",
            json.dumps(
                {
                    "version": 1,
                    "routes": [
                        {
                            "name": "r",
                            "host": HOST,
                            "path_prefix": PREFIX,
                            "service": SERVICE,
                            "max_attempts": 3,
                            "stretch": 2.0,
                            "target_latency_ms": 500,
                        }
                    ],
                    "services": [{"name": SERVICE}],
                }
            ).encode(),
        )

    def rng_byte(self):
        return uuid.uuid4().int % 254 + 1

    def _serve(self, ip, port, application):
        served = server.WsgiServer(ip, port, application)
        self.addCleanup(served.close)

    def write(self, table, key, value):
        """Writes a row as others do; removes it if there is no value."""
        ref = row_store.RowRef(table, "", key)
        writes = ((ref, value),) if value is not None else ()
        removes = () if writes else (ref,)
        outcome = self.store.commit(
            row_store.Transaction((), writes, removes), CALL_S
        )
        self.assertTrue(outcome.is_ok())

    def add_worker(self, name, number):
        """Starts a worker and lists it; returns its entry."""
        self.fleet.add(name)
        ip = f"{self._net}.{100 + number}"
        self._serve(ip, WORKER_PORT, WorkerApplication(self.fleet, name))
        report = self.fleet.workers[name].report
        entry = {
            "service": SERVICE,
            "address": f"{ip}:{WORKER_PORT}",
            "zone": "dc1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "capacity": {
                "cpu": report.capacity.cpu_millicores,
                "mem_mb": report.capacity.memory_mib,
            },
            "labels": list(report.labels),
        }
        self.write("servers", name, json.dumps(entry).encode())
        return entry

    def start_processes(self):
        folder = pathlib.Path(self._folder.name)
        for number in range(self.PROCESSES):
            ip = f"{self._net}.{number + 1}"
            path = folder / f"{number}.toml"
            path.write_text(
                _SETTINGS.format(
                    node=f"front-{number}",
                    ip=ip,
                    memory_mb=self.MEMORY_MB,
                    max_fds=self.MAX_FDS,
                    hold_max_ms=emulated_workers.MAX_LEASE_MS,
                    store=f"{self._net}.200:{STORE_PORT}",
                )
            )
            with (folder / f"{number}.log").open("wb") as log:
                process = subprocess.Popen(
                    [sys.executable, "platform/wisterialugd_platform.py"],
                    cwd=ROOT,
                    stdout=log,
                    stderr=subprocess.STDOUT,
                    env={"WISTERIALUG_CONFIG": str(path), "PATH": "/bin"},
                )
            self.processes.append(process)
            self.addCleanup(process.wait)
            self.addCleanup(process.kill)
        for number in range(self.PROCESSES):
            self.wait_for(
                lambda ip=f"{self._net}.{number + 1}": (
                    call(ip, READINESS_PORT, "GET", "/ready")[0] == 200
                ),
                READY_S,
                self.logged,
            )

    def hand_in(self, tasks=4, within_s=10):
        """Hands a job in; returns its id once it is accepted."""
        job = workflow_base.workflow_pb2.Job(
            id=f"{self.rng.getrandbits(64):016x}",
            steps=[workflow_base.step(tasks)],
        )
        self.jobs[job.id] = job
        fields = {
            "spec": "x",
            "steps": [
                {"count": tasks, "cpu": 1000, "mem_mb": 100, "estimate_ms": 200}
            ],
        }
        self.wait_for(
            lambda: self.ask("POST", job.id, fields)[0] == 200,
            within_s,
            self.logged,
        )
        return job.id

    def ask(self, method, job, fields=None):
        ip = f"{self._net}.{self.rng.randrange(self.PROCESSES) + 1}"
        return call(ip, CALLERS_PORT, method, PREFIX + job, fields)

    def wait_until_completed(self, job, within_s=15):
        self.wait_for(
            lambda: b"completed" in self.ask("GET", job)[1],
            within_s,
            self.logged,
        )

    def logged(self):
        """Returns the last lines of each process, for messages."""
        folder = pathlib.Path(self._folder.name)
        return "\n".join(
            "\n".join(path.read_text().splitlines()[-30:])
            for path in sorted(folder.glob("*.log"))
        )

    def events(self, name):
        """Returns how many lines of an event the processes have logged."""
        folder = pathlib.Path(self._folder.name)
        text = f'"event": "{name}"'
        return sum(
            path.read_text().count(text) for path in folder.glob("*.log")
        )


def _lists(report):
    return {
        "running": [
            [r.task, r.run, r.checkpoint, r.progress, 0] for r in report.running
        ],
        "finished": [
            [e.seq, e.task, e.run, e.end.value, e.checkpoint]
            for e in report.ended
        ],
    }


def _ref(entry):
    return row_store.RowRef(entry["table"], entry["part"], entry["key"])
