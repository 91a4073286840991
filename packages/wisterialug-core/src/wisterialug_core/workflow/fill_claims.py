"""Claims of fill runs on the room that serving tasks leave.

Made for a burst of fill jobs beside serving tasks: a job is over only with the
last task of its last step, so that a few runs that stand still make it late.
Runs of jobs that can still be on time go before others, and those that soon end
a step before those of steps with much work left.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from wisterialug_core.workflow import model, urgency

if TYPE_CHECKING:
    from wisterialug_core.workflow import job_entry

# Value of a job by its urgency; the caller of a late one still waits for it.
JOB_VALUES = {
    urgency.Urgency.ON_TIME: 1.0,
    urgency.Urgency.LATE: 0.25,
    urgency.Urgency.TOO_LATE: 0.1,
}
# Slack within which a job's value falls to a third, in declared times of the
# step: it can be made up for later.
SLACK_SCALE = 2.0
# Work left, at least: reports of progress are half a second old.
MIN_WORK_LEFT_MS = 200.0
DONE_PERCENT = 100


class Claim(NamedTuple):
    """What the progress of one fill run means to its job.

    Attributes:
      urgency: Whether the job can still be on time.
      tasks_left: Tasks of the step that are not done, this one included.
      work_left_ms: Declared time that the run still needs at full pace.
      slack_ms: Time that the job can lose and still be on time; below 0 if it
        is late.
      scale_ms: Declared time of a task of the step.
    """

    urgency: urgency.Urgency
    tasks_left: int
    work_left_ms: float
    slack_ms: float
    scale_ms: float

    @property
    def value(self) -> float:
        """Returns what a second at full pace is worth to the job.

        That is the job's value (apparent tardiness cost), spread over the work
        that is left of the run and the tasks that the step still waits for.
        """
        slack = max(0.0, self.slack_ms) / (SLACK_SCALE * self.scale_ms)
        worth = JOB_VALUES[self.urgency] * math.exp(-slack)
        work_left_s = max(MIN_WORK_LEFT_MS, self.work_left_ms) / 1000
        return worth / (work_left_s * max(1, self.tasks_left))


def claim(entry: job_entry.JobEntry, task: model.Task, now_ms: int) -> Claim:
    """Returns the claim of a run of a finite task; `now_ms` is Unix time."""
    group = task.group
    estimate_ms = entry.job.steps[group.step].estimate_ms
    done_ms = estimate_ms * task.progress / DONE_PERCENT
    times = urgency.group_times(entry, group)
    slack_ms = times.latest_ms + done_ms - now_ms
    if slack_ms >= 0:
        standing = urgency.Urgency.ON_TIME
    elif now_ms <= times.useful_ms + done_ms:
        standing = urgency.Urgency.LATE
    else:
        standing = urgency.Urgency.TOO_LATE
    return Claim(
        standing,
        _tasks_left(entry, group),
        estimate_ms - done_ms,
        slack_ms,
        max(MIN_WORK_LEFT_MS, estimate_ms),
    )


def _tasks_left(entry: job_entry.JobEntry, group: model.GroupKey) -> int:
    tasks = entry.group(group)
    if entry.home:
        return entry.open_tasks[group]
    # Of a borrowed job, only the tasks that were lent are known; these were
    # among the last to start.
    return sum(not (task.done or task.lent_to) for task in tasks)
