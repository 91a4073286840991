"""A shard owner's record of a worker: attempts, health and samples."""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import NamedTuple

from wisterialug_core.decisions import resources, throttling, worker_health


class AttemptKey(NamedTuple):
    """One attempt of one task."""

    task: str
    attempt: int


class AttemptStage(enum.Enum):
    """Stage of an attempt on a worker, as known to the owner."""

    PLANNED = "planned"  # Reserved, not durable: it can be undone.
    COMMITTED = "committed"  # Durable; may have been sent.
    RUNNING = "running"  # The worker reported it.
    ENDED = "ended"  # The worker reported its end; not durable yet.


@dataclasses.dataclass
class HeldAttempt:
    """An attempt that holds resources of a worker."""

    key: AttemptKey
    need: resources.Amount
    stage: AttemptStage
    sent: bool = False
    stopping: bool = False
    progress_ms: int = 0
    # When the worker first reported it.
    running_since: float | None = None


@dataclasses.dataclass
class WorkerRecord:
    """The owner's record of one worker."""

    id: str
    capacity: resources.Amount
    listed: bool = True
    leaving: bool = False
    incarnation: str = ""
    clock_ms: int = 0
    # When the worker last answered; None initially and after lease expiry.
    answered_at: float | None = None
    unlisted_at: float | None = None
    held: dict[AttemptKey, HeldAttempt] = dataclasses.field(
        default_factory=dict
    )
    to_acknowledge: set[AttemptKey] = dataclasses.field(default_factory=set)
    health: worker_health.WorkerHealth = dataclasses.field(
        default_factory=worker_health.WorkerHealth
    )

    # Load by service, and the time of its newest sample.
    service_loads: dict[str, float] = dataclasses.field(default_factory=dict)
    sampled_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    throttle: throttling.ThrottleController = dataclasses.field(
        default_factory=lambda: throttling.ThrottleController(math.inf)
    )

    def reserved(self) -> resources.Amount:
        """Returns what all held attempts take."""
        total = resources.ZERO
        for attempt in self.held.values():
            total = total.plus(attempt.need)
        return total

    def free(self) -> resources.Amount:
        """Returns what no attempt holds."""
        return self.capacity.minus(self.reserved())

    def accepts_starts(self, now: float) -> bool:
        """Returns whether tasks may be started on this worker."""
        return (
            self.listed
            and not self.leaving
            and self.answered_at is not None
            and self.health.allows_start(len(self.held), now)
        )
