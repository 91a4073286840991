"""Runs a two-step job to completion while the shard's owner is killed.

Two VMs, a store and four workers run in one process, in real time.
"""

from __future__ import annotations

import random
import sys
from typing import TYPE_CHECKING

import eventlet

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import routes
from wisterialug_daemon.workflow import (
    clock,
    election,
    intake,
    members,
    settings,
)
from wisterialug_standins import emulated_workers, memory_store, run_oracle

if TYPE_CHECKING:
    from collections.abc import Callable

SEED = 7
WORKERS = 4
TASK_S = 0.8
LEASE_MS = 4000
CALL_TIMEOUT_S = 3.0
# A takeover takes about 2 s, the two steps less than 2 s more.
MAX_WAIT_S = 15.0
POLL_S = 0.1

ROUTE = routes.Route(
    "settlement",
    "jobs.example",
    "/settlement/",
    workflow_pb2.Policy(
        service="app", max_attempts=3, stretch=2.0, target_latency_ms=1000
    ),
)


class _Vm:
    """One VM of the system."""

    def __init__(
        self,
        name: str,
        store: memory_store.MemoryStore,
        fleet: emulated_workers.EmulatedFleet,
    ) -> None:
        cfg = settings.WorkflowSettings(
            node=name,
            boot="1",
            data_centre="dc1",
            longest_lease_ms=emulated_workers.MAX_LEASE_MS,
            lease_ms=LEASE_MS,
            state_kept_s=60.0,
            stop_within_s=5.0,
        )
        self.name = name
        own = workflow_pb2.Member(
            ip=name, port=1, millicores=1000, link_kbps=10**6
        )
        vms = members.Members(name, own, store)
        self.election = election.Election(cfg, store, fleet, fleet, vms)
        self.intake = intake.Intake(
            store, self.election, vms, cfg.row_bytes, cfg.accepted_within_ms
        )
        self.election.start()


def main() -> int:
    """Runs the demo; returns 1 if the job is incomplete or a check fails."""
    rng = random.Random(SEED)
    store = memory_store.MemoryStore(rng)
    fleet = emulated_workers.EmulatedFleet(rng, lambda _: TASK_S)
    for number in range(WORKERS):
        fleet.add(f"worker-{number}")
    vms = [_Vm(f"vm-{number}", store, fleet) for number in range(2)]
    job = workflow_pb2.Job(
        id=f"{rng.getrandbits(64):016x}",
        spec="settle",
        steps=[_step(12), _step(4, after=[0])],
    )
    while vms[0].intake.submit(ROUTE, job, CALL_TIMEOUT_S).outcome is not (
        intake.Outcome.OK
    ):
        eventlet.sleep(POLL_S)
    begun_s = clock.now_s()
    print(f"job {job.id}: accepted, 12 tasks and then 4")
    _wait(lambda: len(fleet.history) == job.steps[0].count)
    owner = next(vm for vm in vms if vm.election.owns_any())
    vms.remove(owner)
    owner.election.close()
    print(f"{owner.name} owned the shard and was killed with 12 tasks running")
    completed = _wait(
        lambda: (
            vms[0].intake.state(job.id, CALL_TIMEOUT_S).state
            == workflow_pb2.JOB_COMPLETED
        )
    )
    took_s = clock.now_s() - begun_s
    violations = run_oracle.violations(
        run_oracle.Trace(fleet.history, [job], fleet.reports)
    )
    print(
        f"{vms[0].name} took over; completed: {completed}, after {took_s:.1f} s,"
        f" {len(fleet.history)} runs of 16 tasks; violations: {violations}"
    )
    vms[0].election.close()
    fleet.close()
    return 0 if completed and not violations else 1


def _step(count: int, **fields: object) -> workflow_pb2.Step:
    return workflow_pb2.Step(
        count=count,
        cpu_millicores=2000,
        memory_mib=500,
        estimate_ms=int(TASK_S * 1000),
        **fields,
    )


def _wait(condition: Callable[[], bool]) -> bool:
    until_s = clock.now_s() + MAX_WAIT_S
    while clock.now_s() < until_s:
        if condition():
            return True
        eventlet.sleep(POLL_S)
    return False


if __name__ == "__main__":
    sys.exit(main())
