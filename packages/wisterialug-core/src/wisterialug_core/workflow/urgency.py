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


def remaining_ms(entry: job_entry.JobEntry, group: model.GroupKey) -> float:
    """Returns the declared time from the start of a group to the job's end."""
    steps = entry.job.steps
    after = [0.0] * len(steps)
    for number in reversed(range(len(steps))):
        key = model.GroupKey(group.job, group.repetition, number)
        own = 0.0 if entry.step_done(*key[1:]) else steps[number].estimate_ms
        after[number] += own
        for earlier in steps[number].after:
            after[earlier] = max(after[earlier], after[number])
    return after[group.step]


def later_core_ms(job: workflow_pb2.Job, step: int) -> int:
    """Returns the declared work of the steps that come after a step."""
    after = {step}
    total = 0
    for number, later in enumerate(job.steps):
        if after.intersection(later.after):
            after.add(number)
            total += later.count * _task_core_ms(later)
    return total


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
    """Returns a group's times; they change when a step of its job ends."""
    times = entry.times.get(group)
    if times is None:
        times = _work_out_times(entry, group)
        entry.times[group] = times
    return times


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
    objective = objective_ms(job)
    left_ms = remaining_ms(entry, group)
    return job_entry.GroupTimes(
        False,
        priority,
        _task_core_ms(job.steps[group.step]),
        later_core_ms(job, group.step),
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
