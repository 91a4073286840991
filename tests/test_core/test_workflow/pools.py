"""Workers for tests of the scheduler's decisions."""

from wisterialug_core.decisions import resources
from wisterialug_core.workflow import model


def add_worker(
    pool,
    name,
    cpu=16_000,
    rack="r1",
    memory_mib=64_000,
    state=model.WorkerState.READY,
):
    """Adds a worker to a pool that has answered its owner; returns it."""
    worker = pool.update(
        model.WorkerReport(
            id=name,
            address="10.0.0.1:1",
            service="app",
            data_centre="d",
            state=state,
            capacity=resources.Amount(cpu, memory_mib, 0),
            labels=("a", rack),
            remaining_ms=0,
        )
    )
    worker.fenced = True
    return worker
