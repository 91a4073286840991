"""Which waiting task starts next, and on which worker.

Load pattern: more work than workers for seconds, of kinds that differ in size
a hundredfold. What can still be on time goes first; what is late for good
goes last, so that it delays nothing that counts.
"""

from __future__ import annotations

import dataclasses
import heapq
from typing import TYPE_CHECKING

from wisterialug_core.decisions import resources
from wisterialug_core.workflow import interference, job_table, model, urgency

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import worker_table

# A job of fill work that waits for this long with nothing running gets one run
# even where it must be slowed.
STARVED_MS = 1500
# Part of the processors that may be reserved for that; with more, jobs wait
# their turn, so that those in front are done sooner.
SPARE_SHARE = 0.6
# Groups that are looked at in one round; bounds the time of a round.
MAX_GROUPS_A_ROUND = 400


@dataclasses.dataclass(frozen=True)
class Placement:
    """A task to start on a worker."""

    task: model.Task
    worker: worker_table.Worker
    run: int


def plan(
    jobs: job_table.JobTable,
    workers: worker_table.WorkerTable,
    effects: interference.InterferenceModel,
    now_s: float,
    now_ms: int,
    order: urgency.Order = urgency.order,
) -> list[Placement]:
    """Returns the starts that fit now, the most urgent first.

    Room is reserved for what is returned.

    Args:
      jobs: Jobs of the shard.
      workers: Workers of the shard.
      effects: What kinds of work do to each other on one worker.
      now_s: Steady time.
      now_ms: Time of day, in ms since 1970.
      order: Tells how urgent a group is.
    """
    usable = [w for w in workers.workers.values() if w.usable(now_s)]
    if not usable:
        return []
    this_round = _Round(jobs, workers, effects, usable, now_s, now_ms)
    for group, waiting in _queue(jobs, now_s, now_ms, order)[
        :MAX_GROUPS_A_ROUND
    ]:
        this_round.place(group, waiting)
    return this_round.placements


def _queue(
    jobs: job_table.JobTable, now_s: float, now_ms: int, order: urgency.Order
) -> list[tuple[model.GroupKey, list[model.Task]]]:
    """Returns the tasks that wait by group, the most urgent first."""
    queue = []
    for entry in jobs.open_jobs.values():
        if entry.final:
            continue
        for group in entry.ready_groups(now_ms):
            waiting = [
                t
                for t in entry.group(group)
                if t.waits and t.not_before_s <= now_s
            ]
            if waiting:
                queue.append((order(entry, group, now_ms), group, waiting))
    queue.sort(key=lambda item: item[0])
    return [(group, waiting) for _, group, waiting in queue]


class _Round:
    """One round of placing, group by group."""

    def __init__(
        self,
        jobs: job_table.JobTable,
        workers: worker_table.WorkerTable,
        effects: interference.InterferenceModel,
        usable: list[worker_table.Worker],
        now_s: float,
        now_ms: int,
    ) -> None:
        self.placements: list[Placement] = []
        self._jobs = jobs
        self._workers = workers
        self._effects = effects
        self._usable = usable
        self._now_s = now_s
        self._now_ms = now_ms
        self._spare = workers.reserved_share() < SPARE_SHARE
        # Workers on which a lasting task gets what falls free.
        self._kept: set[str] = set()
        # What tasks that fit nowhere any more ask for, by kind of task.
        self._exhausted: dict[tuple, list[resources.Amount]] = {}
        # No worker has more than this of each resource.
        self._most_free = resources.ZERO
        for worker in usable:
            self._most_free = self._most_free.at_least(worker.free())

    def place(self, group: model.GroupKey, waiting: list[model.Task]) -> None:
        """Places as many waiting tasks of a group as there is room for."""
        entry = self._jobs.jobs[group.job]
        step = entry.job.steps[group.step]
        starved = self._is_starved(entry, step)
        if not starved and self._is_exhausted(entry, step):
            return
        candidates = _candidates(entry, step, self._usable)
        if not step.long_running:
            candidates = [
                w for w in candidates if w.report.id not in self._kept
            ]
        if step.gang:
            self.placements += _place_gang(
                entry.group(group),
                step,
                candidates,
                self._jobs,
                self._workers,
                self._effects,
            )
            return
        queue = _Candidates(step, group, candidates, self._effects)
        for task in waiting:
            worker = queue.best()
            if worker is None:
                if step.long_running:
                    _keep_room(step, group, candidates, self._kept)
                elif not step.max_per_worker:
                    self._note_exhausted(entry, step)
                if starved:
                    self._place_strained(task, step, group, candidates)
                return
            starved = False
            self._reserve(task, worker)
            queue.update(worker)

    def _place_strained(
        self,
        task: model.Task,
        step: workflow_pb2.Step,
        group: model.GroupKey,
        candidates: list[worker_table.Worker],
    ) -> None:
        """Places a run that is slowed as far as its neighbours need."""
        worker = _Candidates(
            step, group, candidates, self._effects, any_strain=True
        ).best()
        if worker is not None:
            self._reserve(task, worker)

    def _reserve(self, task: model.Task, worker: worker_table.Worker) -> None:
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

    def _is_exhausted(
        self, entry: job_table.JobEntry, step: workflow_pb2.Step
    ) -> bool:
        """Tells whether a task that asks for no more has found no room."""
        if step.long_running:
            return False
        if not job_table.reserved_amount(step).fits(self._most_free):
            return True
        return any(
            need.fits(_full_amount(step))
            for need in self._exhausted.get(_kind(entry, step), ())
        )

    def _note_exhausted(
        self, entry: job_table.JobEntry, step: workflow_pb2.Step
    ) -> None:
        needs = self._exhausted.setdefault(_kind(entry, step), [])
        needs.append(_full_amount(step))

    def _is_starved(
        self, entry: job_table.JobEntry, step: workflow_pb2.Step
    ) -> bool:
        """Tells whether fill work gets a run though it must be slowed."""
        waited_ms = self._now_ms - entry.job.accepted_ms
        return (
            self._spare
            and step.fills
            and not entry.active
            and waited_ms > STARVED_MS
        )


def can_place(
    entry: job_table.JobEntry,
    group: model.GroupKey,
    workers: worker_table.WorkerTable,
    effects: interference.InterferenceModel,
    now_s: float,
) -> bool:
    """Tells whether one more task of a group would disturb nobody."""
    step = entry.job.steps[group.step]
    usable = [w for w in workers.workers.values() if w.usable(now_s)]
    candidates = _candidates(entry, step, usable)
    return _Candidates(step, group, candidates, effects).best() is not None


def _full_amount(step: workflow_pb2.Step) -> resources.Amount:
    """Returns what a task would use, with left-over processor time."""
    return resources.Amount(
        step.cpu_millicores, step.memory_mib, step.accelerators
    )


def _kind(entry: job_table.JobEntry, step: workflow_pb2.Step) -> tuple:
    """Returns what else than amounts decides on which workers tasks fit."""
    image = step.image if step.fills else ""
    return (
        entry.job.policy.service,
        step.required_label,
        step.fills,
        image,
    )


def _candidates(
    entry: job_table.JobEntry,
    step: workflow_pb2.Step,
    usable: list[worker_table.Worker],
) -> list[worker_table.Worker]:
    """Returns the workers that may run a step at all."""
    return [
        w
        for w in usable
        if w.report.service == entry.job.policy.service
        and (not step.required_label or step.required_label in w.report.labels)
    ]


def _keep_room(
    step: workflow_pb2.Step,
    group: model.GroupKey,
    candidates: list[worker_table.Worker],
    kept: set[str],
) -> None:
    """Keeps the worker on which a lasting task will fit first.

    Short tasks would else fill each gap as it comes, and a lasting one, which
    is larger, would wait for as long as they are many.
    """
    need = job_table.reserved_amount(step)
    options = [
        w
        for w in candidates
        if w.report.id not in kept
        and need.fits(w.free_but_for_batch())
        and not (
            step.max_per_worker
            and w.step_counts.get(group, 0) >= step.max_per_worker
        )
    ]
    if options:
        best = max(options, key=lambda w: w.free().cpu_millicores)
        kept.add(best.report.id)


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
    effects: interference.InterferenceModel,
) -> list[Placement]:
    """Starts all members of a gang at once, or none."""
    if any(t.active for t in tasks):
        return []
    group = model.GroupKey(*tasks[0].key[:3])
    racks = {w.rack for w in candidates}
    pools = [[w for w in candidates if w.rack == rack] for rack in racks]
    pools.sort(key=lambda pool: -sum(w.free().cpu_millicores for w in pool))
    run = max(t.run for t in tasks) + 1
    for pool in pools if step.same_rack else [candidates]:
        placements: list[Placement] = []
        queue = _Candidates(step, group, pool, effects)
        for task in tasks:
            worker = queue.best()
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


class _Candidates:
    """Workers for tasks of one group, the best first.

    A placement changes one worker's rating only, so that the others are rated
    once for all tasks of the group.
    """

    def __init__(
        self,
        step: workflow_pb2.Step,
        group: model.GroupKey,
        workers: Iterable[worker_table.Worker],
        effects: interference.InterferenceModel,
        *,
        any_strain: bool = False,
    ) -> None:
        self._step = step
        self._group = group
        self._need = job_table.reserved_amount(step)
        self._effects = effects
        self._any_strain = any_strain
        self._heap: list[tuple[tuple, int, worker_table.Worker]] = []
        for number, worker in enumerate(workers):
            score = self._rate(worker)
            if score is not None:
                self._heap.append((score, number, worker))
        heapq.heapify(self._heap)

    def best(self) -> worker_table.Worker | None:
        """Returns the worker that suits one more task best."""
        return self._heap[0][2] if self._heap else None

    def update(self, worker: worker_table.Worker) -> None:
        """Rates the best worker again after a task was placed there."""
        _, number, _ = heapq.heappop(self._heap)
        score = self._rate(worker)
        if score is not None:
            heapq.heappush(self._heap, (score, number, worker))

    def _rate(self, worker: worker_table.Worker) -> tuple | None:
        """Rates a worker, the lowest best; None if a task does not fit."""
        step = self._step
        if not worker.has_room(self._need):
            return None
        if (
            step.max_per_worker
            and worker.step_counts.get(self._group, 0) >= step.max_per_worker
        ):
            return None
        if not step.fills:
            return _score(step, worker)
        # Before the first figures, how much room there is isn't known.
        if not self._any_strain and worker.unknown_serving():
            return None
        room = worker.fill_room_millicores()
        if not self._any_strain and room < step.cpu_millicores:
            return None
        part = self._effects.feasible_pace(
            worker.samples,
            worker.fill_shares,
            step.image,
            worker.cpu_share(step),
        )
        if not self._any_strain and part < interference.MIN_START_PACE:
            return None
        return _fill_score(step, worker, part)


def _fill_score(
    step: workflow_pb2.Step, worker: worker_table.Worker, part: float
) -> tuple[bool, float, bool, int]:
    """Rates a worker for fill work; the lowest is best.

    Workers without serving tasks are left to work that disturbs others.
    """
    far = bool(step.data_rack) and step.data_rack != worker.rack
    return far, -part, not worker.serving, -worker.fill_room_millicores()


def _score(
    step: workflow_pb2.Step, worker: worker_table.Worker
) -> tuple[bool, int, int]:
    """Rates a worker for a task; the lowest is best.

    Tasks that serve users share workers, so that the others are left to work
    that would disturb them.
    """
    far = bool(step.data_rack) and step.data_rack != worker.rack
    left = worker.free().cpu_millicores - step.cpu_millicores
    if step.long_running:
        # Workers with one kind of serving task suit more kinds of fill work.
        others = sum(worker.serving.values()) - worker.serving[step.image]
        return far, others, left
    return far, 0, left - worker.fill_millicores
