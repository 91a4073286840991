"""Runs daemons and stand-ins as processes, for demos and tests."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING

import urllib3

from wisterialug_standins import fleet_hosts

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

POLL_S = 0.05


class Fleet:
    """Entry VMs, platform, workers and instances on loopback addresses."""

    def __init__(
        self, spec: fleet_hosts.FleetSpec, log_dir: str | None = None
    ) -> None:
        self.spec = spec
        self._stack = contextlib.ExitStack()
        # Concurrent fleets differ in the second octet of their addresses.
        self._octet = self._reserve_octet()
        self.http = urllib3.PoolManager(num_pools=64, maxsize=16, retries=False)
        self._log_dir = pathlib.Path(
            log_dir or self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self._token_file = self._log_dir / "token"
        self._token_file.write_text(fleet_hosts.TOKEN)
        self.daemons: dict[str, fleet_hosts.Daemon] = {}
        self.vms: dict[str, dict] = {}
        self._views: dict[str, dict[str, dict]] = {}
        self._host_specs: list[dict] = []
        self._instance_specs: dict[str, list[dict]] = {}
        self._host_processes: dict[str, subprocess.Popen] = {}
        self._define_hosts()

    def __enter__(self) -> Fleet:
        """Starts everything and waits until it is ready."""
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        self.close()

    def _reserve_octet(self) -> int:
        """Reserves a second octet that no other fleet on this machine uses."""
        while True:
            octet = random.SystemRandom().randrange(16, 250)
            lock = socket.socket()
            try:
                lock.bind((f"127.{octet}.0.1", fleet_hosts.LOCK_PORT))
            except OSError:
                lock.close()
                continue
            self._stack.callback(lock.close)
            return octet

    # Layout.

    def ip(self, third: int, fourth: int) -> str:
        """Returns an address of this fleet."""
        return f"127.{self._octet}.{third}.{fourth}"

    @property
    def table_url(self) -> str:
        """The base URL of the table service, without a proxy."""
        return f"http://{self.ip(0, 1)}:{fleet_hosts.TABLE_PORT}"

    def _define_hosts(self) -> None:
        spec = self.spec
        platform = self.ip(0, 1)
        self._host_specs = [
            {"kind": "table", "ip": platform, "port": fleet_hosts.TABLE_PORT},
            {
                "kind": "vm-list",
                "ip": platform,
                "port": fleet_hosts.VM_LIST_PORT,
            },
            {
                "kind": "object-store",
                "ip": platform,
                "port": fleet_hosts.OBJECT_PORT,
            },
            {
                "kind": "proxy-control",
                "ip": platform,
                "port": fleet_hosts.CONTROL_PORT,
            },
        ]
        for dc in range(1, spec.data_centres + 1):
            for n in range(1, spec.entry_vms + 1):
                self._add_daemon(dc, n)
            for n in range(1, spec.workers + 1):
                self._add_worker(dc, n)
            for n in range(1, spec.instances + 1):
                self._add_instance(dc, n)
        if spec.proxies:
            self._add_peer_proxies()

    def _add_daemon(self, dc: int, n: int) -> None:
        vm, ip = f"vm-{dc}-{n}", self.ip(dc, n)
        table_ip = self.ip(0, 1)
        if self.spec.proxies:
            table_ip = self.ip(100 + dc, n)
            self._host_specs.append(
                {
                    "kind": "proxy",
                    "name": f"{vm}>table",
                    "ip": table_ip,
                    "port": fleet_hosts.TABLE_PORT,
                    "target": [self.ip(0, 1), fleet_hosts.TABLE_PORT],
                }
            )
        args = [
            f"--vm-id={vm}",
            f"--data-centre=dc-{dc}",
            f"--ip={ip}",
            f"--caller-port={fleet_hosts.CALLER_PORT}",
            f"--operator-port={fleet_hosts.OPERATOR_PORT}",
            f"--peer-port={fleet_hosts.PEER_PORT}",
            f"--metrics-port={fleet_hosts.METRICS_PORT}",
            f"--table-url=http://{table_ip}:{fleet_hosts.TABLE_PORT}",
            f"--vm-list-url=http://{self.ip(0, 1)}:{fleet_hosts.VM_LIST_PORT}/{vm}",
            f"--operator-token-file={self._token_file}",
            *self.spec.settings,
        ]
        self.daemons[vm] = fleet_hosts.Daemon(vm, f"dc-{dc}", ip, args)
        self.vms[vm] = fleet_hosts.vm_row(
            vm, "VM_ROLE_ENTRY", dc, ip, fleet_hosts.PEER_PORT
        )

    def _add_worker(self, dc: int, n: int) -> None:
        vm, ip = f"worker-{dc}-{n}", self.ip(dc, 50 + n)
        self._host_specs.append(
            {
                "kind": "worker",
                "ip": ip,
                "port": fleet_hosts.UPSTREAM_PORT,
                "capacity": self.spec.worker_capacity,
                "objects": f"http://{self.ip(0, 1)}:{fleet_hosts.OBJECT_PORT}",
            }
        )
        cpu, memory, accelerators = self.spec.worker_capacity
        self.vms[vm] = fleet_hosts.vm_row(
            vm, "VM_ROLE_WORKER", dc, ip, fleet_hosts.UPSTREAM_PORT
        ) | {
            "rack": "r1",
            "resources": {
                "cpuMillicores": cpu,
                "memoryMib": memory,
                "accelerators": accelerators,
            },
        }

    def _add_instance(self, dc: int, n: int) -> None:
        vm, ip = f"instance-{dc}-{n}", self.ip(dc, 100 + n)
        host_spec = {
            "kind": "instance",
            "name": vm,
            "ip": ip,
            "port": fleet_hosts.UPSTREAM_PORT,
            "mean_s": self.spec.service_mean_s,
            "slots": self.spec.slots,
        }
        self._instance_specs.setdefault(f"instances-{dc}", []).append(host_spec)
        listed_ip = ip
        if self.spec.instance_proxies:
            listed_ip = self.ip(dc, 200 + n)
            self._host_specs.append(
                {
                    "kind": "proxy",
                    "name": f">{vm}",
                    "ip": listed_ip,
                    "port": fleet_hosts.UPSTREAM_PORT,
                    "target": [ip, fleet_hosts.UPSTREAM_PORT],
                }
            )
        self.vms[vm] = fleet_hosts.vm_row(
            vm, "VM_ROLE_INSTANCE", dc, listed_ip, fleet_hosts.UPSTREAM_PORT
        ) | {"customer": self.spec.customer, "service": self.spec.service}

    def _add_peer_proxies(self) -> None:
        names = list(self.daemons)
        for i, source in enumerate(names):
            for j, target in enumerate(names):
                if i == j:
                    continue
                ip = self.ip(150 + i, 1 + j)
                self._host_specs.append(
                    {
                        "kind": "proxy",
                        "name": f"{source}>{target}",
                        "ip": ip,
                        "port": fleet_hosts.PEER_PORT,
                        "target": [
                            self.daemons[target].ip,
                            fleet_hosts.PEER_PORT,
                        ],
                    }
                )
                self._views.setdefault(source, {})[target] = {"ip": ip}

    # Processes.

    def _start(self) -> None:
        self._host_processes["platform"] = self._spawn_host(self._host_specs)
        for name, specs in self._instance_specs.items():
            self._host_processes[name] = self._spawn_host(specs)
        for process in self._host_processes.values():
            process.stdout.readline()
        self.publish()
        for vm in self.daemons:
            self.start_daemon(vm)
        self.wait_ready(self.daemons)

    def _spawn_host(self, specs: list[dict]) -> subprocess.Popen:
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "wisterialug_standins",
                json.dumps(specs),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self._stack.callback(fleet_hosts.terminate, process)
        return process

    def start_daemon(self, vm: str) -> None:
        """Starts an entry VM's daemon."""
        daemon = self.daemons[vm]
        log = (self._log_dir / f"{vm}.log").open("ab")
        daemon.process = subprocess.Popen(
            [sys.executable, "-m", "wisterialug_daemon", *daemon.args],
            stdout=log,
            stderr=subprocess.STDOUT,
            # A daemon that hangs can be told to log its stack with SIGABRT.
            env={**os.environ, "PYTHONFAULTHANDLER": "1"},
        )
        log.close()
        self._stack.callback(fleet_hosts.terminate, daemon.process)

    def signal_daemon(self, vm: str, signum: int) -> None:
        """Sends a signal to a daemon."""
        self.daemons[vm].process.send_signal(signum)

    def kill_daemon(self, vm: str) -> None:
        """Kills a daemon with SIGKILL."""
        process = self.daemons[vm].process
        process.kill()
        process.wait()

    def stop_daemon(self, vm: str, timeout_s: float = 30.0) -> int:
        """Stops a daemon gracefully; returns its exit code."""
        process = self.daemons[vm].process
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout_s)

    def close(self) -> None:
        """Stops everything that this fleet started."""
        self._stack.close()

    def log_text(self, vm: str) -> str:
        """Returns the log output of a daemon."""
        return (self._log_dir / f"{vm}.log").read_text()

    # Platform and waiting.

    def publish(self) -> None:
        """Publishes the VM list."""
        self.post(
            f"http://{self.ip(0, 1)}:{fleet_hosts.VM_LIST_PORT}/v1/vms",
            {"vms": list(self.vms.values()), "views": self._views},
        )

    def set_faults(
        self, names: Iterable[str], fault: str, delay_s: float = 0.0
    ) -> None:
        """Sets a fault on proxies by name."""
        self.post(
            f"http://{self.ip(0, 1)}:{fleet_hosts.CONTROL_PORT}/",
            {"names": list(names), "fault": fault, "delay_s": delay_s},
        )

    def set_table_faults(self, **faults: object) -> None:
        """Sets faults of the table service."""
        self.post(f"{self.table_url}/v1/faults", faults)

    def table_stats(self) -> dict:
        """Returns the counters of the table service."""
        return self.post(f"{self.table_url}/v1/stats", {})

    def post(self, url: str, body: object) -> dict:
        """Posts JSON and returns the JSON response."""
        resp = self.http.request("POST", url, body=json.dumps(body).encode())
        return json.loads(resp.data or b"{}")

    def get(self, url: str) -> dict:
        """Gets JSON."""
        return json.loads(self.http.request("GET", url).data)

    def upstream_url(self, vm: str) -> str:
        """Returns the base URL of a worker or instance, without a proxy."""
        dc, n = vm.split("-")[1:]
        offset = 100 if vm.startswith("instance") else 50
        return f"http://{self.ip(int(dc), offset + int(n))}:{fleet_hosts.UPSTREAM_PORT}"

    def set_behaviour(self, vm: str, **behaviour: object) -> None:
        """Changes how a worker or instance behaves."""
        path = "/-/behaviour" if vm.startswith("instance") else "/v1/behaviour"
        self.post(self.upstream_url(vm) + path, behaviour)

    def instance_log(self, vm: str) -> dict:
        """Returns the request log of an instance."""
        return self.get(self.upstream_url(vm) + "/-/log")

    def worker_log(self, vm: str) -> dict:
        """Returns the attempt log of a worker."""
        return self.get(self.upstream_url(vm) + "/v1/log")

    def of_role(self, role: str) -> list[str]:
        """Returns the ids of VMs with a role."""
        return [vm for vm, row in self.vms.items() if row["role"] == role]

    def operator_request(
        self, vm: str, method: str, path: str, body: object = None
    ) -> tuple[int, object]:
        """Sends a request to the operator API of an entry VM."""
        resp = self.http.request(
            method,
            self.daemons[vm].operator_url + path,
            body=None if body is None else json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {fleet_hosts.TOKEN}"},
        )
        return resp.status, json.loads(resp.data)

    def wait_ready(self, vms: Iterable[str], timeout_s: float = 30.0) -> None:
        """Waits until daemons are ready and have instance slots."""
        for vm in vms:
            url = self.daemons[vm].metrics_url + "/readyz"
            wait_for(lambda url=url: self._ok(url), timeout_s, f"{vm} ready")
        for vm in vms:
            wait_for(
                lambda vm=vm: self._has_slots(vm), timeout_s, f"{vm} slots"
            )

    def _has_slots(self, vm: str) -> bool:
        _, status = self.operator_request(vm, "GET", "/v1/status")
        return status["slots_usable"] and (
            not self.spec.instances
            or any(entry["limit"] for entry in status["instances"])
        )

    def _ok(self, url: str) -> bool:
        try:
            return self.http.request("GET", url, timeout=2.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False


def wait_for(
    condition: Callable[[], bool], timeout_s: float, description: str
) -> float:
    """Polls a condition; returns the seconds until it was true.

    Raises:
      TimeoutError: The condition was not true in time.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_s:
            raise TimeoutError(f"{description}: timed out after {timeout_s} s")
        time.sleep(POLL_S)
    return time.monotonic() - started
