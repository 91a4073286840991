"""Decides whether a new job is accepted.

Made for bursts of several times what the workers can do: a job that can't be of
use any more once its turn comes is refused at once, so that its caller need not
wait to learn it. All that is uncertain counts for the caller: work ahead is the
least that is expected, workers do the most that they can, and work that is late
already is left out, since new jobs go before it.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
from typing import TYPE_CHECKING

from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import task_durations, urgency, work_ahead

if TYPE_CHECKING:
    from collections.abc import Iterable

# Part of the work ahead that counts for a caller who returns when told to.
RETURNED_SHARE = 0.5
# Part of the declared critical path that a job surely takes.
LEAST_CHAIN_SHARE = 0.5


class Verdict(enum.Enum):
    """What becomes of a new job."""

    ACCEPT = "accept"
    # No worker is large enough for one of its tasks.
    NEVER_FITS = "never fits"
    # It would be of no use any more once it is done.
    TOO_LATE = "too late"


@dataclasses.dataclass(frozen=True)
class Decision:
    """A verdict and what it rests on.

    Attributes:
      wait_s: The least time until the job's turn comes.
      spare_s: How much later it could begin and still be of use.
      step: The step that no worker has room for.
    """

    verdict: Verdict
    wait_s: float = 0.0
    spare_s: float = math.inf
    step: int = 0


class LoadView:
    """The loads of all shards, as one VM knows them."""

    def __init__(
        self,
        ownerships: Iterable[workflow_pb2.Ownership],
        added: work_ahead.Work | None = None,
    ) -> None:
        """Sums up what the shards report.

        Args:
          ownerships: Fresh reports of all shards.
          added: Work accepted since, in core milliseconds.
        """
        self._work: work_ahead.Work = collections.Counter(added or {})
        self._services: dict[str, workflow_pb2.ServiceLoad] = {}
        for ownership in ownerships:
            for load in ownership.services:
                self._add(load)

    def _add(self, load: workflow_pb2.ServiceLoad) -> None:
        total = self._services.setdefault(
            load.service, workflow_pb2.ServiceLoad(service=load.service)
        )
        total.finite_millicores += load.finite_millicores
        total.fill_millicores += load.fill_millicores
        for name in (
            "largest_cpu_millicores",
            "largest_memory_mib",
            "largest_accelerators",
        ):
            setattr(total, name, max(getattr(total, name), getattr(load, name)))
        for ahead in load.ahead:
            key = work_ahead.WorkKey(
                load.service, ahead.fills, ahead.priority, ahead.size_class
            )
            self._work[key] += ahead.core_ms

    def service(self, name: str) -> workflow_pb2.ServiceLoad | None:
        """Returns the sum of a service's loads; None if none is reported."""
        return self._services.get(name)

    def wait_s(self, job: workflow_pb2.Job, *, fills: bool) -> float:
        """Returns the least time that the work ahead of a job takes."""
        load = self._services[job.policy.service]
        rate = load.fill_millicores if fills else load.finite_millicores
        size_class = urgency.size_class(job)
        core_ms = sum(
            work
            for key, work in self._work.items()
            if key.service == job.policy.service
            and key.fills == fills
            and (key.priority, key.size_class)
            <= (job.policy.priority, size_class)
        )
        # Without a worker that is ready, nothing is known of the rate.
        return core_ms / rate if rate else 0.0


def decide(
    job: workflow_pb2.Job, view: LoadView, *, returned: bool
) -> Decision:
    """Decides on a new job.

    Args:
      job: The job, with its policy.
      view: The loads of all shards.
      returned: Its caller was refused before and has returned when told to.
    """
    load = view.service(job.policy.service)
    if load is None:
        return Decision(Verdict.ACCEPT)
    for number, step in enumerate(job.steps):
        if not work_ahead.fits(step, load):
            return Decision(Verdict.NEVER_FITS, step=number)
    if not _has_useful_time(job):
        return Decision(Verdict.ACCEPT)
    wait_s = max(
        view.wait_s(job, fills=fills)
        for fills in {step.fills for step in job.steps if not step.long_running}
    )
    if returned:
        wait_s *= RETURNED_SHARE
    spare_s = useful_s(job) - LEAST_CHAIN_SHARE * urgency.chain_ms(job) / 1000
    verdict = Verdict.TOO_LATE if wait_s > spare_s else Verdict.ACCEPT
    return Decision(verdict, wait_s, spare_s)


def useful_s(job: workflow_pb2.Job) -> float:
    """Returns for how long after its submission a job's end is of use."""
    return urgency.LATE_FACTOR * urgency.objective_ms(job) / 1000


def _has_useful_time(job: workflow_pb2.Job) -> bool:
    """Returns whether it is known when the job is of no use any more."""
    return not job.repeats and all(
        0 < step.estimate_ms <= task_durations.MAX_ESTIMATE_MS
        and not step.long_running
        for step in job.steps
    )
