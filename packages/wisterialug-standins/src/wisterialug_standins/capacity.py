"""Measures the unit costs that docs/CAPACITY.md is based on.

python -m wisterialug_standins.capacity [decisions|processes]
"""

from __future__ import annotations

import argparse
import gc
import random
import sys
import time
from typing import TYPE_CHECKING

from google.protobuf import json_format

from wisterialug_core.decisions import (
    config_state,
    membership,
    placement,
    resources,
    shard,
    task_order,
)
from wisterialug_core.schema import config_pb2, peer_pb2, work_pb2
from wisterialug_standins import idle_daemons, report, worker_model

if TYPE_CHECKING:
    from collections.abc import Callable

KIB = 1024
MEMBER_COUNTS = (9, 54, 540)
ROW_COUNTS = (1_000, 4_000, 16_000)
WORKER_COUNTS = (12, 120, 1_200, 4_200)
TASK_COUNTS = (8_000, 16_000, 32_000)
TASKS_PER_WORKER = 8
MAX_TASKS = 1_024
# Total items over all copies of a memory measurement.
MEMORY_ITEMS = 32_000
JOB_TASKS = 64


def _timed(func: Callable[[], object]) -> tuple[float, object]:
    """Returns the CPU seconds and the result of a call."""
    gc.collect()
    started = time.process_time()
    result = func()
    return time.process_time() - started, result


def _resident_kib(func: Callable[[], object], copies: int) -> float:
    """Returns the resident memory that one result of a call takes.

    Reads it from the kernel, since tracemalloc does not see protobuf's.
    """
    results = [func()]
    gc.collect()
    before = idle_daemons.proc_value("/proc/self/status", "VmRSS:")
    results += [func() for _ in range(copies)]
    gc.collect()
    growth_kib = idle_daemons.proc_value("/proc/self/status", "VmRSS:") - before
    del results
    return growth_kib / copies


def members() -> list[dict]:
    """Measures the member table by number of members."""
    rows = []
    for count in MEMBER_COUNTS:
        records = [_member(n) for n in range(count)]

        data = [record.SerializeToString() for record in records]

        def build(data: list = data) -> membership.MemberTable:
            table = membership.MemberTable(
                _member(0), membership.Timeouts(1.5, 2.5), 0.0
            )
            table.merge(map(peer_pb2.Member.FromString, data), 0.0)
            return table

        build_s, table = _timed(build)
        memory_kib = _resident_kib(build, MEMORY_ITEMS // count)
        full = peer_pb2.ExchangeRequest(
            members=table.digest("dc-0", 100.0, full=True).members
        )
        beats = peer_pb2.ExchangeRequest(
            beats=table.digest("dc-0", 100.0).beats
        )
        started = time.process_time()
        for n in range(100):
            table.merge(full.members, 100.0 + n)
            table.digest("dc-0", 100.0 + n)
        exchange_us = (time.process_time() - started) / 100 * 1e6
        rows.append(
            {
                "way": "members",
                "size": count,
                "memory_kib": memory_kib,
                "join_all_ms": build_s * 1000,
                "whole_message_bytes": full.ByteSize(),
                "beats_message_bytes": beats.ByteSize(),
                "exchange_us": exchange_us,
            }
        )
    return rows


def _member(number: int) -> peer_pb2.Member:
    data_centre = number // 3
    return peer_pb2.Member(
        vm=f"vm-{data_centre}-{number % 3}",
        incarnation=f"{number:016x}",
        started_unix_ms=1_700_000_000_000,
        sequence=1000,
        data_centre=f"dc-{data_centre}",
        ip="10.10.10.10",
        peer_port=8082,
        applied_revision=1000,
        roster_epoch=10,
        loads=[
            peer_pb2.ServiceLoad(
                customer="siam", service=f"service-{n}", free_slots=40
            )
            for n in range(10)
        ],
        shards=[
            peer_pb2.ShardLoad(
                shard=f"dc-{data_centre}-r{n}",
                free_cpu_millicores=100_000,
                free_memory_mib=400_000,
                pending_tasks=100,
                largest_cpu_millicores=16_000,
                largest_memory_mib=64_000,
            )
            for n in range(7)
        ],
    )


def config() -> list[dict]:
    """Measures the config state by number of rows."""
    rows = []
    for count in ROW_COUNTS:
        full = config_pb2.ConfigDelta(revision=count)
        for n in range(count):
            name = f"service-{n}"
            full.rows.add(
                key=config_state.limit_key("siam", "service", name),
                revision=n + 1,
                limit=config_pb2.LimitRow(
                    customer="siam",
                    kind="service",
                    name=name,
                    weight=100,
                    max_in_flight=100,
                    latency_target_ms=120,
                ),
            )
        data = full.SerializeToString()

        def build(data: bytes = data) -> config_state.ConfigState:
            state = config_state.ConfigState()
            state.apply(config_pb2.ConfigDelta.FromString(data))
            return state

        build_s, state = _timed(build)
        memory_kib = _resident_kib(build, MEMORY_ITEMS // count)
        started = time.process_time()
        for n in range(20):
            row = config_pb2.ConfigRow()
            row.CopyFrom(full.rows[n])
            state.apply(config_state.next_delta(state, [row]))
        change_us = (time.process_time() - started) / 20 * 1e6
        started = time.process_time()
        state.delta_since(state.revision - 1)
        rows.append(
            {
                "way": "config rows",
                "size": count,
                "memory_kib": memory_kib,
                "whole_bytes": len(data),
                "apply_whole_ms": build_s * 1000,
                "one_change_us": change_us,
                "one_delta_us": (time.process_time() - started) * 1e6,
            }
        )
    return rows


def tasks() -> list[dict]:
    """Measures the memory of pending tasks by their number."""
    rows = []
    for count in TASK_COUNTS:

        def build(count: int = count) -> shard.ShardScheduler:
            scheduler = _scheduler()
            _load_jobs(scheduler, count)
            return scheduler

        memory_kib = _resident_kib(build, 2)
        rows.append(
            {
                "way": "tasks",
                "size": count,
                "memory_kib_per_1000_tasks": memory_kib / count * 1000,
            }
        )
    return rows


def _scheduler() -> shard.ShardScheduler:
    return shard.ShardScheduler(
        "s",
        1,
        "vm",
        10.0,
        placement.make("best-fit"),
        lambda group: task_order.Limits(),
    )


def scheduling() -> list[dict]:
    """Measures one shard's scheduler by number of workers."""
    return [_measure_scheduler(count) for count in WORKER_COUNTS]


def _measure_scheduler(count: int) -> dict:
    capacity = resources.Amount(16_000, 64_000, 2)
    scheduler = _scheduler()
    models = {
        f"w{n}": worker_model.WorkerModel(f"life-{n}", capacity)
        for n in range(count)
    }
    scheduler.set_workers(
        [
            work_pb2.Vm(id=name, resources=resources.to_message(capacity))
            for name in models
        ],
        set(),
        0.0,
    )
    for record in scheduler.workers():
        record.health.proven = True
    _sync_all(scheduler, models, 1.0)
    task_count = min(MAX_TASKS, count * TASKS_PER_WORKER)
    _load_jobs(scheduler, task_count)
    started = time.process_time()
    placed = scheduler.plan(2.0, 0)
    plan_s = time.process_time() - started
    started = time.process_time()
    commit = scheduler.next_commit()
    row_bytes = sum(len(c.SerializeToString()) for c in commit.chunks)
    scheduler.commit_done(commit)
    commit_s = time.process_time() - started
    sync_s, sync_bytes = _sync_all(scheduler, models, 2.5)
    idle_s, idle_bytes = _sync_all(scheduler, models, 3.0)
    return {
        "way": "workers",
        "size": count,
        "starts": placed,
        "plan_us_per_start": plan_s / placed * 1e6,
        "commit_us_per_start": commit_s / placed * 1e6,
        "row_bytes_per_start": row_bytes / placed,
        "rows_per_start": len(commit.chunks) / placed,
        "sync_us_per_worker": sync_s / count * 1e6,
        "idle_sync_us_per_worker": idle_s / count * 1e6,
        "idle_sync_bytes": idle_bytes / count,
        "starts_sync_bytes": sync_bytes / count,
    }


def _load_jobs(scheduler: shard.ShardScheduler, task_count: int) -> None:
    for number in range(0, task_count, JOB_TASKS):
        job = work_pb2.Job(
            id=f"job-{number}",
            customer="siam",
            team=f"team-{number % 540}",
            name="night",
            tasks=JOB_TASKS,
            each=work_pb2.Resources(cpu_millicores=2000, memory_mib=4000),
            run_ms=60_000,
            repeatable=True,
        )
        chunk = work_pb2.Chunk(
            job=job.id,
            tasks=[work_pb2.Task(index=n) for n in range(JOB_TASKS)],
        )
        scheduler.load(job, chunk)


def _sync_all(
    scheduler: shard.ShardScheduler,
    models: dict[str, worker_model.WorkerModel],
    now: float,
) -> tuple[float, int]:
    """Syncs with all workers; returns the owner's CPU seconds and bytes."""
    cpu_s, size_bytes = 0.0, 0
    for name, model in models.items():
        started = time.process_time()
        req = scheduler.sync_request(name)
        req_text = json_format.MessageToJson(req, indent=None)
        cpu_s += time.process_time() - started
        resp = model.sync(req, int(now * 1000))
        resp_text = json_format.MessageToJson(resp, indent=None)
        started = time.process_time()
        parsed = json_format.Parse(resp_text, work_pb2.WorkerSyncResponse())
        scheduler.on_sync(name, req, parsed, now)
        cpu_s += time.process_time() - started
        size_bytes += len(req_text) + len(resp_text)
    return cpu_s, size_bytes


def main() -> int:
    """Prints one table for each kind of cost."""
    parser = argparse.ArgumentParser(prog="capacity")
    parser.add_argument("part", choices=("decisions", "processes"))
    random.seed(1)
    if parser.parse_args().part == "decisions":
        for measure in (members, config, tasks, scheduling):
            print(report.table(measure()), end="\n\n")
    else:
        print(report.table(idle_daemons.measure()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
