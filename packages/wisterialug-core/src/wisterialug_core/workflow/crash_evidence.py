"""Tells tasks that crash their workers from those that only ran beside them.

A task may crash each worker that starts it. The worker lists no end then, and a
dozen other runs are lost with it. A run that had just begun may be the cause;
one that has outlived its start is not, unless nothing else explains the crash.
A task is given up after several crashes, sooner if one points at its job alone.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

# A task that crashes its workers does so when it starts. A run that is reported
# later than this has outlived its start.
START_S = 1.0
# After this time a run is no longer suspected of what happened before it.
CLEARED_S = 10.0
# Crashes after which a task is given up if one of them can't be explained by a
# run of another job. Workers crash for other reasons as well.
MAX_CRASHES = 3
# The same if others stood there each time. The platform allows two starts after
# the third crash; a start may be carried out unseen.
MAX_SHARED_CRASHES = 4
# From this crash on, a task is tried on a worker where nothing else may crash.
TRIED_ALONE_AFTER = 2


class Record(Protocol):
    """Stored fields of the evidence, in `TaskRecord`."""

    crashes: int
    unshared_crashes: int
    outlived_start: bool


@dataclasses.dataclass(slots=True)
class CrashEvidence:
    """What crashes of workers say of one task.

    Attributes:
      crashes: Workers that have crashed under a run of the task which may be
        the cause.
      unshared_crashes: Those among them which no run of another job explains.
      outlived_start: The active run has outlived its start.
    """

    crashes: int = 0
    unshared_crashes: int = 0
    outlived_start: bool = False

    @property
    def guilty(self) -> bool:
        """Returns whether the task is to be given up."""
        unshared = self.unshared_crashes > 0
        return self.crashes >= (MAX_CRASHES if unshared else MAX_SHARED_CRASHES)

    @property
    def suspect(self) -> bool:
        """Returns whether the next start may crash its worker."""
        return self.crashes > 0 and not self.outlived_start

    @property
    def needs_trial(self) -> bool:
        """Returns whether the next run needs a worker without other suspects."""
        return self.suspect and (
            self.unshared_crashes > 0 or self.crashes >= TRIED_ALONE_AFTER
        )

    def begin_run(self) -> None:
        """Notes that another run is about to start."""
        self.outlived_start = False

    def note_running(self, age_s: float) -> None:
        """Notes that a run is active, this long after it was first seen."""
        if age_s >= START_S:
            self.outlived_start = True
            self.unshared_crashes = 0
        if age_s >= CLEARED_S:
            self.crashes = 0

    def note_end(self) -> None:
        """Notes that a run has ended by itself, and its worker goes on."""
        self.crashes = 0
        self.unshared_crashes = 0

    def restore(self, record: Record) -> None:
        """Takes over what is stored; counts that are known here stay."""
        self.crashes = max(self.crashes, record.crashes)
        self.unshared_crashes = max(
            self.unshared_crashes, record.unshared_crashes
        )
        self.outlived_start = record.outlived_start


def record_crash(
    runs: Sequence[tuple[str, CrashEvidence]], *, ambiguous: bool = False
) -> None:
    """Records the crash of a worker.

    Args:
      runs: The runs there that may have begun, each with its job.
      ambiguous: The cause may lie outside of its runs: it may not have crashed
        at all, or others have at the same moment.
    """
    starting = [run for run in runs if not run[1].outlived_start]
    unshared = len({job for job, _ in starting}) == 1 and not ambiguous
    for _, evidence in starting or runs:
        evidence.crashes += 1
    for _, evidence in starting:
        evidence.unshared_crashes += unshared
    for _, evidence in runs:
        evidence.outlived_start = False
