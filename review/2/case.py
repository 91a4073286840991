"""A large job comes; the jobs after it are asked for."""

from __future__ import annotations

import asyncio
import os
import pathlib

from review.standins import harness

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 33
# One large job, or the same tasks in jobs as wide as the widest of the sheet.
STEPS, WIDTH = (2, 1200) if TROUBLE else (2, 30)
JOBS = 1 if TROUBLE else 40
TASK = {"cpu": 100, "mem_mb": 50, "estimate_ms": 120_000}
TASK_MS = "120000"
SMALL = {"count": 6, "cpu": 1600, "mem_mb": 3200, "estimate_ms": 640}
SMALL_MS = "640"
SMALL_JOBS = 10
HIGH, LOW = harness.QUEUES


async def main() -> int:
    """Runs the case; returns its exit code."""
    bench = harness.Bench(pathlib.Path(__file__).parent, [16_000] * SERVERS)
    try:
        await bench.start()
        jobs = {}
        for number in range(JOBS + SMALL_JOBS):
            if number == SMALL_JOBS // 2:
                for _ in range(JOBS):
                    steps = [{**TASK, "count": WIDTH}] * STEPS
                    jobs[await bench.submit(LOW, TASK_MS, steps)] = LOW
            elif number < SMALL_JOBS:
                job = await bench.submit(HIGH, SMALL_MS, [SMALL])
                jobs[job] = HIGH
                await asyncio.sleep(1)
        await asyncio.sleep(harness.FINISH_S)
        starved = await bench.starved(jobs)
        bench.record(f"largest value: {bench.store.largest_bytes} bytes")
        bench.record(f"calls refused by the store: {dict(bench.store.refused)}")
        bench.record(f"LOST: {len(starved)} of {len(jobs)} jobs")
    finally:
        await bench.stop()
    return harness.BROKEN if starved else harness.HELD


if __name__ == "__main__":
    harness.run(main)
