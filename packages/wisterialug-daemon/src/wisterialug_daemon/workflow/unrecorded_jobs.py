"""Jobs whose rows the store has rejected, and when they are tried again."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialug_core.workflow import job_table

FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 60.0


class UnrecordedJobs:
    """Keeps jobs that can't be recorded from holding up the others."""

    def __init__(self, jobs: job_table.JobTable) -> None:
        self._jobs = jobs
        # When each is tried again, and the pause before that.
        self._retries: dict[str, tuple[float, float]] = {}

    def may_try(self, job: str, now_s: float) -> bool:
        """Returns whether to commit a job's rows now."""
        return now_s >= self._retries.get(job, (0.0, 0.0))[0]

    def reject(self, job: str, now_s: float) -> float:
        """Notes that the store has rejected a job's rows.

        Returns:
          The time until they are tried again, in seconds.
        """
        _, before_s = self._retries.get(job, (0.0, 0.0))
        pause_s = min(MAX_PAUSE_S, 2 * before_s) or FIRST_PAUSE_S
        self._retries[job] = now_s + pause_s, pause_s
        self._jobs.jobs[job].unrecorded = True
        return pause_s

    def accept(self, job: str) -> None:
        """Notes that a job is recorded."""
        if self._retries.pop(job, None) is not None:
            self._jobs.jobs[job].unrecorded = False
