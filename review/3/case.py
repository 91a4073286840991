"""Servers that run a task are cut off, one after the other, and run on."""

from __future__ import annotations

import asyncio
import os
import pathlib

from review.standins import harness

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 12
# As in a site's troubles: node_cut, servers; one of twelve at a time.
CUT_S = 5.5
CUTS = 4
# The task runs on another server for this long before that is cut off too.
PAUSE_S = 0.6
TASK = {
    "count": 1,
    "cpu": 1600,
    "mem_mb": 3200,
    "estimate_ms": 20_000,
    "saves_progress": True,
}
TASK_MS = "20000"
WATCH_S = 60.0
QUEUE = harness.QUEUES[0]


async def cut_servers(bench: harness.Bench, job: str) -> None:
    """Cuts off the server that runs the job's task, several times."""
    for _ in range(CUTS):
        while not (servers := [s for s in bench.reachable() if s.runs(job)]):
            await asyncio.sleep(0.02)
        await asyncio.sleep(PAUSE_S)
        servers[0].cut_off()
        await asyncio.sleep(CUT_S)
        servers[0].heal()


async def main() -> int:
    """Runs the case; returns its exit code."""
    bench = harness.Bench(pathlib.Path(__file__).parent, [16_000] * SERVERS)
    try:
        await bench.start()
        job = await bench.submit(QUEUE, TASK_MS, [TASK])
        cuts = None
        if TROUBLE:
            cuts = asyncio.create_task(cut_servers(bench, job))
        state = ""
        until_s = bench.now_s() + WATCH_S
        while state not in {"failed", "completed"} and bench.now_s() < until_s:
            await asyncio.sleep(1)
            state = await bench.state(QUEUE, job)
        if cuts is not None:
            cuts.cancel()
        failed = sum(server.failed_runs for server in bench.servers.values())
        crashes = sum(server.crashes for server in bench.servers.values())
        bench.record(
            f"LOST: {job} is {state!r}; {failed} runs have failed and"
            f" {crashes} servers have crashed"
        )
    finally:
        await bench.stop()
    if state == "failed" and not failed and not crashes:
        return harness.BROKEN
    return harness.HELD


if __name__ == "__main__":
    harness.run(main)
