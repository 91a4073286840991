"""Measures what daemons cost while nothing is asked of them."""

from __future__ import annotations

import time

from wisterialug_standins import fleet, fleet_hosts

KIB = 1024
IDLE_S = 20.0
SETTLE_S = 5.0


def measure() -> list[dict]:
    """Measures idle daemons by number of data centres and workers."""
    rows = []
    for dcs, workers in ((1, 0), (2, 0), (3, 0), (1, 12), (1, 24)):
        spec = fleet_hosts.FleetSpec(
            data_centres=dcs, workers=workers, instances=1
        )
        with fleet.Fleet(spec) as system:
            time.sleep(SETTLE_S)
            before = _sample(system)
            time.sleep(IDLE_S)
            after = _sample(system)
        count = len(system.daemons)
        rows.append(
            {
                "way": "idle daemons",
                "entry_vms": count,
                "workers_a_centre": workers,
                "rss_mib": max(vm["rss_kib"] for vm in after["vms"]) / KIB,
                "cpu_percent": _vm_rate(before, after, "cpu_s") * 100 / count,
                "peer_bytes_s": _vm_rate(before, after, "peer_bytes") / count,
                "table_bytes_s": _table_rate(before, after, "bytes") / count,
                "table_reads_s": _table_rate(before, after, "reads"),
                "table_writes_s": _table_rate(before, after, "writes"),
                "loop_lag_max_ms": max(
                    vm["loop_lag_max_s"] for vm in after["vms"]
                )
                * 1000,
            }
        )
    return rows


def _sample(system: fleet.Fleet) -> dict:
    return {
        "time": time.monotonic(),
        "table": system.table_stats(),
        "vms": [_sample_vm(system, d) for d in system.daemons.values()],
    }


def _sample_vm(system: fleet.Fleet, daemon: fleet_hosts.Daemon) -> dict:
    values: dict[str, float] = {}
    text = system.http.request("GET", daemon.metrics_url + "/metrics").data
    for line in text.decode().splitlines():
        if not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            name = name.partition("{")[0]
            values[name] = values.get(name, 0.0) + float(value)
    proc = f"/proc/{daemon.process.pid}/"
    return {
        "rss_kib": proc_value(proc + "status", "VmRSS:"),
        "cpu_s": fleet_hosts.cpu_s(daemon.process.pid),
        "peer_bytes": values["wisterialug_peer_bytes_total"],
        "loop_lag_max_s": values["wisterialug_loop_lag_max_seconds"],
    }


def proc_value(file: str, name: str) -> int:
    """Returns the number behind a name in a file of /proc."""
    with open(file, encoding="ascii") as lines:
        for line in lines:
            if line.startswith(name):
                return int(line.split()[1])
    raise KeyError(name)


def _vm_rate(before: dict, after: dict, name: str) -> float:
    change = sum(vm[name] for vm in after["vms"]) - sum(
        vm[name] for vm in before["vms"]
    )
    return change / (after["time"] - before["time"])


def _table_rate(before: dict, after: dict, name: str) -> float:
    change = after["table"][name] - before["table"][name]
    return change / (after["time"] - before["time"])
