"""Urgency of waiting tasks.

Made for backlogs in which the oldest jobs can no longer be on time.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from wisterialug_core.workflow import job_entry, model

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_core.schema import workflow_pb2

# Returns the sort key of a waiting group, the lowest first, from its job, the
# group and the Unix time in ms.
Order = Callable[[job_entry.JobEntry, model.GroupKey, int], tuple]

# By the users' payoff rules, a job is of no use any more after this many times
# its objective.
LATE_FACTOR = 3.0
# Size classes are a factor of four apart. With finer ones, the served share of
# the largest tenth of the jobs falls below 0.8 times that of all jobs; with
# coarser ones, fewer jobs are on time (docs/design/platform.md).
SIZE_CLASS_BITS = 2


class Urgency(enum.IntEnum):
    """Urgency classes of starts, the most urgent first."""

    LONG_RUNNING = 0
    ON_TIME = 1
    LATE = 2
    TOO_LATE = 3


def chain_ms(job: workflow_pb2.Job) -> int:
    """Returns the declared time of a job's critical path."""
    ends: list[int] = []
    for number, step in enumerate(job.steps):
        begin = max((ends[a] for a in step.after if a < number), default=0)
        ends.append(begin + step.estimate_ms)
    return max(ends, default=0)


def _remaining_ms(entry: job_entry.JobEntry, repetition: int) -> list[float]:
    """Returns the declared time from the start of each step to the job's end."""
    steps = entry.job.steps
    after = [0.0] * len(steps)
    for number in reversed(range(len(steps))):
        step = steps[number]
        if not entry.step_done(repetition, number):
            after[number] += step.estimate_ms
        for earlier in step.after:
            after[earlier] = max(after[earlier], after[number])
    return after


def later_core_ms(job: workflow_pb2.Job) -> list[int]:
    """Returns, by step, the declared work of the steps that come after it."""
    work = [step.count * _task_core_ms(step) for step in job.steps]
    total = [0] * len(work)
    # Sets of steps are bits of a number: a sum over each step's set would cost
    # up to steps x steps. Here it is a count for each binary digit of the work.
    digits = [
        (
            digit,
            _bits(n for n, core_ms in enumerate(work) if core_ms >> digit & 1),
        )
        for digit in range(max(work, default=0).bit_length())
    ]
    later: dict[int, int] = {}
    for number in reversed(range(len(work) if digits else 0)):
        after = later.pop(number, 0)
        if after:
            total[number] = sum(
                (after & steps).bit_count() << digit for digit, steps in digits
            )
        for earlier in job.steps[number].after:
            later[earlier] = later.get(earlier, 0) | after | 1 << number
    return total


def _bits(numbers: Iterable[int]) -> int:
    """Returns the number of which these bits are set."""
    digits = bytearray()
    for number in numbers:
        digits.extend(bytes(max(0, number // 8 + 1 - len(digits))))
        digits[number // 8] |= 1 << number % 8
    return int.from_bytes(digits, "little")


def size_class(job: workflow_pb2.Job) -> int:
    """Returns the size class of a job of which no task has run."""
    return _size_class(
        sum(step.count * _task_core_ms(step) for step in job.steps)
    )


def _size_class(core_ms: int) -> int:
    return core_ms.bit_length() // SIZE_CLASS_BITS


def _task_core_ms(step: workflow_pb2.Step) -> int:
    if step.long_running:
        return 0
    return step.cpu_millicores * step.estimate_ms // 1000


def objective_ms(job: workflow_pb2.Job) -> float:
    """Returns the time in which the caller expects the job to be done."""
    return job.policy.stretch * chain_ms(job) + job.policy.target_latency_ms


def group_times(
    entry: job_entry.JobEntry, group: model.GroupKey
) -> job_entry.GroupTimes:
    """Returns a group's times; they change when it or a step after it ends."""
    if entry.times.ended:
        _drop_outdated(entry)
    times = entry.times.groups.get(group)
    if times is None:
        times = _work_out_times(entry, group)
        entry.times.groups[group] = times
    return times


def _drop_outdated(entry: job_entry.JobEntry) -> None:
    """Drops the times of groups that have ended, and of those before them."""
    known = entry.times
    for job, repetition, step in known.ended:
        remaining_ms = known.remaining_ms.get(repetition)
        left = [step] if remaining_ms else []
        while left:
            number = left.pop()
            # What is out of date is so for all steps before it.
            if remaining_ms[number] is not None:
                remaining_ms[number] = None
                group = model.GroupKey(job, repetition, number)
                known.groups.pop(group, None)
                left += entry.job.steps[number].after
    known.ended.clear()


def _work_out_times(
    entry: job_entry.JobEntry, group: model.GroupKey
) -> job_entry.GroupTimes:
    job = entry.job
    priority = job.policy.priority
    if job.steps[group.step].long_running:
        return job_entry.GroupTimes(
            True, priority, 0, 0, job.accepted_ms, math.inf
        )
    begin_ms = entry.due_ms(group.repetition) or job.accepted_ms
    known = entry.times
    if known.objective_ms is None:
        known.objective_ms = objective_ms(job)
    if known.later_core_ms is None:
        known.later_core_ms = later_core_ms(job)
    objective = known.objective_ms
    remaining_ms = known.remaining_ms.get(group.repetition)
    if remaining_ms is None or remaining_ms[group.step] is None:
        remaining_ms = _remaining_ms(entry, group.repetition)
        known.remaining_ms[group.repetition] = remaining_ms
    left_ms = remaining_ms[group.step]
    return job_entry.GroupTimes(
        False,
        priority,
        _task_core_ms(job.steps[group.step]),
        known.later_core_ms[group.step],
        begin_ms + objective - left_ms,
        begin_ms + LATE_FACTOR * objective - left_ms,
    )


def order(
    entry: job_entry.JobEntry, group: model.GroupKey, now_ms: int
) -> tuple[int, int, int, float]:
    """Returns the sort key of a waiting group, the lowest first.

    In a backlog, jobs with little work left go before others of the same
    priority: many of them can be on time at the cost of one large job, and a
    step's last tasks go before those of steps that have just begun.
    """
    times = group_times(entry, group)
    if times.long_running:
        urgency = Urgency.LONG_RUNNING
    elif now_ms <= times.latest_ms:
        urgency = Urgency.ON_TIME
    elif now_ms <= times.useful_ms:
        urgency = Urgency.LATE
    else:
        urgency = Urgency.TOO_LATE
    open_tasks = entry.open_tasks.get(group, entry.job.steps[group.step].count)
    left_core_ms = times.later_core_ms + open_tasks * times.task_core_ms
    return urgency, times.priority, _size_class(left_core_ms), times.latest_ms
