"""Counts the waiting jobs of a queue, by what the owners of all shards report."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result

from wisterialug_core.workflow import waiting_counts
from wisterialug_daemon import logs
from wisterialug_daemon.workflow import clock, records

if TYPE_CHECKING:
    from wisterialug_core.workflow import routes
    from wisterialug_daemon.workflow import election

# In place of times without end.
MAX_LOGGED_S = 3600.0


class QueueCounts:
    """Answers how many jobs of a queue wait for their first start.

    A count that may leave out accepted jobs, or is older than callers are
    promised, is refused.
    """

    def __init__(
        self, owners: election.Election, accepted_within_s: float
    ) -> None:
        """Creates the counts.

        Args:
          owners: The owners of all shards.
          accepted_within_s: Time until an accepted job must be visible.
        """
        self._owners = owners
        self._accepted_within_s = accepted_within_s

    def waiting(self, route: routes.Route) -> result.Result[int, str]:
        """Returns the number of waiting jobs, or why it is not known."""
        if not self._owners.knows_layout:
            reason = "the shards are not known"
            logs.event("waiting-not-counted", route=route.name, reason=reason)
            return result.Err(reason)
        counts = self._shard_counts(route)
        for count in counts:
            problem = count.problem(self._accepted_within_s)
            if problem:
                logs.event(
                    "waiting-not-counted",
                    route=route.name,
                    reason=problem,
                    **self._fields(count),
                )
                return result.Err(problem)
        total = sum(count.waiting or 0 for count in counts)
        oldest = max(counts, key=lambda count: count.accepted_age_s)
        logs.event(
            "waiting-counted",
            route=route.name,
            waiting=total,
            shards=len(counts),
            **self._fields(oldest),
        )
        return result.Ok(total)

    def _shard_counts(
        self, route: routes.Route
    ) -> list[waiting_counts.ShardCount]:
        now_s = clock.now_s()
        names = map(records.shard_name, range(self._owners.layout.shards))
        return [
            waiting_counts.of_shard(
                name,
                self._owners.ownership(name),
                route.name,
                self._owners.version_times,
                now_s,
            )
            for name in names
        ]

    def _fields(self, count: waiting_counts.ShardCount) -> dict[str, object]:
        """Returns what the log says of a shard's count."""
        known = self._owners.ownership(count.shard)
        return {
            "shard": count.shard,
            "epoch": known.epoch,
            "renewal": known.renewal,
            "shard_waiting": count.waiting,
            "age_s": _logged_s(count.age_s),
            "accepted_age_s": _logged_s(count.accepted_age_s),
        }


def _logged_s(age_s: float) -> float:
    return round(min(age_s, MAX_LOGGED_S), 3)
