"""Compares routing policies, loads and overhead in runs of real processes.

python -m wisterialug_standins.experiment routing [--seconds 8] [--out out]
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import pathlib
import subprocess
import sys
import time

from hdrh import histogram

from wisterialug_standins import fleet, fleet_hosts, ideal_queue, load, report

ENTRY_VMS = 3
INSTANCES = 10
SLOTS = 8
SERVICE_MEAN_S = 0.1
CAPACITY_PER_S = INSTANCES * SLOTS / SERVICE_MEAN_S
SENDERS = 2
WARMUP_S = 3.0
IDEAL_QUEUE_REQUESTS = 200_000
TIMEOUT_S = 2.0
SLOW_FACTOR = 10.0
POLICIES = ("round-robin", "two-choices", "least-in-flight")
SEED = 7
BURST_S = 10.0
# Time after a burst for latency to recover.
RECOVERY_S = 5.0
OVERHEAD_SERVICE_MEAN_S = 0.0
OVERHEAD_RATE_PER_S = 30.0


@dataclasses.dataclass(frozen=True)
class Scenario:
    """An offered load with at most one fault."""

    name: str
    load: float
    slow_instance: bool = False
    vm_killed: bool = False


SCENARIOS = (
    Scenario("30% load", 0.3),
    Scenario("70% load", 0.7),
    Scenario("95% load", 0.95),
    Scenario("200% load", 2.0),
    Scenario("70% load, one slow instance", 0.7, slow_instance=True),
    Scenario("50% load, one VM gone", 0.5, vm_killed=True),
)


def routing(seconds: float) -> list[dict]:
    """Runs all scenarios for each routing policy."""
    rows = []
    for policy in POLICIES:
        spec = _fleet_spec(policy, SERVICE_MEAN_S)
        with fleet.Fleet(spec) as system:
            make_service(system)
            for scenario in SCENARIOS:
                row = _run_scenario(system, scenario, seconds)
                rows.append({"way": policy, **row})
    return rows


def burst(seconds: float) -> list[dict]:
    """Measures latency around a burst of three times the capacity."""
    spec = _fleet_spec(POLICIES[-1], SERVICE_MEAN_S)
    rows = []
    with fleet.Fleet(spec) as system:
        make_service(system)
        vms = list(system.daemons)
        for name, load_, warmup_s, length_s in (
            ("before", 0.5, WARMUP_S, seconds),
            ("burst", 3.0, 0.0, BURST_S),
            ("after, from 5 s on", 0.5, RECOVERY_S, seconds),
        ):
            row = send(system, vms, load_ * CAPACITY_PER_S, length_s, warmup_s)
            rows.append({"way": name, "load": load_, **row})
    return rows


def overhead(seconds: float) -> list[dict]:
    """Compares direct calls to instances with calls through entry VMs."""
    spec = _fleet_spec(POLICIES[-1], OVERHEAD_SERVICE_MEAN_S)
    rows = []
    with fleet.Fleet(spec) as system:
        make_service(system)
        direct = [
            system.upstream_url(name) + "/x" for name in _instance_ids(system)
        ]
        via_entry_vm = [
            daemon.caller_url + "/services/dispatch/x"
            for daemon in system.daemons.values()
        ]
        for name, urls in (("direct", direct), ("entry VM", via_entry_vm)):
            row = send_to(urls, OVERHEAD_RATE_PER_S, seconds, WARMUP_S)
            rows.append({"way": name, **row})
    return rows


def _fleet_spec(policy: str, mean_s: float) -> fleet_hosts.FleetSpec:
    return fleet_hosts.FleetSpec(
        data_centres=1,
        entry_vms=ENTRY_VMS,
        workers=0,
        instances=INSTANCES,
        service_mean_s=mean_s,
        slots=SLOTS,
        settings=(f"--routing-policy={policy}",),
    )


def make_service(system: fleet.Fleet) -> None:
    """Creates a customer and its service and waits until they apply."""
    vm = next(iter(system.daemons))
    key = "limit/siam/customer/siam"
    system.operator_request(
        vm,
        "POST",
        "/v1/table/apply",
        {"changes": [{"key": key, "column": "row", "value": "present"}]},
    )
    _, resp = system.operator_request(
        vm,
        "POST",
        "/v1/services",
        {"customer": "siam", "name": "dispatch", "idempotent": True},
    )
    system.operator_request(
        vm, "POST", "/v1/in-force", {"revision": resp["revision"]}
    )


def _run_scenario(
    system: fleet.Fleet, scenario: Scenario, seconds: float
) -> dict:
    if scenario.slow_instance:
        system.set_behaviour("instance-1-1", slow_factor=SLOW_FACTOR)
    vms = list(system.daemons)
    if scenario.vm_killed:
        system.kill_daemon(vms.pop())
    cpu_before = {vm: _cpu_s(system, vm) for vm in vms}
    rate = scenario.load * CAPACITY_PER_S
    row = send(system, vms, rate, seconds)
    sent = rate * (seconds + WARMUP_S)
    cpu = sum(_cpu_s(system, vm) - cpu_before[vm] for vm in vms)
    system.set_behaviour("instance-1-1", slow_factor=1.0)
    ideal = ideal_queue.quantiles_s(
        min(rate, 0.99 * CAPACITY_PER_S),
        INSTANCES * SLOTS,
        SERVICE_MEAN_S,
        IDEAL_QUEUE_REQUESTS,
        SEED,
    )
    logs = [system.instance_log(name) for name in _instance_ids(system)]
    return {
        "scenario": scenario.name,
        **row,
        "p99_to_ideal": row["p99_ms"] / (ideal[0.99] * 1000),
        "goodput_to_capacity": row["done"] / seconds / CAPACITY_PER_S,
        "cpu_ms_per_request": 1000 * cpu / sent,
        "max_in_flight": max(log["max_in_flight"] for log in logs),
    }


def _cpu_s(system: fleet.Fleet, vm: str) -> float:
    return fleet_hosts.cpu_s(system.daemons[vm].process.pid)


def _instance_ids(system: fleet.Fleet) -> list[str]:
    return system.of_role("VM_ROLE_INSTANCE")


def send(
    system: fleet.Fleet,
    vms: list[str],
    rate: float,
    seconds: float,
    warmup_s: float = WARMUP_S,
) -> dict:
    """Sends an open-loop load through VMs and aggregates the results."""
    urls = [
        system.daemons[vm].caller_url + "/services/dispatch/x" for vm in vms
    ]
    return send_to(urls, rate, seconds, warmup_s)


def send_to(
    urls: list[str], rate: float, seconds: float, warmup_s: float
) -> dict:
    """Sends an open-loop load to URLs and aggregates the results."""
    spec = {
        "urls": urls,
        "rate": rate / SENDERS,
        "seconds": seconds,
        "warmup_s": warmup_s,
        "method": "GET",
        "headers": {"Wisterialug-Customer": "siam"},
        "timeout_s": 2 * TIMEOUT_S,
    }
    senders = [
        subprocess.Popen(
            [
                sys.executable,
                "-m",
                "wisterialug_standins.load",
                json.dumps({**spec, "seed": SEED + number}),
            ],
            stdout=subprocess.PIPE,
        )
        for number in range(SENDERS)
    ]
    results = [json.loads(sender.communicate()[0]) for sender in senders]
    latency = histogram.HdrHistogram(
        load.LOWEST_US, load.HIGHEST_US, load.SIGNIFICANT_DIGITS
    )
    outcomes = {"done": 0, "not-run": 0, "unknown": 0}
    for row in results:
        latency.decode_and_add(row["histogram"].encode())
        for outcome, count in row["outcomes"].items():
            outcomes[outcome] += count
    return {
        "done": outcomes["done"],
        "not_run": outcomes["not-run"],
        "unknown": outcomes["unknown"],
        "p50_ms": latency.get_value_at_percentile(50) / 1000,
        "p99_ms": latency.get_value_at_percentile(99) / 1000,
        "p999_ms": latency.get_value_at_percentile(99.9) / 1000,
        "sender_late_ms": max(row["sender_late_us"] for row in results) / 1000,
    }


def main() -> int:
    """Runs the experiment named by the arguments."""
    parser = argparse.ArgumentParser(prog="experiment")
    parser.add_argument("name", choices=("routing", "burst", "overhead"))
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--out", default="out")
    args = parser.parse_args()
    started = time.monotonic()
    run, group = {
        "routing": (routing, "scenario"),
        "burst": (burst, "load"),
        "overhead": (overhead, "done"),
    }[args.name]
    out = pathlib.Path(args.out)
    report.write(run(args.seconds), args.name, out, (group, "p99_ms"))
    print(f"{time.monotonic() - started:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
