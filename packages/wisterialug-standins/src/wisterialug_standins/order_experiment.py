"""Compares task orders by running the decision code in simulated time.

python -m wisterialug_standins.order_experiment [--seconds 60] [--out out]
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import heapq
import itertools
import pathlib
import random
from typing import TYPE_CHECKING

from wisterialug_core.decisions import resources
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    fill_interference,
    job_entry,
    job_table,
    model,
    step_placement,
    urgency,
    worker_table,
)
from wisterialug_standins import report

if TYPE_CHECKING:
    from collections.abc import Callable

SEED = 5
# Time from freed capacity to the next start there: one durable write.
PLAN_DELAY_S = 0.02
# Value of a late job as a fraction of its value on time.
LATE_VALUE = 0.15
# Start and length in seconds, and factor on the arrival rate.
BURST = (15.0, 7.0, 3.5)
# Jobs that arrive last are excluded: the end of the run may truncate them.
EXCLUDED_TAIL_S = 5.0
DRAIN_S = 30.0
LARGEST_FRACTION = 0.1
SERVICE = "app"


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of job.

    Attributes:
      share: Fraction of the offered work.
      spread: Standard deviation of the logarithm of the width.
      estimate_error: Maximum relative error of declared times.
    """

    name: str
    share: float
    priority: int
    steps: float
    width: float
    spread: float
    task_s: float
    millicores: int
    stretch: float
    target_ms: int
    estimate_error: float


@dataclasses.dataclass(frozen=True)
class User:
    """A user's jobs and the capacity that long-running tasks leave to them."""

    name: str
    workers: int
    millicores: int
    kinds: tuple[Kind, ...]


USERS = (
    User(
        "siam",
        33,
        8000,
        (
            Kind("pickup", 0.3, 0, 1.6, 6, 0.8, 0.64, 1600, 1.5, 250, 0.5),
            Kind("weigh", 0.7, 2, 2.0, 8, 0.6, 2.2, 1800, 2.0, 1000, 0.2),
        ),
    ),
    User(
        "himalaya",
        24,
        16_000,
        (
            Kind("lookup", 0.3, 0, 1.6, 6, 0.8, 0.64, 2300, 1.5, 250, 0.5),
            Kind("rebuild", 0.7, 2, 2.0, 8, 0.6, 1.7, 3500, 2.0, 1000, 0.2),
        ),
    ),
)


@dataclasses.dataclass
class _Arrival:
    """A job with the actual duration of each task."""

    at_s: float
    kind: Kind
    job: workflow_pb2.Job
    durations_s: dict[tuple[int, int], float]

    @property
    def core_s(self) -> float:
        """The job's work in core-seconds."""
        return sum(
            self.job.steps[step].cpu_millicores * duration / 1000
            for (step, _), duration in self.durations_s.items()
        )

    def chain_s(self) -> float:
        """Returns the duration of the job without queueing."""
        return sum(
            max(self.durations_s[number, i] for i in range(step.count))
            for number, step in enumerate(self.job.steps)
        )


def _by_arrival(
    entry: job_entry.JobEntry, group: model.GroupKey, now_ms: int
) -> tuple:
    del group, now_ms
    return (entry.job.accepted_ms,)


def _by_deadline(
    entry: job_entry.JobEntry, group: model.GroupKey, now_ms: int
) -> tuple:
    del group, now_ms
    due_ms = entry.job.accepted_ms + urgency.objective_ms(entry.job)
    return entry.job.policy.priority, due_ms


def _by_work(
    entry: job_entry.JobEntry, group: model.GroupKey, now_ms: int
) -> tuple:
    stage, priority, _, latest_ms = urgency.order(entry, group, now_ms)
    work = sum(
        step.count * step.cpu_millicores * step.estimate_ms
        for step in entry.job.steps
    )
    return stage, priority, work, latest_ms


def _by_latest_start(
    entry: job_entry.JobEntry, group: model.GroupKey, now_ms: int
) -> tuple:
    stage, priority, _, latest_ms = urgency.order(entry, group, now_ms)
    return stage, priority, latest_ms


ORDERS: dict[str, urgency.Order] = {
    "by arrival": _by_arrival,
    "by deadline": _by_deadline,
    "by latest start": _by_latest_start,
    "least work first": _by_work,
    "as built": urgency.order,
}


def sample_arrivals(
    user: User, load: float, seconds: float, rng: random.Random
) -> list[_Arrival]:
    """Returns random arrivals of jobs, including a burst."""
    arrivals: list[_Arrival] = []
    capacity = user.workers * user.millicores / 1000
    burst_start_s, burst_s, burst_factor = BURST
    numbers = itertools.count()
    for kind in user.kinds:
        mean = kind.steps * kind.width * kind.task_s * kind.millicores / 1000
        rate = load * capacity * kind.share / mean
        now_s = 0.0
        while True:
            in_burst = burst_start_s <= now_s < burst_start_s + burst_s
            now_s += rng.expovariate(rate * (burst_factor if in_burst else 1))
            if now_s > seconds:
                break
            name = f"{next(numbers):016x}"
            arrivals.append(_sample_job(name, now_s, kind, rng))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _sample_job(
    name: str, at_s: float, kind: Kind, rng: random.Random
) -> _Arrival:
    durations: dict[tuple[int, int], float] = {}
    job = workflow_pb2.Job(
        id=name,
        accepted_ms=int(at_s * 1000),
        policy=workflow_pb2.Policy(
            service=SERVICE,
            priority=kind.priority,
            max_attempts=3,
            stretch=kind.stretch,
            target_latency_ms=kind.target_ms,
        ),
    )
    for number in range(max(1, round(rng.gauss(kind.steps, 0.4)))):
        # Median of a log-normal distribution with kind.width as its mean.
        median = kind.width * 2.718 ** (-(kind.spread**2) / 2)
        count = round(median * 2.718 ** rng.gauss(0, kind.spread))
        count = max(1, min(count, 6 * int(kind.width)))
        task_s = kind.task_s * rng.uniform(0.5, 1.5)
        for index in range(count):
            durations[number, index] = task_s * rng.uniform(0.85, 1.15)
        error = rng.uniform(1 - kind.estimate_error, 1 + kind.estimate_error)
        job.steps.add(
            count=count,
            cpu_millicores=kind.millicores,
            memory_mib=100,
            estimate_ms=int(1000 * task_s * error),
            after=[number - 1] if number else [],
        )
    return _Arrival(at_s, kind, job, durations)


class _Simulation:
    """Simulates scheduling with one order."""

    def __init__(self, user: User, order: urgency.Order) -> None:
        self.jobs = job_table.JobTable()
        self.workers = worker_table.WorkerTable()
        self.ended_s: dict[str, float] = {}
        self._order = order
        self._interference = fill_interference.InterferenceModel()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()
        self._durations: dict[str, dict[tuple[int, int], float]] = {}
        self._next_plan_s = -PLAN_DELAY_S
        for number in range(user.workers):
            worker = self.workers.update(
                model.WorkerReport(
                    id=model.Incarnation(f"w{number}"),
                    address="",
                    service=SERVICE,
                    data_centre="d",
                    state=model.WorkerState.READY,
                    capacity=resources.Amount(user.millicores, 64_000, 0),
                    labels=(f"r{number // 11}",),
                    remaining_ms=0,
                )
            )
            worker.fenced = True

    def run(self, arrivals: list[_Arrival], until_s: float) -> None:
        """Processes all arrivals and the events that follow, up to a time."""
        for arrival in arrivals:
            self._schedule(arrival.at_s, self._arrival_callback(arrival))
        while self._events:
            now_s, _, action = heapq.heappop(self._events)
            if now_s > until_s:
                return
            action(now_s)

    def _schedule(self, when_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when_s, next(self._sequence), action))

    def _arrival_callback(self, arrival: _Arrival) -> Callable[[float], None]:
        def arrive(now_s: float) -> None:
            self._durations[arrival.job.id] = arrival.durations_s
            self.jobs.add(arrival.job)
            self._schedule_plan(now_s)

        return arrive

    def _schedule_plan(self, now_s: float) -> None:
        if self._next_plan_s <= now_s:
            self._next_plan_s = now_s + PLAN_DELAY_S
            self._schedule(self._next_plan_s, self._plan)

    def _plan(self, now_s: float) -> None:
        for start in step_placement.plan(
            self.jobs,
            self.workers,
            self._interference,
            now_s,
            int(now_s * 1000),
            self._order,
        ):
            key = start.task.key
            took_s = self._durations[key.job][key.step, key.index]
            self._schedule(now_s + took_s, self._end_callback(start.task))

    def _end_callback(self, task: model.Task) -> Callable[[float], None]:
        def end(now_s: float) -> None:
            worker = task.worker
            step = self.jobs.step(task.key)
            self.jobs.end(task, model.RunEnd.DONE, "", int(now_s * 1000))
            self.workers.release(task, worker, step)
            if self.jobs.jobs[task.key.job].final:
                self.ended_s[task.key.job] = now_s
            self._schedule_plan(now_s)

        return end


def value(took_s: float | None, objective_s: float) -> float:
    """Returns the value of a job as a fraction of its value on time."""
    if took_s is None or took_s > urgency.LATE_FACTOR * objective_s:
        return 0.0
    return 1.0 if took_s <= objective_s else LATE_VALUE


def measure(
    user: User, load: float, seconds: float, order: str, seed: int
) -> dict[str, object]:
    """Simulates one order and returns its row of the table."""
    arrivals = sample_arrivals(user, load, seconds, random.Random(seed))
    simulation = _Simulation(user, ORDERS[order])
    simulation.run(arrivals, seconds + DRAIN_S)
    counted = [a for a in arrivals if a.at_s < seconds - EXCLUDED_TAIL_S]
    mean_core_s: dict[str, float] = {}
    for kind in user.kinds:
        of_kind = [a.core_s for a in counted if a.kind is kind]
        mean_core_s[kind.name] = sum(of_kind) / max(1, len(of_kind))
    large_core_s = {
        kind.name: _quantile(
            [a.core_s for a in counted if a.kind is kind], 1 - LARGEST_FRACTION
        )
        for kind in user.kinds
    }
    earned: collections.Counter[str] = collections.Counter()
    attainable: collections.Counter[str] = collections.Counter()
    large: list[bool] = []
    served: list[bool] = []
    for arrival in counted:
        kind = arrival.kind
        ended_s = simulation.ended_s.get(arrival.job.id)
        took_s = None if ended_s is None else ended_s - arrival.at_s
        objective_s = kind.stretch * arrival.chain_s() + kind.target_ms / 1000
        # Weight of a job by its work, as the users define it.
        weight = 0.3 + 0.7 * min(4.0, arrival.core_s / mean_core_s[kind.name])
        fraction = value(took_s, objective_s)
        attainable[kind.name] += weight
        earned[kind.name] += weight * fraction
        served.append(fraction > 0)
        if arrival.core_s >= large_core_s[kind.name]:
            large.append(fraction > 0)
    row: dict[str, object] = {
        "user": user.name,
        "load": load,
        # Scheduling order, a key of ORDERS.
        "way": order,
        "jobs": len(counted),
        # Earned fraction of the attainable value.
        "worth": sum(earned.values()) / sum(attainable.values()),
        "served": sum(served) / len(served),
        "largest tenth served": sum(large) / max(1, len(large)),
    }
    for number, kind in enumerate(user.kinds):
        row[("short jobs", "wide jobs")[number]] = (
            earned[kind.name] / attainable[kind.name]
        )
    return row


def _quantile(values: list[float], fraction: float) -> float:
    """Returns the value below which a fraction of all values lies."""
    ordered = sorted(values)
    return ordered[int(len(ordered) * fraction)] if ordered else 0.0


def main() -> None:
    """Simulates all orders on the same arrivals and writes the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--loads", default="0.3,0.7,0.9,1.2")
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--out", type=pathlib.Path, default="out")
    args = parser.parse_args()
    rows = [
        measure(user, float(load), args.seconds, order, args.seed)
        for user in USERS
        for load in args.loads.split(",")
        for order in ORDERS
    ]
    report.write(rows, "order", args.out, ("load", "worth"))


if __name__ == "__main__":
    main()
