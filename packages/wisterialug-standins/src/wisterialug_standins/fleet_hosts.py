"""What a fleet of daemons and stand-ins consists of, and their ports."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import subprocess

CALLER_PORT = 8080
OPERATOR_PORT = 8081
PEER_PORT = 8082
METRICS_PORT = 8083
TABLE_PORT = 8090
VM_LIST_PORT = 8091
CONTROL_PORT = 8092
OBJECT_PORT = 8093
LOCK_PORT = 8099
UPSTREAM_PORT = 8100
TOKEN = "operators-token"
# What a failed test shows of /proc/PID/status.
STATUS_LINES = ("State", "VmRSS", "SigPnd", "ShdPnd", "SigBlk")


@dataclasses.dataclass(frozen=True)
class FleetSpec:
    """Counts per data centre, and settings of the daemons."""

    data_centres: int = 3
    entry_vms: int = 3
    workers: int = 3
    instances: int = 3
    slots: int = 8
    service_mean_s: float = 0.01
    worker_capacity: tuple[int, int, int] = (16_000, 64_000, 0)
    customer: str = "siam"
    service: str = "dispatch"
    # Fault proxies from entry VMs to the table and to each other.
    proxies: bool = False
    instance_proxies: bool = False
    settings: tuple[str, ...] = ()


@dataclasses.dataclass
class Daemon:
    """One wisterialugd process."""

    vm: str
    data_centre: str
    ip: str
    args: list[str]
    process: subprocess.Popen | None = None

    @property
    def caller_url(self) -> str:
        """The base URL for callers."""
        return f"http://{self.ip}:{CALLER_PORT}"

    @property
    def operator_url(self) -> str:
        """The base URL for operators."""
        return f"http://{self.ip}:{OPERATOR_PORT}"

    @property
    def metrics_url(self) -> str:
        """The base URL for monitoring."""
        return f"http://{self.ip}:{METRICS_PORT}"


def cpu_s(pid: int) -> float:
    """Returns the CPU seconds that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rsplit(") ", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def process_state(process: subprocess.Popen) -> str:
    """Returns a process's exit code, or its state according to the kernel."""
    if process.poll() is not None:
        return f"exit code {process.returncode}"
    try:
        folder = pathlib.Path(f"/proc/{process.pid}")
        lines = (folder / "status").read_text().splitlines()
        shown = [line for line in lines if line.startswith(STATUS_LINES)]
        return "\n".join([f"waits in {(folder / 'wchan').read_text()}", *shown])
    except OSError as exc:
        return f"unknown: {exc}"


def vm_row(vm: str, role: str, dc: int, ip: str, port: int) -> dict:
    """Returns the entry of a VM in the VM list."""
    return {
        "id": vm,
        "role": role,
        "state": "VM_STATE_LIVE",
        "dataCentre": f"dc-{dc}",
        "ip": ip,
        "port": port,
    }


def terminate(process: subprocess.Popen) -> None:
    """Kills a process, also if it is paused, and closes its pipes."""
    if process.poll() is None:
        if os.name == "posix":
            process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()
    for pipe in (process.stdin, process.stdout):
        if pipe is not None:
            pipe.close()
