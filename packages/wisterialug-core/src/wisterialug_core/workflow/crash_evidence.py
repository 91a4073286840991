"""Tells tasks that crash their workers from those that only ran beside them.

A task may crash each worker that starts it. The worker lists no end then, and a
dozen other runs are lost with it. A run that had just begun may be the cause;
one that has outlived its start is not, unless nothing else explains the crash.
A task is given up after several crashes, sooner if one points at its job alone.

A worker that only falls silent may have crashed, or may have lost touch and run
on. Such a loss is kept apart until it is known which (`worker_losses`): it makes
the task a suspect, but never fails it. A task with as many crashes and open losses
as would fail it waits.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

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
    open_losses: Sequence[str]


@dataclasses.dataclass(slots=True)
class CrashEvidence:
    """What crashes of workers say of one task.

    Attributes:
      crashes: Workers that have crashed under a run of the task which may be
        the cause.
      unshared_crashes: Those among them which no run of another job explains.
      outlived_start: The active run has outlived its start.
      open_losses: Workers, by incarnation, that fell silent under such a run;
        whether they have crashed is not known yet.
    """

    crashes: int = 0
    unshared_crashes: int = 0
    outlived_start: bool = False
    open_losses: tuple[str, ...] = ()

    @property
    def guilty(self) -> bool:
        """Returns whether the task is to be given up."""
        return self.crashes >= self._limit

    def guilty_if_crashed(self, workers: Collection[str]) -> bool:
        """Returns whether the task is to be given up if these have crashed."""
        crashed = sum(worker in workers for worker in self.open_losses)
        return self.crashes + crashed >= self._limit

    @property
    def held(self) -> bool:
        """Returns whether the task waits until a loss is explained."""
        return bool(self.open_losses) and self._possible >= self._limit

    @property
    def suspect(self) -> bool:
        """Returns whether the next start may crash its worker."""
        return self._possible > 0 and not self.outlived_start

    @property
    def needs_trial(self) -> bool:
        """Returns whether the next run needs a worker without other suspects."""
        return self.suspect and (
            self.unshared_crashes > 0 or self._possible >= TRIED_ALONE_AFTER
        )

    @property
    def _possible(self) -> int:
        """Returns the number of crashes if all open losses are such."""
        return self.crashes + len(self.open_losses)

    @property
    def _limit(self) -> int:
        return MAX_CRASHES if self.unshared_crashes else MAX_SHARED_CRASHES

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
            self.open_losses = ()

    def note_end(self) -> None:
        """Notes that a run has ended by itself, and its worker goes on."""
        self.crashes = 0
        self.unshared_crashes = 0
        self.open_losses = ()

    def settle_losses(
        self, crashed: Iterable[str], ran_on: Iterable[str]
    ) -> bool:
        """Settles open losses of which it is known now what they were.

        Args:
          crashed: Workers that have crashed.
          ran_on: Workers that have only lost touch.

        Returns:
          Whether that changed anything.
        """
        crashes = set(crashed) & set(self.open_losses)
        left = set(self.open_losses) - crashes - set(ran_on)
        changed = len(left) < len(self.open_losses)
        self.crashes += len(crashes)
        self.open_losses = tuple(w for w in self.open_losses if w in left)
        return changed

    def restore(self, record: Record) -> None:
        """Takes over what is stored; counts that are known here stay."""
        self.crashes = max(self.crashes, record.crashes)
        self.unshared_crashes = max(
            self.unshared_crashes, record.unshared_crashes
        )
        self.outlived_start = record.outlived_start
        self.open_losses = tuple(
            dict.fromkeys((*self.open_losses, *record.open_losses))
        )


def record_crash(
    runs: Sequence[tuple[str, CrashEvidence]], *, ambiguous: bool = False
) -> None:
    """Records the crash of a worker.

    Args:
      runs: The runs there that may have begun, each with its job.
      ambiguous: The cause may lie outside of its runs: others have crashed at
        the same moment.
    """
    starting = [run for run in runs if not run[1].outlived_start]
    unshared = len({job for job, _ in starting}) == 1 and not ambiguous
    for _, evidence in starting or runs:
        evidence.crashes += 1
    for _, evidence in starting:
        evidence.unshared_crashes += unshared
    for _, evidence in runs:
        evidence.outlived_start = False


def record_loss(runs: Sequence[CrashEvidence], worker: str) -> None:
    """Records that a worker fell silent until its lease had expired.

    Args:
      runs: The runs there that may have begun.
      worker: Incarnation of the worker.
    """
    starting = [run for run in runs if not run.outlived_start]
    for evidence in starting or runs:
        if worker not in evidence.open_losses:
            evidence.open_losses += (worker,)
    for evidence in runs:
        evidence.outlived_start = False
