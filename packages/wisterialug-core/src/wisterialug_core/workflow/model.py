"""Tasks, runs and workers as the scheduler of workflow jobs sees them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, NamedTuple, NewType

from wisterialug_core.workflow import crash_evidence, run_proofs, run_times

if TYPE_CHECKING:
    from wisterialug_core.decisions import resources

# One life of a worker: NAME@BORN, or NAME where its birth is not known. A worker
# may start again under the name that it had.
Incarnation = NewType("Incarnation", str)
JobId = NewType("JobId", str)


class TaskKey(NamedTuple):
    """Identifies one task of a job."""

    job: str
    repetition: int
    step: int
    index: int


class GroupKey(NamedTuple):
    """Identifies all tasks of one repetition of a step."""

    job: str
    repetition: int
    step: int


class RunEnd(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    # A stop order ended it.
    STOPPED = "stopped"
    # The worker ended it because its lease had expired.
    LAPSED = "lapsed"
    # Another member of the gang ended.
    BROKEN = "broken"
    # The gang was not complete in time.
    ALONE = "alone"
    # No end reported: not started, no longer listed, or the lease expired.
    LOST = "lost"


class Phase(enum.Enum):
    """Phase of an active run."""

    # The start is recorded; the worker has not confirmed it.
    STARTING = "starting"
    # Recorded by an earlier owner; no report of the worker shows it yet.
    ADOPTED = "adopted"
    RUNNING = "running"
    # A stop was ordered; resources stay reserved until the run has ended.
    STOPPING = "stopping"


class WorkerState(enum.Enum):
    """A worker's state in the registry."""

    READY = "ready"
    DRAINING = "draining"
    # Its entry is gone; runs may still be active there.
    ABSENT = "absent"


@dataclasses.dataclass(frozen=True)
class WorkerReport:
    """A worker's entry in the registry.

    Attributes:
      id: Incarnation of the worker; each restart brings another one.
      address: Host and port.
      service: Pool that the worker belongs to.
      remaining_ms: Time until a draining worker leaves; 0 where unknown.
      cold_ms: How much longer it is slow after its start; 0 once it is warm.
    """

    id: Incarnation
    address: str
    service: str
    data_centre: str
    state: WorkerState
    capacity: resources.Amount
    labels: tuple[str, ...]
    remaining_ms: int
    cold_ms: int = 0

    @property
    def name(self) -> str:
        """Returns the name under which the worker is registered."""
        return registered_name(self.id)

    @property
    def rack(self) -> str:
        """Returns the label of the worker's rack, the last label."""
        return self.labels[-1] if self.labels else ""


@dataclasses.dataclass(slots=True)
class Task:
    """One task and its active run, if there is one."""

    key: TaskKey
    run: int = 0
    worker: str = ""
    done: bool = False
    failures: int = 0
    checkpoint: str = ""
    # Other shard that runs it, if any, and how often it was lent.
    lent_to: str = ""
    loans: int = 0
    # When a borrowed task that waits was first seen to; 0 if it does not wait.
    borrowed_s: float = 0.0
    # Unix time at which its latest run ended; 0 if none has.
    last_run_end_ms: int = 0
    # Workers on which a run has failed.
    failed_on: tuple[str, ...] = ()
    crash_evidence: crash_evidence.CrashEvidence = dataclasses.field(
        default_factory=crash_evidence.CrashEvidence
    )
    # Of the active run only.
    phase: Phase = Phase.STARTING
    phase_since_s: float = 0.0
    orders: run_proofs.StartOrders = dataclasses.field(
        default_factory=run_proofs.StartOrders
    )
    # Percent done of its work, or of a long-running task's startup.
    progress: int = 0
    track: run_times.ProgressTrack = dataclasses.field(
        default_factory=run_times.ProgressTrack
    )
    # Earliest time of the next start; set after failures.
    not_before_s: float = 0.0
    # Since when the run has made no progress; 0 if it has.
    stalled_since_s: float = 0.0
    # Runs that were stopped as stalled; the task may just be slow.
    stalls: int = 0
    # The worker's clock when the run began; -1 if that is not known.
    started_clock_ms: int = -1
    # The run began with saved progress.
    resumed: bool = False
    # Runs that were stopped since they fell behind the others of the step.
    restarts: int = 0

    @property
    def name(self) -> str:
        """Returns the task's name in calls to workers."""
        return ".".join(map(str, self.key))

    @property
    def group(self) -> GroupKey:
        """Returns the group that the task belongs to."""
        return GroupKey(*self.key[:3])

    @property
    def may_start(self) -> bool:
        """Returns whether the task waits for nothing but a worker."""
        return self.pending and not self.crash_evidence.held

    @property
    def active(self) -> bool:
        """Returns whether a run of the task may be under way."""
        return bool(self.worker)

    def begin_run(self, worker: str, run: int, now_s: float) -> None:
        """Sets the state of a run whose start is to be recorded."""
        self.run = run
        self.worker = worker
        self.phase = Phase.STARTING
        self.phase_since_s = now_s
        self.orders = run_proofs.StartOrders()
        self.progress = 0
        self.track = run_times.ProgressTrack()
        if not self.checkpoint:
            self.track.note(0, now_s)
        self.stalled_since_s = 0.0
        self.started_clock_ms = -1
        self.resumed = bool(self.checkpoint)
        self.borrowed_s = 0.0
        self.crash_evidence.begin_run()

    def note_run_end(self, end: RunEnd, now_ms: int) -> None:
        """Notes when a run ended; one that is not known to have begun is none."""
        # A stop may be ordered before a response shows that the run has begun.
        unseen = self.phase is Phase.STARTING or (
            self.phase is Phase.STOPPING and not self.orders.confirmed_s
        )
        if end is not RunEnd.LOST or not unseen:
            self.last_run_end_ms = now_ms

    def is_active_on(self, worker: str, run: int) -> bool:
        """Returns whether a run is the active one, on this worker."""
        return self.worker == worker and self.run == run

    @property
    def pending(self) -> bool:
        """Returns whether this shard is to start a run of the task."""
        return not (self.worker or self.done or self.lent_to)


def incarnation(name: str, born_ms: int) -> Incarnation:
    """Returns the incarnation of a worker that started at this Unix time."""
    return Incarnation(f"{name}@{born_ms}" if born_ms else name)


def registered_name(worker: str) -> str:
    """Returns the name that all incarnations of a worker share."""
    return worker.partition("@")[0]


def born_ms(worker: str) -> int:
    """Returns when an incarnation started, by its own clock; 0 if unknown."""
    return int(worker.partition("@")[2] or 0)


def parse_task_name(name: str) -> TaskKey | None:
    """Parses a task's name; None if it is malformed."""
    parts = name.split(".")
    try:
        return TaskKey(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))
    except (IndexError, ValueError):
        return None
