"""Chooses workers on which suspects run without others that may crash them.

A crash takes a dozen runs with it. If a task that crashes its workers starts
again beside those that only stood there, nobody can tell which one did it. So
a few workers at a time take no other starts until a suspect has outlived its.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisterialug_core.workflow import job_table, worker_table

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_core.schema import workflow_pb2
    from wisterialug_core.workflow import model

# Share of the workers that try suspects at a time.
MAX_TRIAL_SHARE = 0.125


class Trials:
    """Trials of one placement round."""

    def __init__(
        self,
        jobs: job_table.JobTable,
        usable: list[worker_table.Worker],
        queue: Iterable[tuple[model.GroupKey, list[model.Task]]],
    ) -> None:
        """Assigns workers to the suspects among the waiting tasks.

        Args:
          jobs: The jobs.
          usable: Workers that may get runs.
          queue: Waiting tasks that the round considers, by group.
        """
        self._jobs = jobs
        self._unproven_runs: dict[str, list[model.TaskKey]] = {}
        # Job that is tried, by worker.
        self._tried: dict[str, str] = {}
        # Jobs of suspects that have not outlived their start, by worker.
        self._suspects: dict[str, set[str]] = {}
        suspects = jobs.current_suspects()
        for task in suspects:
            if task.active:
                self.note_placed(task.worker, task)
        if any(task.pending for task in suspects):
            waiting: dict[str, list[model.Task]] = {}
            for group, tasks in queue:
                tried = [task for task in tasks if self.applies_to(task)]
                if tried:
                    waiting.setdefault(group.job, []).extend(tried)
            self._assign_all(waiting, usable)

    @property
    def has_suspects(self) -> bool:
        """Returns whether runs of suspects may be about to start anywhere."""
        return bool(self._suspects)

    def applies_to(self, task: model.Task) -> bool:
        """Returns whether a task is to run on a worker without others.

        Members of a gang run side by side, so they are not tried.
        """
        evidence = task.crash_evidence
        return evidence.needs_trial and not self._jobs.step(task.key).gang

    def note_placed(self, worker: str, task: model.Task) -> None:
        """Notes that a run of a suspect may be about to start."""
        self._suspects.setdefault(worker, set()).add(task.key.job)
        if self.applies_to(task):
            self._tried.setdefault(worker, task.key.job)

    def is_closed(self, worker: worker_table.Worker, job: str) -> bool:
        """Returns whether a worker is kept for the trial of another job."""
        return self._tried.get(worker.report.id, job) != job

    def admitted(
        self, workers: Iterable[worker_table.Worker], job: str
    ) -> list[worker_table.Worker]:
        """Returns the workers on which a job can be tried now."""
        return [
            w
            for w in workers
            if self._tried.get(w.report.id) == job
            and all(key.job == job for key in self._unproven(w))
        ]

    def tells_apart(
        self, worker: worker_table.Worker, task: model.Task
    ) -> bool:
        """Returns whether a crash would show if this task or another did it."""
        if self._suspects.get(worker.report.id, set()) - {task.key.job}:
            return False
        return not task.crash_evidence.suspect or not any(
            key.job != task.key.job for key in self._unproven(worker)
        )

    def _accepted_ms(self, job: str) -> tuple[int, str]:
        return self._jobs.jobs[job].job.accepted_ms, job

    def _assign_all(
        self,
        waiting: dict[str, list[model.Task]],
        usable: list[worker_table.Worker],
    ) -> None:
        limit = max(1, int(len(usable) * MAX_TRIAL_SHARE))
        under_way = sum(w.report.id in self._tried for w in usable)
        for job in sorted(waiting, key=self._accepted_ms):
            if under_way >= limit:
                return
            if job not in self._tried.values():
                under_way += self._assign(job, waiting[job], usable)

    def _assign(
        self,
        job: str,
        tasks: Iterable[model.Task],
        usable: list[worker_table.Worker],
    ) -> bool:
        """Keeps the worker for a job on which its trial can begin first.

        Returns:
          Whether there is one.
        """
        entry = self._jobs.jobs[job]
        for task in tasks:
            step = self._jobs.step(task.key)
            options = [
                w
                for w in worker_table.eligible_workers(entry, step, usable)
                if w.report.id not in self._tried
                and w.has_room_after_batch(step, task.group)
            ]
            if options:
                best = min(options, key=lambda w: self._delay(w, step))
                self._tried[best.report.id] = job
                return True
        return False

    def _delay(
        self, worker: worker_table.Worker, step: workflow_pb2.Step
    ) -> tuple[int, bool, int, str]:
        """Rates how soon a trial can begin on a worker; the lowest is best."""
        return (
            len(self._unproven(worker)),
            not worker.has_room(job_table.reserved_amount(step)),
            # Runs that are lost with it.
            worker.reserved.cpu_millicores + worker.fill_millicores,
            worker.report.id,
        )

    def _unproven(self, worker: worker_table.Worker) -> list[model.TaskKey]:
        """Returns the runs that have not outlived their start before the round."""
        name = worker.report.id
        if name not in self._unproven_runs:
            tasks = map(self._jobs.task, worker.runs)
            self._unproven_runs[name] = [
                task.key
                for task in tasks
                if task is not None and not task.crash_evidence.outlived_start
            ]
        return self._unproven_runs[name]
