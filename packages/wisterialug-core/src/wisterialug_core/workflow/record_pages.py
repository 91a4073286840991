"""Pages of a job's task records, each of which fits into a row of the store.

A job may have thousands of tasks that run at the same time, spread over many
shards. All that is stored of its tasks is split by page: a page holds the records
of the same tasks in each row, so that rows of one page can be written, read and
removed without the others.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import model

# A record takes some 60 bytes, and three times that with all its fields; the
# rest of a row is for checkpoints.
PAGE_TASKS = 100
# Size of a record without its checkpoint, at the most.
MAX_RECORD_BYTES = 350


class RecordPage(NamedTuple):
    """Names one page of a job's record."""

    job: str
    page: int


class TaskPages:
    """Assigns each task of a job to a page."""

    def __init__(self, job: workflow_pb2.Job) -> None:
        counts = [step.count for step in job.steps]
        # Number of a step's first task, within a repetition.
        self._first = [0, *itertools.accumulate(counts)]
        self._per_repetition = self._first.pop()
        tasks = self._per_repetition * max(1, job.repeats)
        self.count = max(1, -(-tasks // PAGE_TASKS))

    def of(self, key: model.TaskKey) -> int:
        """Returns the page of a task."""
        number = (
            key.repetition * self._per_repetition
            + self._first[key.step]
            + key.index
        )
        return number // PAGE_TASKS


def most_bytes(task: model.Task) -> int:
    """Returns the most that a task's record may take."""
    return MAX_RECORD_BYTES + len(task.checkpoint.encode())


def fit(
    message: workflow_pb2.Progress | workflow_pb2.LoanResult, max_bytes: int
) -> int:
    """Leaves checkpoints out of a page, the longest first, until it fits.

    A task without its checkpoint starts from its beginning, if the process that
    knows it and the worker that made it are lost.

    Args:
      message: The page; changed in place.
      max_bytes: What it may take.

    Returns:
      How many checkpoints were left out.
    """
    excess = message.ByteSize() - max_bytes
    if excess <= 0:
        return 0
    left_out = 0
    for task in sorted(message.tasks, key=lambda t: -len(t.checkpoint)):
        if excess <= 0 or not task.checkpoint:
            break
        excess -= len(task.checkpoint.encode())
        task.checkpoint = ""
        left_out += 1
    return left_out
