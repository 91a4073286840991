"""Collects what a decision on a new job rests on."""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

from wisterialug_core.workflow import job_admission, layouts, work_ahead
from wisterialug_daemon.workflow import clock, election, owner, records

if TYPE_CHECKING:
    from wisterialug_core.schema import workflow_pb2
    from wisterialug_daemon.workflow import members

# Jobs are not refused by a shard's report that has arrived before.
MAX_REPORT_AGE_S = 1.2
# Nor by one that was made before: it names versions of the renewal before it,
# and waits for a watch here, as do the answers by which versions are dated.
MAX_LOAD_AGE_S = (
    MAX_REPORT_AGE_S + owner.RENEWAL_INTERVAL_S + 2 * election.WATCH_SPACING_S
)


@dataclasses.dataclass
class _Added:
    """Work that this VM accepted for a shard since its owner's renewal."""

    renewal: int
    jobs: int = 0
    work: work_ahead.Work = dataclasses.field(
        default_factory=collections.Counter
    )


class AdmissionControl:
    """Decides on new jobs by the reports of all shards.

    Any VM accepts jobs for any shard, so that each adds what it has accepted
    since the last report, and as much for each other VM that gets callers of
    its data centre.
    """

    def __init__(self, owners: election.Election, vms: members.Members) -> None:
        self._owners = owners
        self._vms = vms
        self._added: dict[str, _Added] = {}

    def decide(
        self, job: workflow_pb2.Job, *, returned: bool
    ) -> job_admission.Decision:
        """Decides on a job; it is accepted unless all reports are fresh."""
        if (
            self.report_age_s() > MAX_REPORT_AGE_S
            or self.load_age_s() > MAX_LOAD_AGE_S
        ):
            return job_admission.Decision(job_admission.Verdict.ACCEPT)
        ownerships = [self._owners.ownership(name) for name in self._shards()]
        if not all(o.owner and o.services for o in ownerships):
            return job_admission.Decision(job_admission.Verdict.ACCEPT)
        view = job_admission.LoadView(ownerships, self._added_work())
        return job_admission.decide(job, view, returned=returned)

    def report_age_s(self) -> float:
        """Returns the time since the arrival of the oldest report."""
        return max(map(self._owners.ownership_age_s, self._shards()))

    def load_age_s(self) -> float:
        """Returns the time since the loads were determined, at the most.

        A change of the store may be repeated, carried out or read late: its
        arrival says nothing of when it was made.
        """
        times = self._owners.version_times
        return clock.now_s() - min(
            times.newest_at_s(self._owners.ownership(shard).counted_version)
            for shard in self._shards()
        )

    def hears_store(self) -> bool:
        """Returns whether the store has answered this VM a moment ago."""
        ages = map(self._owners.ownership_age_s, self._shards())
        return min(ages) <= MAX_REPORT_AGE_S

    def note_accepted(self, job: workflow_pb2.Job) -> None:
        """Counts a job until its shard's next report."""
        added = self._added_to(job.shard)
        added.jobs += 1
        added.work.update(work_ahead.declared_work(job))

    def _shards(self) -> list[str]:
        """Returns the shards that have workers."""
        racks = self._owners.layout.message.racks
        numbers = {place.shard for place in racks} or {layouts.FIRST_SHARD}
        return [records.shard_name(number) for number in sorted(numbers)]

    def _added_to(self, shard: str) -> _Added:
        renewal = self._owners.ownership(shard).renewal
        added = self._added.get(shard)
        if added is None or added.renewal != renewal:
            added = self._added[shard] = _Added(renewal)
        return added

    def _added_work(self) -> work_ahead.Work:
        """Returns what VMs of this data centre have accepted since."""
        jobs = 0
        work: work_ahead.Work = collections.Counter()
        for shard in self._shards():
            added = self._added_to(shard)
            jobs += added.jobs
            work.update(added.work)
        if not jobs:
            return work
        # Less one standard deviation of a count: single jobs say nothing of
        # other VMs.
        certain = max(0.0, 1 - 1 / math.sqrt(jobs))
        factor = 1 + (self._vms.count_nearby() - 1) * certain
        return collections.Counter(
            {key: int(core_ms * factor) for key, core_ms in work.items()}
        )
