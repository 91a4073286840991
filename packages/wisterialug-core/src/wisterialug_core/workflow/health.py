"""Sets aside workers that fail, stall or refuse starts.

A few workers fail every run while their registry entries look healthy. Each
failure uses up an attempt of a task, so that a job fails after a handful of
starts there.
"""

from __future__ import annotations

import dataclasses

# Consecutive failures, of different jobs, that set a worker aside. Some tasks
# fail everywhere, so one failure says little.
FAILURES_TO_SET_ASIDE = 2
INITIAL_BACKOFF_S = 3.0
# Long enough that a worker that keeps failing costs little.
MAX_BACKOFF_S = 24.0
# Pause after a worker has refused a start.
REFUSAL_BACKOFF_S = 1.0
# How long a worker is rated last after a run there has fallen behind.
INITIAL_SLOW_S = 2.0
MAX_SLOW_S = 8.0


@dataclasses.dataclass(slots=True)
class WorkerHealth:
    """Health of a worker, derived from the outcomes of its runs.

    Attributes:
      slow: It is rated last: a run there has fallen behind others of its step.
    """

    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    backoff_s: float = INITIAL_BACKOFF_S
    aside_until_s: float = 0.0
    slow: bool = False
    slow_until_s: float = 0.0
    slow_s: float = INITIAL_SLOW_S

    def usable(self, now_s: float) -> bool:
        """Returns whether the worker may get new runs."""
        return now_s >= self.aside_until_s

    @property
    def suspect(self) -> bool:
        """Returns whether the latest run to end here has failed."""
        return bool(self.failed_jobs)

    def record_success(self) -> None:
        """Records a successful run."""
        self.failed_jobs.clear()
        self.backoff_s = INITIAL_BACKOFF_S

    def record_failure(self, job: str, now_s: float) -> bool:
        """Records a failed run; returns whether it sets the worker aside."""
        self.failed_jobs.add(job)
        if len(self.failed_jobs) < FAILURES_TO_SET_ASIDE:
            return False
        self.set_aside(now_s)
        return True

    def set_aside(self, now_s: float) -> None:
        """Sets the worker aside with exponential backoff."""
        if now_s < self.aside_until_s:
            return
        self.aside_until_s = now_s + self.backoff_s
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)

    def record_refusal(self, now_s: float) -> None:
        """Records a start that the worker refused."""
        self.aside_until_s = max(self.aside_until_s, now_s + REFUSAL_BACKOFF_S)

    def record_slow(self, now_s: float) -> None:
        """Records a run that has fallen behind; the worker is rated last.

        It stays in use, so that room is never short for want of fast workers.
        """
        if now_s < self.slow_until_s:
            return
        self.slow = True
        self.slow_until_s = now_s + self.slow_s
        self.slow_s = min(MAX_SLOW_S, self.slow_s * 2)

    def record_usual_speed(self) -> None:
        """Records a run that took the usual time of its step."""
        self.slow = False
        self.slow_until_s = 0.0
        self.slow_s = INITIAL_SLOW_S

    def update_slow(self, now_s: float) -> None:
        """Rates the worker as others again once its time is over."""
        self.slow = now_s < self.slow_until_s
