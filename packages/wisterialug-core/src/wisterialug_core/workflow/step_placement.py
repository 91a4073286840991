"""Placement of waiting tasks on workers.

The work may exceed the workers' capacity for seconds, with tasks that differ in
size a hundredfold. Tasks that can still be on time go first; those too late to
be of use go last, so that they delay no others.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from wisterialug_core.decisions import resources
from wisterialug_core.workflow import (
    crash_trials,
    fill_interference,
    finite_first,
    job_table,
    model,
    urgency,
    worker_rating,
)

if TYPE_CHECKING:
    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import job_entry, worker_table

# A fill job that waits for this long with nothing running gets one run even if
# that must be throttled.
STARVED_MS = 1500
# Reserved share of the processors below which that applies; above it, jobs wait
# their turn, so that those before them are done sooner.
STARVED_RESERVED_LIMIT = 0.6
# Groups that one round considers; bounds its duration.
MAX_GROUPS_PER_ROUND = 400


@dataclasses.dataclass(frozen=True)
class Placement:
    """A task to start on a worker."""

    task: model.Task
    worker: worker_table.Worker
    run: int


def plan(
    jobs: job_table.JobTable,
    workers: worker_table.WorkerTable,
    interference: fill_interference.InterferenceModel,
    now_s: float,
    now_ms: int,
    order: urgency.Order = urgency.order,
) -> list[Placement]:
    """Returns the starts that fit now, the most urgent first.

    Resources are reserved for the returned starts. `now_s` is monotonic time,
    `now_ms` Unix time; `order` returns the sort key of a group.
    """
    usable = [w for w in workers.workers.values() if w.usable(now_s)]
    if not usable:
        return []
    queue = pending_groups(jobs, now_s, now_ms, order)[:MAX_GROUPS_PER_ROUND]
    trials = crash_trials.Trials(jobs, usable, queue)
    this_round = _Round(
        jobs, workers, interference, usable, trials, now_s, now_ms
    )
    for group, waiting in finite_first.select(queue, jobs, usable, now_ms):
        this_round.place(group, waiting, first=True)
    for group, waiting in queue:
        left = [task for task in waiting if task.pending]
        if left:
            this_round.place(group, left)
    return this_round.placements


def pending_groups(
    jobs: job_table.JobTable,
    now_s: float,
    now_ms: int,
    order: urgency.Order = urgency.order,
) -> list[tuple[model.GroupKey, list[model.Task]]]:
    """Returns the pending tasks by group, the most urgent first."""
    queue = []
    for entry in jobs.open_jobs.values():
        if entry.final:
            continue
        for group in entry.ready_groups(now_ms):
            waiting = [
                t
                for t in entry.group(group)
                if t.pending and t.not_before_s <= now_s
            ]
            if waiting:
                queue.append((order(entry, group, now_ms), group, waiting))
    queue.sort(key=lambda item: item[0])
    return [(group, waiting) for _, group, waiting in queue]


class _Round:
    """One placement round, group by group."""

    def __init__(
        self,
        jobs: job_table.JobTable,
        workers: worker_table.WorkerTable,
        interference: fill_interference.InterferenceModel,
        usable: list[worker_table.Worker],
        trials: crash_trials.Trials,
        now_s: float,
        now_ms: int,
    ) -> None:
        self.placements: list[Placement] = []
        self._jobs = jobs
        self._workers = workers
        self._fill_rooms = worker_rating.FillRooms(interference)
        self._usable = usable
        self._now_s = now_s
        self._now_ms = now_ms
        self._trials = trials
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
    ) -> None:
        """Places as many waiting tasks of a group as fit.

        Args:
          group: The group.
          waiting: Its tasks.
          first: Whether they go before long-running tasks.
        """
        entry = self._jobs.jobs[group.job]
        step = entry.job.steps[group.step]
        waiting = self._place_tried(group, waiting)
        starved = self._is_starved(entry, step)
        if not waiting or (not starved and self._is_exhausted(entry, step)):
            return
        candidates = worker_rating.eligible_workers(entry, step, self._usable)
        candidates = [
            w for w in candidates if not self._trials.is_closed(w, group.job)
        ]
        if not step.long_running:
            candidates = [
                w for w in candidates if w.report.id not in self._held
            ]
        if not (first or step.fills):
            candidates = [w for w in candidates if not self._is_kept(w, step)]
        if step.gang:
            self.placements += _place_gang(
                entry.group(group),
                step,
                candidates,
                self._jobs,
                self._workers,
                self._fill_rooms,
            )
            return
        queue = worker_rating.Candidates(
            step, group, candidates, self._fill_rooms, trials=self._trials
        )
        for task in waiting:
            worker = queue.best(task)
            if worker is None:
                if step.long_running:
                    _hold_worker(step, group, candidates, self._held)
                elif not step.max_per_worker:
                    self._note_exhausted(entry, step)
                if starved:
                    self._place_throttled(task, step, group, candidates)
                return
            starved = False
            self._reserve(task, worker)
            queue.update(worker)

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
        workers = worker_rating.eligible_workers(entry, step, workers)
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
            _reserve(
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
    candidates = worker_rating.eligible_workers(entry, step, usable)
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


def _hold_worker(
    step: workflow_pb2.Step,
    group: model.GroupKey,
    candidates: list[worker_table.Worker],
    held: set[str],
) -> None:
    """Holds the worker on which a long-running task will fit first.

    Otherwise many short tasks would fill each gap as it opens and starve the
    larger long-running task.
    """
    need = job_table.reserved_amount(step)
    options = [
        w
        for w in candidates
        if w.report.id not in held
        and need.fits(w.free_after_batch())
        and not (
            step.max_per_worker
            and w.step_counts.get(group, 0) >= step.max_per_worker
        )
    ]
    if options:
        best = max(options, key=lambda w: w.free().cpu_millicores)
        held.add(best.report.id)


def _reserve(
    task: model.Task,
    worker: worker_table.Worker,
    run: int,
    jobs: job_table.JobTable,
    workers: worker_table.WorkerTable,
    now_s: float,
) -> Placement:
    jobs.start(task, worker.report.id, run, now_s)
    workers.reserve(task, jobs.step(task.key))
    return Placement(task, worker, run)


def _place_gang(
    tasks: list[model.Task],
    step: workflow_pb2.Step,
    candidates: list[worker_table.Worker],
    jobs: job_table.JobTable,
    workers: worker_table.WorkerTable,
    fill_rooms: worker_rating.FillRooms,
) -> list[Placement]:
    """Places all members of a gang, or none."""
    if any(t.active for t in tasks):
        return []
    group = model.GroupKey(*tasks[0].key[:3])
    racks = {w.rack for w in candidates}
    pools = [[w for w in candidates if w.rack == rack] for rack in racks]
    pools.sort(key=lambda pool: -sum(w.free().cpu_millicores for w in pool))
    run = max(t.run for t in tasks) + 1
    for pool in pools if step.same_rack else [candidates]:
        placements: list[Placement] = []
        queue = worker_rating.Candidates(step, group, pool, fill_rooms)
        for task in tasks:
            worker = queue.best(task)
            if worker is None:
                break
            placements.append(
                _reserve(task, worker, run, jobs, workers, task.phase_since_s)
            )
            queue.update(worker)
        if len(placements) == len(tasks):
            return placements
        for placement in placements:
            task = placement.task
            workers.release(task, task.worker, step)
            jobs.jobs[task.key.job].active -= 1
            task.worker = ""
            task.run = run - 1
    return []
