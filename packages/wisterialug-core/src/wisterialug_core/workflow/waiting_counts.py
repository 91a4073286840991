"""Decides whether the count of a queue's waiting jobs can be returned.

Each shard's owner reports how many of its jobs wait for their first start. The
report says which jobs it covers and when it was made, as versions of the store:
its arrival is no measure of either beside takeovers, a slow store or an owner
that has not read its inbox.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import version_times

# Age of an answered count that callers are promised at the most.
MAX_AGE_S = 2.0
# Accepted jobs must be in it when the caller gets the answer.
ANSWER_MARGIN_S = 0.25


@dataclasses.dataclass(frozen=True)
class ShardCount:
    """A shard's waiting jobs of one queue, as its owner has counted them.

    Attributes:
      waiting: Number of jobs; None if the owner has not counted them.
      age_s: Time since the count, an upper bound.
      accepted_age_s: All jobs that were accepted longer ago are included; an
        upper bound too.
    """

    shard: str
    waiting: int | None
    age_s: float
    accepted_age_s: float

    def problem(self, accepted_within_s: float) -> str:
        """Returns why callers can't be given the count; empty if they can.

        Args:
          accepted_within_s: Time until an accepted job must be visible.
        """
        if self.waiting is None:
            return f"the jobs of shard {self.shard} are not counted"
        if self.age_s > MAX_AGE_S:
            return f"the count of shard {self.shard} is out of date"
        promised_s = accepted_within_s + MAX_AGE_S
        if self.accepted_age_s > promised_s - ANSWER_MARGIN_S:
            return f"the count of shard {self.shard} lacks accepted jobs"
        return ""


def of_shard(
    shard: str,
    ownership: workflow_pb2.Ownership,
    route: str,
    times: version_times.VersionTimes,
    now_s: float,
) -> ShardCount:
    """Returns a shard's count of one queue's waiting jobs."""
    counted = bool(ownership.counted_version)
    return ShardCount(
        shard,
        ownership.waiting.get(route, 0) if counted else None,
        now_s - times.newest_at_s(ownership.counted_version),
        now_s - times.newest_at_s(ownership.accepted_version),
    )
