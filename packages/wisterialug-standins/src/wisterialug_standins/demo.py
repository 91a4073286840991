"""End-to-end demo: requests, a job, a config change and a drain."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile
import threading
import time
import uuid

import urllib3

from wisterialug_standins import fleet, fleet_hosts, uuid7

LIMITS_CSV = """\
customer,kind,name,weight,max_in_flight,max_queue,max_rate_per_s,\
cpu_millicores,memory_mib,accelerators,latency_target_ms
siam,customer,siam,300,400,200,2000,,,,
siam,team,settlement,100,,,,,,,
siam,service,dispatch,,300,100,,,,,120
himalaya,customer,himalaya,200,400,200,2000,,,,
"""
REQUESTS = 300
TASKS = 36
TASK_RUN_S = 1.0
DEADLINE_S = 60.0
IN_FORCE_LIMIT_S = 4.0
JOB_TIMEOUT_S = 45.0
# More than can be sent before the drain begins.
DRAIN_REQUESTS = 2_000
HTTP_OK = 200


@dataclasses.dataclass
class _Tally:
    """Outcomes and latencies of requests."""

    outcomes: dict[str, int] = dataclasses.field(default_factory=dict)
    latencies_s: list[float] = dataclasses.field(default_factory=list)
    mismatches: int = 0

    def count(self, outcome: str) -> None:
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


class _Demo:
    def __init__(self, system: fleet.Fleet, folder: pathlib.Path) -> None:
        self._system = system
        self._folder = folder
        self._failures: list[str] = []
        self._token_file = folder / "operators.token"
        self._token_file.write_text(fleet_hosts.TOKEN)

    def run(self) -> int:
        """Runs all steps; returns the number that failed."""
        self._import_table()
        self._create_service()
        self._send_requests()
        job = self._submit_job()
        self._change_row()
        self._drain_vm()
        self._finish_job(job)
        self._check_workers()
        return len(self._failures)

    def _check(self, passed: bool, text: str) -> None:
        print(f"  {'ok  ' if passed else 'FAIL'}  {text}")
        if not passed:
            self._failures.append(text)

    def _cli(self, *args: str, vm: str = "vm-1-1") -> dict:
        completed = subprocess.run(
            [
                sys.executable,
                "-m",
                "wisterialug_cli",
                f"--server={self._system.daemons[vm].operator_url}",
                f"--token-file={self._token_file}",
                "--output=json",
                *args,
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        if completed.returncode:
            raise RuntimeError(f"{' '.join(args)}: {completed.stderr}")
        return json.loads(completed.stdout)

    def _import_table(self) -> None:
        path = self._folder / "limits.csv"
        path.write_text(LIMITS_CSV)
        result = self._cli("table", "apply", str(path), "--wait")
        self._check(
            len(result["in_force"]) == len(self._system.daemons),
            f"table imported, in force on {len(result['in_force'])} entry VMs",
        )

    def _create_service(self) -> None:
        self._cli(
            "service",
            "create",
            "siam",
            "dispatch",
            "--wait",
            "--timeout-ms=2000",
            vm="vm-2-1",
        )

    def _send_requests(self) -> None:
        tally = _Tally()
        caller_urls = [d.caller_url for d in self._system.daemons.values()]
        _send_all(caller_urls, REQUESTS, tally)
        cuts = statistics.quantiles(tally.latencies_s, n=100)
        print(
            f"  requests: {tally.outcomes},"
            f" p50 {cuts[49] * 1000:.1f} ms, p99 {cuts[98] * 1000:.1f} ms"
        )
        self._check(
            tally.outcomes.get("done") == REQUESTS and not tally.mismatches,
            "every caller got the complete response to its own request",
        )

    def _submit_job(self) -> str:
        result = self._cli(
            "job",
            "submit",
            "siam",
            "settlement",
            "nightly",
            f"--tasks={TASKS}",
            f"--run-s={TASK_RUN_S}",
            "--cpu-millicores=4000",
            "--memory-mib=8000",
            f"--deadline-s={DEADLINE_S}",
            vm="vm-3-2",
        )
        print(f"  job {result['id']} submitted: {TASKS} tasks")
        return result["id"]

    def _change_row(self) -> None:
        path = self._folder / "edited.csv"
        self._cli("table", "export", f"--file={path}", vm="vm-2-2")
        edited = path.read_text().replace("siam,siam,300", "siam,siam,500")
        path.write_text(edited)
        started = time.monotonic()
        result = self._cli("table", "apply", str(path), "--wait", vm="vm-2-2")
        took_s = time.monotonic() - started
        self._check(
            len(result["in_force"]) == len(self._system.daemons)
            and took_s <= IN_FORCE_LIMIT_S,
            f"changed row in force everywhere in {took_s:.2f} s",
        )

    def _drain_vm(self) -> None:
        """Drains one VM while a load balancer sends to it."""
        tally = _Tally()
        daemon = self._system.daemons["vm-1-3"]
        sender = threading.Thread(
            target=_send_all,
            args=(
                [daemon.caller_url],
                DRAIN_REQUESTS,
                tally,
                daemon.metrics_url + "/readyz",
            ),
        )
        sender.start()
        self._cli("vm", "drain", "vm-1-3")
        sender.join()
        code = self._system.daemons["vm-1-3"].process.wait(30)
        self._check(
            code == 0
            and set(tally.outcomes) == {"done"}
            and not tally.mismatches,
            f"vm-1-3 drained with requests in flight: {tally.outcomes}",
        )

    def _finish_job(self, job: str) -> None:
        def completed() -> bool:
            return self._job(job)["states"].get("done") == TASKS

        try:
            fleet.wait_for(completed, JOB_TIMEOUT_S, "job")
        except TimeoutError as exc:
            print(f"  {exc}")
        status = self._job(job)
        remaining_s = status["deadline_unix_ms"] / 1000 - time.time()
        self._check(
            status["states"] == {"done": TASKS} and remaining_s > 0,
            f"tasks {status['states']}, evictions {status['evictions']},"
            f" {remaining_s:.0f} s before the deadline",
        )

    def _job(self, job: str) -> dict:
        return self._system.operator_request(
            "vm-2-1", "GET", f"/v1/jobs/{job}"
        )[1]

    def _check_workers(self) -> None:
        runs: dict[str, int] = {}
        overcommitted = 0
        for worker in self._system.of_role("VM_ROLE_WORKER"):
            log = self._system.worker_log(worker)
            overcommitted += log["overcommitted"]
            for run in log["runs"]:
                runs[run["task"]] = runs.get(run["task"], 0) + 1
        self._check(
            len(runs) == TASKS and set(runs.values()) == {1},
            "the workers' logs show each task exactly once",
        )
        self._check(overcommitted == 0, "no worker was overcommitted")


def _send_all(
    urls: list[str], count: int, tally: _Tally, ready_url: str = ""
) -> None:
    """Sends requests to entry VMs in turn, a few at a time.

    With a readiness URL, stops like a load balancer once the VM is not ready.
    """
    pool = urllib3.PoolManager(num_pools=32, maxsize=8, retries=False)
    lock = threading.Lock()
    numbers = iter(range(count))

    def ready() -> bool:
        if not ready_url:
            return True
        try:
            return pool.request("GET", ready_url).status == HTTP_OK
        except urllib3.exceptions.HTTPError:
            return False

    def send() -> None:
        while True:
            with lock:
                number = next(numbers, None)
            if number is None or not ready():
                return
            _send_one(pool, urls[number % len(urls)], tally, lock)

    threads = [threading.Thread(target=send) for _ in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _send_one(
    pool: urllib3.PoolManager, url: str, tally: _Tally, lock: threading.Lock
) -> None:
    tag = uuid.uuid4().hex
    started = time.monotonic()
    try:
        resp = pool.request(
            "POST",
            url + "/services/dispatch/pickups",
            body=tag.encode(),
            headers={
                "Wisterialug-Customer": "siam",
                "Idempotency-Key": uuid7.make(),
                "X-Request-Id": tag,
            },
            timeout=10.0,
        )
    except urllib3.exceptions.NewConnectionError:
        with lock:
            tally.count("refused")
        return
    except urllib3.exceptions.HTTPError:
        with lock:
            tally.count("unknown")
        return
    outcome = resp.headers.get("Wisterialug-Outcome", "unknown")
    with lock:
        tally.count(outcome)
        tally.latencies_s.append(time.monotonic() - started)
        if outcome == "done" and json.loads(resp.data)["body"] != tag:
            tally.mismatches += 1


def main() -> int:
    """Runs the demo; returns 0 only if all checks passed."""
    started = time.monotonic()
    print("wisterialug demo: 9 entry VMs in 3 data centres")
    with tempfile.TemporaryDirectory() as folder:
        with fleet.Fleet(fleet_hosts.FleetSpec()) as system:
            print(f"  all ready after {time.monotonic() - started:.1f} s")
            failed = _Demo(system, pathlib.Path(folder)).run()
    print(f"{failed} checks failed, {time.monotonic() - started:.1f} s")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
