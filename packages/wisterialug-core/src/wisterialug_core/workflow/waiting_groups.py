"""The groups of tasks that wait, the most urgent first.

Thousands of occurrences of a job may be due at once. Those that have not begun
differ in nothing but their time, so that they are in order without a look at
each.
"""

from __future__ import annotations

import bisect
import heapq
from typing import TYPE_CHECKING, NamedTuple

from wisterialug_core.workflow import (
    job_table,
    model,
    placement_queue,
    urgency,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from wisterialug_core.workflow import job_entry


class _Ranked(NamedTuple):
    """A group with what it is sorted by; ties go by job, time and step."""

    order: tuple
    entry_number: int
    group: model.GroupKey


def pending_groups(
    jobs: job_table.JobTable,
    now_s: float,
    now_ms: int,
    order: urgency.Order = urgency.order,
    occurrences: int | None = placement_queue.MAX_GROUPS_PER_ROUND,
) -> list[tuple[model.GroupKey, list[model.Task]]]:
    """Returns the pending tasks by group, the most urgent first.

    Args:
      jobs: The shard's jobs.
      now_s: Monotonic time.
      now_ms: Unix time.
      order: Returns the sort key of a group.
      occurrences: The most groups of scheduled jobs for each kind of work and
        size, as far as `order` is that of `urgency`; a round considers no more.
        None for all.
    """
    queue: list[tuple[_Ranked, list[model.Task]]] = []
    scheduled: dict[int, job_entry.JobEntry] = {}
    for number, entry in enumerate(jobs.open_jobs.values()):
        if entry.final:
            continue
        if (
            entry.home
            and entry.job.repeats
            and occurrences is not None
            and order is urgency.order
        ):
            scheduled[number] = entry
            continue
        for group in entry.ready_groups(now_ms):
            waiting = entry.startable_tasks(group, now_s)
            if waiting:
                ranked = _Ranked(order(entry, group, now_ms), number, group)
                queue.append((ranked, waiting))
    if scheduled:
        queue += _most_urgent(scheduled, now_s, now_ms, occurrences)
    queue.sort(key=lambda item: item[0])
    return [(ranked.group, waiting) for ranked, waiting in queue]


def _most_urgent(
    scheduled: Mapping[int, job_entry.JobEntry],
    now_s: float,
    now_ms: int,
    limit: int,
) -> list[tuple[_Ranked, list[model.Task]]]:
    """Returns the first waiting groups of each kind of work and size."""
    streams: dict[tuple, list[Iterator[_Ranked]]] = {}
    for number, entry in scheduled.items():
        begun: dict[int, list[_Ranked]] = {}
        for group in entry.ready_begun_groups(now_ms):
            order = urgency.order(entry, group, now_ms)
            ranked = _Ranked(order, number, group)
            begun.setdefault(group.step, []).append(ranked)
        # To look at a group of another step begins its repetition.
        not_begun = entry.repetitions_not_begun(now_ms)
        for step_number, step in enumerate(entry.job.steps):
            kind = (
                placement_queue.kind_of(entry, step),
                job_table.reserved_amount(step),
            )
            of_kind = streams.setdefault(kind, [])
            of_kind.append(iter(sorted(begun.get(step_number, ()))))
            if not step.after:
                of_kind.append(
                    _in_order(entry, number, step_number, not_begun, now_ms)
                )
    found = []
    for of_kind in streams.values():
        # One more shows that there are more than a round considers.
        left = limit + 1
        for ranked in heapq.merge(*of_kind):
            waiting = scheduled[ranked.entry_number].startable_tasks(
                ranked.group, now_s
            )
            if waiting:
                found.append((ranked, waiting))
                left -= 1
                if not left:
                    break
    return found


def _in_order(
    entry: job_entry.JobEntry,
    entry_number: int,
    step: int,
    not_begun: list[int],
    now_ms: int,
) -> Iterator[_Ranked]:
    """Yields a step's occurrences that have not begun, the most urgent first."""

    def ranked(repetition: int) -> _Ranked:
        group = model.GroupKey(entry.job.id, repetition, step)
        return _Ranked(urgency.order(entry, group, now_ms), entry_number, group)

    # The later an occurrence was due, the more urgent is its class.
    end = len(not_begun)
    while end:
        urgent = ranked(not_begun[end - 1]).order[0]
        begin = bisect.bisect_left(
            not_begun,
            -urgent,
            hi=end,
            key=lambda repetition: -ranked(repetition).order[0],
        )
        yield from map(ranked, not_begun[begin:end])
        end = begin
