"""Compares placements by the decision code on small worker models.

python -m wisterialug_standins.placement_experiment [--hours 1] [--out out]
"""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import math
import pathlib
import random
import sys
import time

from wisterialug_core.decisions import (
    colocation,
    interference,
    placement,
    resources,
    shard,
    task_order,
)
from wisterialug_core.schema import work_pb2
from wisterialug_standins import colocated_worker, report

TARGET_RATIO = 1.2
KINDS = ("settle", "weigh", "rebuild", "noisy")
SERVICES = ("s1", "s2", "s3")
DAY_S = 1800.0
LEASE_S = 30.0
WAVE_EVERY_S = 600
WAVE_S = 120
SEED = 3
MAX_PROCESSES = 5
SECONDS_PER_HOUR = 3600
# Offered batch work as a part of the room for it.
OFFERED = 0.9


@dataclasses.dataclass(frozen=True)
class User:
    """The sizes of one user, and how it weighs latency and throughput."""

    name: str
    workers: int
    rack: int
    room: resources.Amount
    latency_weight: float


USERS = (
    User("siam", 30, 11, resources.Amount(12_000, 48_000, 0), 0.55),
    User("himalaya", 25, 8, resources.Amount(24_000, 96_000, 0), 0.75),
)


@dataclasses.dataclass(frozen=True)
class Way:
    """One way to place and to react."""

    name: str
    policy: str
    reacts: bool
    knows: bool = False


WAYS = (
    Way("first fit", "first-fit", reacts=False),
    Way("best fit", "best-fit", reacts=False),
    Way("best fit, reacting", "best-fit", reacts=True),
    Way("least interference, learned", "least-interference", reacts=True),
    Way("perfect knowledge", "least-interference", reacts=False, knows=True),
)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job and when it comes."""

    at_s: int
    job: work_pb2.Job


def workload(
    user: User, seconds: int, rng: random.Random
) -> tuple[list[Arrival], colocated_worker.Truth]:
    """Returns the jobs of a run and what is true of them."""
    slopes = {(s, k): rng.uniform(0.0, 1.5) for s in SERVICES for k in KINDS}
    runs: dict[str, float] = {}
    uses: dict[str, float] = {}
    arrivals = []
    mean_cpu = 2_500 * 8 * 100
    rate = OFFERED * user.workers * user.room.cpu_millicores / mean_cpu
    now = 0.0
    while now < seconds:
        wave = now % WAVE_EVERY_S < WAVE_S and now > WAVE_EVERY_S
        now += rng.expovariate(rate * (2.0 if wave else 0.9))
        kind = "noisy" if wave else rng.choice(KINDS[:3])
        name = f"{kind}.{len(arrivals)}"
        runs[name] = math.exp(rng.uniform(math.log(0.3), math.log(3.0)))
        uses[name] = rng.uniform(0.5, 1.0)
        run_ms = int(rng.uniform(40, 120) * 1000)
        tasks = rng.randint(4, 12)
        arrivals.append(
            Arrival(
                int(now),
                work_pb2.Job(
                    id=name,
                    customer=user.name,
                    team=f"team-{rng.randrange(4)}",
                    tasks=tasks,
                    each=work_pb2.Resources(
                        cpu_millicores=rng.choice((1000, 2000, 4000)),
                        memory_mib=rng.choice((1000, 4000)),
                    ),
                    run_ms=run_ms,
                    repeatable=True,
                    kind=kind,
                    submitted_unix_ms=int(now * 1000),
                    deadline_unix_ms=int(now * 1000 + run_ms * 8),
                ),
            )
        )
    return arrivals, colocated_worker.Truth(slopes, DAY_S, runs, uses)


class Run:
    """One way on one user's workload."""

    def __init__(self, user: User, way: Way, seconds: int, seed: int) -> None:
        rng = random.Random(f"{seed}{user.name}")
        self._seconds = seconds
        self._arrivals, truth = workload(user, seconds, rng)
        model = interference.InterferenceModel()
        if way.knows:
            model.slope = lambda s, k: truth.slopes[s, k]
        self._colocation = colocation.Colocation(
            TARGET_RATIO if way.reacts or way.knows else math.inf,
            model,
            learning=way.reacts,
        )
        policy = placement.make(way.policy, TARGET_RATIO)
        self._shards = []
        self._workers: list[dict[str, colocated_worker.ColocatedWorker]] = []
        for start in range(0, user.workers, user.rack):
            count = min(user.rack, user.workers - start)
            workers = {
                f"w{start + n:02d}": colocated_worker.ColocatedWorker(
                    f"w{start + n:02d}",
                    user.room,
                    SERVICES[(start + n) % len(SERVICES)],
                    truth,
                )
                for n in range(count)
            }
            scheduler = shard.ShardScheduler(
                f"r{start}",
                1,
                "vm",
                LEASE_S,
                policy,
                lambda group: task_order.Limits(),
                self._colocation,
            )
            self._shards.append(scheduler)
            self._workers.append(workers)
            scheduler.set_workers(
                [
                    work_pb2.Vm(id=w, resources=resources.to_message(user.room))
                    for w in workers
                ],
                set(),
                0.0,
            )
        self._missed = 0
        self._finished = 0
        self._deadlines: dict[str, int] = {}

    def go(self) -> None:
        """Lets the whole time pass."""
        waiting = list(reversed(self._arrivals))
        for now in range(1, self._seconds):
            while waiting and waiting[-1].at_s <= now:
                self._submit(waiting.pop().job)
            for scheduler, workers in zip(
                self._shards, self._workers, strict=True
            ):
                self._second(scheduler, workers, now)

    def _submit(self, job: work_pb2.Job) -> None:
        """Gives a job to the shard with the least waiting for its size."""
        scheduler = min(
            self._shards,
            key=lambda s: (
                (s.pending_count() + s.running_count()) / len(s.workers())
            ),
        )
        chunk = work_pb2.Chunk(
            job=job.id,
            tasks=[work_pb2.Task(index=n) for n in range(job.tasks)],
        )
        self._deadlines[job.id] = job.deadline_unix_ms
        scheduler.load(job, chunk)

    def _second(
        self,
        scheduler: shard.ShardScheduler,
        workers: dict[str, colocated_worker.ColocatedWorker],
        now: int,
    ) -> None:
        scheduler.plan(float(now), now * 1000)
        commit = scheduler.next_commit()
        if commit is not None:
            scheduler.commit_done(commit)
            for job, _ in commit.finished:
                self._finished += 1
                self._missed += now * 1000 > self._deadlines.pop(job)
        for name, worker in workers.items():
            worker.second(float(now))
            req = scheduler.sync_request(name)
            resp = worker.sync(req, now * 1000)
            scheduler.on_sync(name, req, resp, float(now))

    def result(self) -> dict:
        """Returns the measures of the run."""
        workers = [w for group in self._workers for w in group.values()]
        overdue = sum(
            deadline < self._seconds * 1000
            for deadline in self._deadlines.values()
        )
        runs = [run for worker in workers for run in worker.log]
        lost_ms = sum(
            run.progress_ms - run.checkpoint_ms
            for run in runs
            if run.end == "ATTEMPT_END_EVICTED"
        )
        return {
            "p99_to_alone": _p99(workers),
            "work_done": sum(worker.work_done for worker in workers),
            "deadline_misses": self._missed + overdue,
            "jobs": self._finished + len(self._deadlines),
            "evictions": sum(s.counters.evicted for s in self._shards),
            "work_lost_s": lost_ms / 1000,
            "overcommitted": sum(worker.overcommitted for worker in workers),
        }


def _p99(workers: list[colocated_worker.ColocatedWorker]) -> float:
    """Returns the p99 of latency relative to alone, weighed by load."""
    points = sorted(p for worker in workers for p in worker.history)
    total = sum(load for _, load in points)
    seen = 0.0
    for ratio, load in points:
        seen += load
        if seen >= 0.99 * total:
            return ratio
    return points[-1][0]


def _run(user: User, way: Way, seconds: int, seed: int) -> dict:
    """Runs one way on one user's workload."""
    run = Run(user, way, seconds, seed)
    run.go()
    return run.result()


def compare(seconds: int, seed: int) -> list[dict]:
    """Runs all ways for both users on the same workloads."""
    rows = []
    with concurrent.futures.ProcessPoolExecutor(MAX_PROCESSES) as pool:
        futures = {
            (user, way): pool.submit(_run, user, way, seconds, seed)
            for user in USERS
            for way in WAYS
        }
    for user in USERS:
        told = {way.name: futures[user, way].result() for way in WAYS}
        best = told["perfect knowledge"]["work_done"]
        for name, row in told.items():
            throughput = row.pop("work_done") / best
            latency = min(1.0, TARGET_RATIO / row["p99_to_alone"])
            score = user.latency_weight * latency
            score += (1 - user.latency_weight) * min(1.0, throughput)
            rows.append(
                {
                    "way": name,
                    "user": user.name,
                    **row,
                    "throughput_to_perfect": throughput,
                    "score": score,
                }
            )
    return rows


def main() -> int:
    """Runs the comparison."""
    parser = argparse.ArgumentParser(prog="placement_experiment")
    parser.add_argument("--hours", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--out", default="out")
    args = parser.parse_args()
    started = time.monotonic()
    rows = compare(int(args.hours * SECONDS_PER_HOUR), args.seed)
    report.write(rows, "placement", pathlib.Path(args.out), ("user", "score"))
    print(f"{time.monotonic() - started:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
