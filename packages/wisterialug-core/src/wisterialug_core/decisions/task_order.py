"""Order in which waiting jobs get resources.

Urgent jobs come first, then jobs whose deadline is at risk, earliest first,
then all others by dominant resource share divided by weight.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from wisterialug_core.decisions import resources

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from wisterialug_core.schema import work_pb2

DEFAULT_WEIGHT = 100
# A deadline is at risk when the time left is under this many run times.
RISK_RUN_TIMES = 3.0

Group = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Limits:
    """Weight and quota of a group in one shard."""

    weight: int = DEFAULT_WEIGHT
    quota: resources.Amount | None = None


def group_of(job: work_pb2.Job) -> Group:
    """Returns the customer and team whose usage includes a job."""
    return job.customer, job.team


class JobOrder:
    """Orders jobs for the placement of their next task."""

    def __init__(
        self,
        usage: Mapping[Group, resources.Amount],
        total: resources.Amount,
        limits_of: Callable[[Group], Limits],
        now_unix_ms: int,
    ) -> None:
        self._usage = dict(usage)
        self._total = total
        self._limits_of = limits_of
        self._now_unix_ms = now_unix_ms

    def key(self, job: work_pb2.Job) -> tuple[int, float, int, str]:
        """Returns a sort key; the lowest goes first."""
        if job.urgent:
            return 0, float(job.submitted_unix_ms), 0, job.id
        if self.is_time_critical(job):
            return 1, float(job.deadline_unix_ms), 0, job.id
        group = group_of(job)
        used = self._usage.get(group, resources.ZERO)
        share = used.dominant_share(self._total) / self._limits_of(group).weight
        return 2, share, job.deadline_unix_ms or 2**62, job.id

    def is_time_critical(self, job: work_pb2.Job) -> bool:
        """Returns whether a job is urgent or its deadline at risk."""
        if job.urgent or not job.deadline_unix_ms:
            return job.urgent
        left_ms = job.deadline_unix_ms - self._now_unix_ms
        return left_ms < RISK_RUN_TIMES * job.run_ms

    def within_quota(self, job: work_pb2.Job) -> bool:
        """Returns whether one more task keeps the group within its quota."""
        group = group_of(job)
        quota = self._limits_of(group).quota
        if quota is None:
            return True
        used = self._usage.get(group, resources.ZERO)
        return used.plus(resources.from_message(job.each)).fits(quota)

    def record_placed(self, job: work_pb2.Job) -> None:
        """Adds one task of a job to its group's usage."""
        group = group_of(job)
        used = self._usage.get(group, resources.ZERO)
        self._usage[group] = used.plus(resources.from_message(job.each))
