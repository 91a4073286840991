"""Jobs that have changed since they were recorded."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


class ChangedJobs:
    """Ids of jobs whose record is out of date, the longest first.

    A commit may hold a part of them only. A job that changes again while it
    waits keeps its place, and one that was recorded goes to the end.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, None] = {}

    def add(self, job: str) -> None:
        """Notes that a job has changed."""
        self._jobs.setdefault(job, None)

    def discard(self, job: str) -> None:
        """Notes that a job is recorded, or dropped."""
        self._jobs.pop(job, None)

    def __iter__(self) -> Iterator[str]:
        return iter(self._jobs)

    def __contains__(self, job: str) -> bool:
        return job in self._jobs

    def __len__(self) -> int:
        return len(self._jobs)
