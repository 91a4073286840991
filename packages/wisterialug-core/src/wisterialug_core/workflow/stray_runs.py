"""Runs that a worker lists though no task of its shard is active there.

They begin where orders are carried out seconds late: on a worker that has
restarted under its name meanwhile, or under an owner that has been replaced. The
stop of such a run may be lost or late as well, so the worker is asked again until
it no longer lists the run.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable


class ListedRun(NamedTuple):
    """A run as a worker names it."""

    task: str
    run: int


@dataclasses.dataclass(slots=True)
class StrayRuns:
    """The stray runs of one incarnation of a worker.

    Attributes:
      listed: Those in its latest report.
    """

    listed: frozenset[ListedRun] = frozenset()
    _stopping: set[ListedRun] = dataclasses.field(default_factory=set)

    def record(self, listed: Iterable[ListedRun]) -> list[ListedRun]:
        """Records those of a report; returns those to be stopped now."""
        self.listed = frozenset(listed)
        new = sorted(self.listed - self._stopping)
        self._stopping.update(new)
        return new

    def end_stop(self, run: ListedRun) -> None:
        """Records that no stop of a run is under way any more."""
        self._stopping.discard(run)
