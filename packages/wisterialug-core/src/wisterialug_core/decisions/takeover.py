"""Timing of a change of shard owner, which running tasks must outlive."""

from __future__ import annotations

from wisterialug_core.decisions import sessions

# Periods at which VMs read the sessions and claim unowned shards.
WATCH_INTERVAL_S = 0.5
# Periods vary, and a new owner loads the shard before it renews leases.
MARGIN_S = 0.4
MIN_RENEWAL_INTERVAL_S = 0.25


def longest_s(session_lease_s: float) -> float:
    """Returns the longest time from an owner's crash to its replacement.

    The owner may have renewed its session just before; others see that at
    their next read, and claim the shard in their next round after it lapsed.
    """
    return sessions.lapse_after_s(session_lease_s) + 2 * WATCH_INTERVAL_S


def renewal_interval_s(
    task_lease_s: float, session_lease_s: float, longest_interval_s: float
) -> float:
    """Returns the time between an owner's syncs with a worker.

    The lease starts at the worker's clock in its previous response, so one
    renewed just before the next sync is due is two intervals old.
    """
    spare_s = task_lease_s - longest_s(session_lease_s) - MARGIN_S
    return min(longest_interval_s, max(MIN_RENEWAL_INTERVAL_S, spare_s / 2))


def shortest_task_lease_s(session_lease_s: float) -> float:
    """Returns the shortest task lease that outlives a change of owner."""
    return longest_s(session_lease_s) + MARGIN_S + 2 * MIN_RENEWAL_INTERVAL_S
