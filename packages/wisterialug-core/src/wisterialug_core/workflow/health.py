"""Sets workers aside that fail, stall or do not answer.

Load pattern: a few workers fail all that they start while their entries look
well. Each failure uses up an attempt of a task, so that a job fails after a
handful of starts there.
"""

from __future__ import annotations

import dataclasses

# Failures in a row, of different jobs, that set a worker aside. Some tasks
# fail everywhere, so that one failure says little.
FAILURES_TO_SET_ASIDE = 2
INITIAL_BACKOFF_S = 3.0
# Long enough that a worker which goes on failing costs little.
MAX_PAUSE_S = 24.0
# A worker that refuses a start is asked again after this time.
REFUSAL_PAUSE_S = 1.0


@dataclasses.dataclass(slots=True)
class WorkerHealth:
    """What the outcomes of its runs say of a worker."""

    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    pause_s: float = INITIAL_BACKOFF_S
    aside_until_s: float = 0.0

    def usable(self, now_s: float) -> bool:
        """Tells whether the worker may get new runs."""
        return now_s >= self.aside_until_s

    def record_success(self) -> None:
        """Notes a run that ended well."""
        self.failed_jobs.clear()
        self.pause_s = INITIAL_BACKOFF_S

    def record_failure(self, job: str, now_s: float) -> bool:
        """Notes a failed run; tells whether the worker is set aside for it."""
        self.failed_jobs.add(job)
        if len(self.failed_jobs) < FAILURES_TO_SET_ASIDE:
            return False
        self.set_aside(now_s)
        return True

    def set_aside(self, now_s: float) -> None:
        """Sets the worker aside, each time for longer."""
        if now_s < self.aside_until_s:
            return
        self.aside_until_s = now_s + self.pause_s
        self.pause_s = min(MAX_PAUSE_S, self.pause_s * 2)

    def record_refusal(self, now_s: float) -> None:
        """Notes a start that the worker refused as unwell."""
        self.aside_until_s = max(self.aside_until_s, now_s + REFUSAL_PAUSE_S)
