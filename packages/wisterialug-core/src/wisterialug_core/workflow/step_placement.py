"""Placement of waiting tasks on workers.

The work may exceed the workers' capacity for seconds, with tasks that differ in
size a hundredfold. Tasks that can still be on time go first; those too late to
be of use go last, so that they delay no others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.decisions import resources
from wisterialug_core.workflow import (
    crash_trials,
    fill_interference,
    finite_first,
    gang_placement,
    job_table,
    model,
    overdue_first,
    placement_queue,
    placement_wait,
    task_placement,
    urgency,
    waiting_groups,
    worker_rating,
    worker_table,
)

if TYPE_CHECKING:
    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import job_entry

# A fill job that waits for this long with nothing running gets one run even if
# that must be throttled.
STARVED_MS = 1500
# Reserved share of the processors below which that applies; above it, jobs wait
# their turn, so that those before them are done sooner.
STARVED_RESERVED_LIMIT = 0.6


def plan(
    jobs: job_table.JobTable,
    workers: worker_table.WorkerTable,
    interference: fill_interference.InterferenceModel,
    now_s: float,
    now_ms: int,
    order: urgency.Order = urgency.order,
    waits: placement_wait.Waits | None = None,
) -> list[task_placement.Placement]:
    """Returns the starts that fit now, the most urgent first.

    Resources are reserved for the returned starts.

    Args:
      jobs: The shard's jobs.
      workers: The shard's workers.
      interference: What is known of interference.
      now_s: Monotonic time.
      now_ms: Unix time.
      order: Returns the sort key of a group.
      waits: Waits for better places so far; without it, nothing waits.
    """
    usable = [w for w in workers.workers.values() if w.usable(now_s)]
    if not usable:
        if waits is not None:
            waits.release()
        return []
    for worker in usable:
        worker.health.update_slow(now_s)
    queue = waiting_groups.pending_groups(jobs, now_s, now_ms, order)
    queue = placement_queue.placeable(queue, jobs, usable)
    trials = crash_trials.Trials(jobs, usable, queue)
    wait_round = placement_wait.WaitRound(
        waits or placement_wait.Waits(), jobs, workers, usable, now_s, now_ms
    )
    this_round = _Round(
        jobs, workers, interference, usable, trials, wait_round, now_s, now_ms
    )
    this_round.place_overdue(overdue_first.select(queue, jobs, now_ms))
    for group, waiting in finite_first.select(queue, jobs, usable, now_ms):
        this_round.place(group, waiting, first=True)
    for group, waiting in queue:
        left = [task for task in waiting if task.pending]
        if left:
            this_round.place(group, left)
    wait_round.close(this_round.placements)
    return this_round.placements


class _Round:
    """One placement round, group by group."""

    def __init__(
        self,
        jobs: job_table.JobTable,
        workers: worker_table.WorkerTable,
        interference: fill_interference.InterferenceModel,
        usable: list[worker_table.Worker],
        trials: crash_trials.Trials,
        waits: placement_wait.WaitRound,
        now_s: float,
        now_ms: int,
    ) -> None:
        self.placements: list[task_placement.Placement] = []
        self._jobs = jobs
        self._workers = workers
        self._fill_rooms = worker_rating.FillRooms(interference)
        self._usable = usable
        self._now_s = now_s
        self._now_ms = now_ms
        self._trials = trials
        self._waits = waits
        self._has_spare = workers.reserved_share() < STARVED_RESERVED_LIMIT
        # Workers held for long-running tasks, which get what becomes free.
        self._held: set[str] = set()
        # Amounts that fit on no worker any more, by kind of task.
        self._exhausted: dict[tuple, list[resources.Amount]] = {}
        # No worker has more than this of each resource.
        self._most_free = resources.ZERO
        for worker in usable:
            self._most_free = self._most_free.at_least(worker.free())

    def place(
        self,
        group: model.GroupKey,
        waiting: list[model.Task],
        *,
        first: bool = False,
        holds: bool = True,
    ) -> None:
        """Places as many waiting tasks of a group as fit.

        Args:
          group: The group.
          waiting: Its tasks.
          first: Whether they go before long-running tasks.
          holds: Whether a worker is held for one that does not fit.
        """
        entry = self._jobs.jobs[group.job]
        step = entry.job.steps[group.step]
        waiting = self._place_tried(group, waiting)
        starved = self._is_starved(entry, step)
        if not waiting:
            return
        if not starved and self._is_exhausted(entry, step):
            if self._waits.applies_to(step) and not step.gang:
                on_rack = self._waits.on_rack(step.data_rack)
                near = self._candidates(entry, step, on_rack, first=first)
                self._wait_near(waiting, near)
            return
        candidates = self._candidates(entry, step, self._usable, first=first)
        if step.gang:
            self.placements += gang_placement.place(
                entry.group(group),
                candidates,
                self._waits,
                self._jobs,
                self._workers,
                self._fill_rooms,
                self._now_s,
            )
            return
        near = [w for w in candidates if w.rack == step.data_rack]
        queue = worker_rating.Candidates(
            step, group, candidates, self._fill_rooms, trials=self._trials
        )
        for number, task in enumerate(waiting):
            worker = queue.best(task)
            if worker is None:
                if step.long_running:
                    if holds:
                        self._hold_worker(step, group, candidates)
                elif not step.max_per_worker:
                    self._note_exhausted(entry, step)
                if starved:
                    self._place_throttled(task, step, group, candidates)
                elif self._waits.applies_to(step):
                    self._wait_near(waiting[number:], near)
                return
            if (
                self._waits.applies_to(step)
                and worker.rack != step.data_rack
                and self._waits.task_waits(task, near, elsewhere=True)
            ):
                continue
            starved = False
            self._reserve(task, worker)
            queue.update(worker)

    def place_overdue(
        self, overdue: list[tuple[model.GroupKey, model.Task]]
    ) -> None:
        """Places as many long-running tasks as fit, in this order."""
        full: set[model.GroupKey] = set()
        for group, task in overdue:
            if group not in full:
                self.place(group, [task], holds=False)
                if task.pending:
                    full.add(group)

    def _hold_worker(
        self,
        step: workflow_pb2.Step,
        group: model.GroupKey,
        candidates: list[worker_table.Worker],
    ) -> None:
        """Holds the worker on which a long-running task will fit first."""
        left = [w for w in candidates if w.report.id not in self._held]
        worker = worker_rating.next_to_fit(step, group, left)
        if worker is not None:
            self._held.add(worker.report.id)

    def _candidates(
        self,
        entry: job_entry.JobEntry,
        step: workflow_pb2.Step,
        workers: list[worker_table.Worker],
        *,
        first: bool,
    ) -> list[worker_table.Worker]:
        """Returns those of the workers that may run tasks of a step now."""
        candidates = worker_table.eligible_workers(entry, step, workers)
        job = entry.job.id
        candidates = [
            w for w in candidates if not self._trials.is_closed(w, job)
        ]
        if not step.long_running:
            candidates = [
                w for w in candidates if w.report.id not in self._held
            ]
        if not (first or step.fills):
            candidates = [w for w in candidates if not self._is_kept(w, step)]
        return candidates

    def _wait_near(
        self, waiting: list[model.Task], near: list[worker_table.Worker]
    ) -> None:
        """Notes which tasks stay for a near place: no worker has room now."""
        for task in waiting:
            if not self._waits.task_waits(task, near, elsewhere=False):
                return

    def _place_tried(
        self, group: model.GroupKey, waiting: list[model.Task]
    ) -> list[model.Task]:
        """Places suspects where they are tried; returns the other tasks."""
        tried = [task for task in waiting if self._trials.applies_to(task)]
        if not tried:
            return waiting
        entry = self._jobs.jobs[group.job]
        step = entry.job.steps[group.step]
        workers = self._trials.admitted(self._usable, group.job)
        workers = worker_table.eligible_workers(entry, step, workers)
        queue = worker_rating.Candidates(
            step, group, workers, self._fill_rooms, throttled=step.fills
        )
        for task in tried:
            worker = queue.best()
            if worker is None:
                break
            self._reserve(task, worker)
            queue.update(worker)
        return [t for t in waiting if not self._trials.applies_to(t)]

    def _place_throttled(
        self,
        task: model.Task,
        step: workflow_pb2.Step,
        group: model.GroupKey,
        candidates: list[worker_table.Worker],
    ) -> None:
        """Places a run that is throttled to protect serving tasks."""
        worker = worker_rating.Candidates(
            step, group, candidates, self._fill_rooms, throttled=True
        ).best()
        if worker is not None:
            self._reserve(task, worker)

    def _reserve(self, task: model.Task, worker: worker_table.Worker) -> None:
        if task.crash_evidence.suspect:
            self._trials.note_placed(worker.report.id, task)
        self.placements.append(
            task_placement.reserve(
                task,
                worker,
                task.run + 1,
                self._jobs,
                self._workers,
                self._now_s,
            )
        )

    def _is_kept(
        self, worker: worker_table.Worker, step: workflow_pb2.Step
    ) -> bool:
        """Returns whether a worker's room is kept for tasks that go first.

        Room for two is never kept from a long-running task.
        """
        if self._now_s >= worker.kept_until_s:
            return False
        return not (
            step.long_running
            and worker.free().cpu_millicores >= 2 * step.cpu_millicores
        )

    def _is_exhausted(
        self, entry: job_entry.JobEntry, step: workflow_pb2.Step
    ) -> bool:
        """Returns whether a similar task that needs no more did not fit."""
        if step.long_running:
            return False
        if not job_table.reserved_amount(step).fits(self._most_free):
            return True
        return any(
            need.fits(_full_amount(step))
            for need in self._exhausted.get(_kind(entry, step), ())
        )

    def _note_exhausted(
        self, entry: job_entry.JobEntry, step: workflow_pb2.Step
    ) -> None:
        needs = self._exhausted.setdefault(_kind(entry, step), [])
        needs.append(_full_amount(step))

    def _is_starved(
        self, entry: job_entry.JobEntry, step: workflow_pb2.Step
    ) -> bool:
        """Returns whether a fill job gets a run even if throttled."""
        waited_ms = self._now_ms - entry.job.accepted_ms
        return (
            self._has_spare
            and step.fills
            and not entry.active
            and waited_ms > STARVED_MS
        )


def can_move(
    entry: job_entry.JobEntry,
    task: model.Task,
    workers: worker_table.WorkerTable,
    interference: fill_interference.InterferenceModel,
    now_s: float,
) -> bool:
    """Returns whether a task fits on another worker at a useful pace."""
    step = entry.job.steps[task.key.step]
    usable = [
        w
        for w in workers.workers.values()
        if w.usable(now_s) and w.report.id != task.worker
    ]
    candidates = worker_table.eligible_workers(entry, step, usable)
    fill_rooms = worker_rating.FillRooms(interference)
    return (
        worker_rating.Candidates(
            step, task.group, candidates, fill_rooms
        ).best()
        is not None
    )


def _full_amount(step: workflow_pb2.Step) -> resources.Amount:
    """Returns what a task would use, spare processor time included."""
    return resources.Amount(
        step.cpu_millicores, step.memory_mib, step.accelerators
    )


def _kind(entry: job_entry.JobEntry, step: workflow_pb2.Step) -> tuple:
    """Returns what decides, apart from amounts, where tasks fit."""
    image = step.image if step.fills else ""
    return (
        entry.job.policy.service,
        step.required_label,
        step.fills,
        image,
    )
