"""Health of workers, judged by the outcomes of their tasks."""

from __future__ import annotations

import dataclasses

# Failures in a row after which a worker is set aside.
MAX_CONSECUTIVE_FAILURES = 3
# Unproven workers run at most this many tasks at once.
MAX_UNPROVEN_TASKS = 3
FIRST_PAUSE_S = 10.0
MAX_PAUSE_S = 600.0
# A task that has run this long without failing proves its worker.
PROVEN_AFTER_MS = 5_000
# A task that failed on more workers than this is itself at fault.
MAX_WORKERS_AT_FAULT = 2


@dataclasses.dataclass
class WorkerHealth:
    """Distinguishes a faulty worker from faulty tasks."""

    failures: int = 0
    proven: bool = False
    pause_s: float = 0.0
    paused_until: float = 0.0

    def on_success(self) -> None:
        """Records the success of a task."""
        self.failures = 0
        self.proven = True
        self.pause_s = 0.0
        self.paused_until = 0.0

    def on_progress(self, progress_ms: int) -> None:
        """Records the progress of a task that still runs."""
        if progress_ms >= PROVEN_AFTER_MS and not self.pause_s:
            self.proven = True

    def on_failure(self, failed_on: int, now: float) -> None:
        """Records the failure of a task.

        Args:
          failed_on: On how many workers the same task has failed, this one
            included.
          now: Monotonic time in seconds.
        """
        if failed_on > MAX_WORKERS_AT_FAULT:
            return
        self.failures += 1
        if self.failures >= MAX_CONSECUTIVE_FAILURES or self.pause_s:
            self.proven = False
            self.pause_s = min(
                MAX_PAUSE_S, max(FIRST_PAUSE_S, 2 * self.pause_s)
            )
            self.paused_until = now + self.pause_s

    def allows_start(self, running: int, now: float) -> bool:
        """Returns whether another task may be started on the worker."""
        if now < self.paused_until:
            return False
        if self.pause_s:
            return running == 0
        return self.proven or running + self.failures < MAX_UNPROVEN_TASKS

    def state_text(self, now: float) -> str:
        """Returns the state of the worker in words, for operators."""
        if now < self.paused_until:
            return f"set aside for {self.paused_until - now:.0f} s"
        if self.pause_s:
            return "set aside, probing"
        return "proven" if self.proven else "unproven"
