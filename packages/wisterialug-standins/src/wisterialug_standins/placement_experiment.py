"""Compares placement policies by running the decision code on worker models.

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
WAVE_INTERVAL_S = 600
WAVE_LENGTH_S = 120
SEED = 3
MAX_PROCESSES = 5
SECONDS_PER_HOUR = 3600
# Offered batch work as a fraction of the capacity for it.
LOAD = 0.9


@dataclasses.dataclass(frozen=True)
class User:
    """A user's workers, rack and VM sizes, and weight of latency."""

    name: str
    workers: int
    rack_size: int
    size: resources.Amount
    latency_weight: float


USERS = (
    User("siam", 30, 11, resources.Amount(12_000, 48_000, 0), 0.55),
    User("himalaya", 25, 8, resources.Amount(24_000, 96_000, 0), 0.75),
)


@dataclasses.dataclass(frozen=True)
class Case:
    """A placement policy, with or without a reaction to interference."""

    name: str
    policy: str
    reacts: bool
    oracle: bool = False


CASES = (
    Case("first fit", "first-fit", reacts=False),
    Case("best fit", "best-fit", reacts=False),
    Case("best fit, reacting", "best-fit", reacts=True),
    Case("least interference, learned", "least-interference", reacts=True),
    Case("perfect knowledge", "least-interference", reacts=False, oracle=True),
)


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job and its arrival time."""

    at_s: int
    job: work_pb2.Job


def workload(
    user: User, seconds: int, rng: random.Random
) -> tuple[list[Arrival], colocated_worker.GroundTruth]:
    """Returns the jobs of a run and their ground truth."""
    slopes = {(s, k): rng.uniform(0.0, 1.5) for s in SERVICES for k in KINDS}
    run_factors: dict[str, float] = {}
    use_factors: dict[str, float] = {}
    arrivals = []
    mean_millicore_s = 2_500 * 8 * 100
    rate = LOAD * user.workers * user.size.cpu_millicores / mean_millicore_s
    now = 0.0
    while now < seconds:
        wave = now % WAVE_INTERVAL_S < WAVE_LENGTH_S and now > WAVE_INTERVAL_S
        now += rng.expovariate(rate * (2.0 if wave else 0.9))
        kind = "noisy" if wave else rng.choice(KINDS[:3])
        name = f"{kind}.{len(arrivals)}"
        run_factors[name] = math.exp(rng.uniform(math.log(0.3), math.log(3.0)))
        use_factors[name] = rng.uniform(0.5, 1.0)
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
    return arrivals, colocated_worker.GroundTruth(
        slopes, DAY_S, run_factors, use_factors
    )


class Simulation:
    """Simulates one case on one user's workload."""

    def __init__(self, user: User, case: Case, seconds: int, seed: int) -> None:
        rng = random.Random(f"{seed}{user.name}")
        self._seconds = seconds
        self._arrivals, truth = workload(user, seconds, rng)
        model = interference.InterferenceModel()
        if case.oracle:
            model.slope = lambda s, k: truth.slopes[s, k]
        self._colocation = colocation.Colocation(
            TARGET_RATIO if case.reacts or case.oracle else math.inf,
            model,
            learning=case.reacts,
        )
        policy = placement.make(case.policy, TARGET_RATIO)
        self._shards = []
        self._workers: list[dict[str, colocated_worker.ColocatedWorker]] = []
        for start in range(0, user.workers, user.rack_size):
            count = min(user.rack_size, user.workers - start)
            workers = {
                f"w{start + n:02d}": colocated_worker.ColocatedWorker(
                    f"w{start + n:02d}",
                    user.size,
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
                    work_pb2.Vm(id=w, resources=resources.to_message(user.size))
                    for w in workers
                ],
                set(),
                0.0,
            )
        self._missed_deadlines = 0
        self._finished = 0
        self._deadlines: dict[str, int] = {}

    def run(self) -> None:
        """Simulates the whole time second by second."""
        waiting = list(reversed(self._arrivals))
        for now in range(1, self._seconds):
            while waiting and waiting[-1].at_s <= now:
                self._submit(waiting.pop().job)
            for scheduler, workers in zip(
                self._shards, self._workers, strict=True
            ):
                self._run_second(scheduler, workers, now)

    def _submit(self, job: work_pb2.Job) -> None:
        """Submits a job to the shard with the fewest tasks per worker."""
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

    def _run_second(
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
                self._missed_deadlines += now * 1000 > self._deadlines.pop(job)
        for name, worker in workers.items():
            worker.advance_second(float(now))
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
            "deadline_misses": self._missed_deadlines + overdue,
            "jobs": self._finished + len(self._deadlines),
            "evictions": sum(s.counters.evicted for s in self._shards),
            "work_lost_s": lost_ms / 1000,
            "overcommitted": sum(worker.overcommitted for worker in workers),
        }


def _p99(workers: list[colocated_worker.ColocatedWorker]) -> float:
    """Returns the load-weighted p99 of latency relative to running alone."""
    points = sorted(p for worker in workers for p in worker.history)
    total = sum(load for _, load in points)
    seen = 0.0
    for ratio, load in points:
        seen += load
        if seen >= 0.99 * total:
            return ratio
    return points[-1][0]


def _run(user: User, case: Case, seconds: int, seed: int) -> dict:
    """Runs one case on one user's workload."""
    simulation = Simulation(user, case, seconds, seed)
    simulation.run()
    return simulation.result()


def compare(seconds: int, seed: int) -> list[dict]:
    """Runs all cases for both users on the same workloads."""
    rows = []
    with concurrent.futures.ProcessPoolExecutor(MAX_PROCESSES) as pool:
        futures = {
            (user, case): pool.submit(_run, user, case, seconds, seed)
            for user in USERS
            for case in CASES
        }
    for user in USERS:
        results = {case.name: futures[user, case].result() for case in CASES}
        perfect = results["perfect knowledge"]["work_done"]
        for name, row in results.items():
            throughput = row.pop("work_done") / perfect
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
