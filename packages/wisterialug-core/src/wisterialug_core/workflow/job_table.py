"""Jobs of one shard, with the changes that are not durable yet."""

from __future__ import annotations

from wisterialug_core.decisions import resources
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import (
    changed_jobs,
    crash_evidence,
    job_entry,
    model,
    record_pages,
    run_proofs,
    run_times,
)

# Dropped job ids that are kept; their rows may be read for some more seconds.
MAX_DROPPED = 10_000
# Cancelled job ids of other shards that are kept: a loan may be read after the
# cancellation of its job, seconds later where a VM was partitioned.
MAX_CANCELLED_ELSEWHERE = 10_000


def reserved_amount(step: workflow_pb2.Step) -> resources.Amount:
    """Returns what one task of a step reserves on its worker.

    Fill tasks run in spare processor time, so they reserve no processor.
    """
    return resources.Amount(
        0 if step.fills else step.cpu_millicores,
        step.memory_mib,
        step.accelerators,
    )


class JobTable:
    """Jobs of a shard, with the changes that are not durable yet.

    Attributes:
      jobs: Jobs by id; ended ones stay until their retention ends.
      dirty: Jobs whose record in the store is out of date.
      suspects: Tasks under which workers have crashed, until they are cleared.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, job_entry.JobEntry] = {}
        self.dirty = changed_jobs.ChangedJobs()
        self.suspects: dict[model.TaskKey, model.Task] = {}
        self.open_jobs: dict[str, job_entry.JobEntry] = {}
        # Ids of recently dropped jobs, oldest first.
        self._dropped: dict[str, None] = {}
        self._cancelled_elsewhere: dict[str, None] = {}

    def add(self, job: workflow_pb2.Job) -> job_entry.JobEntry | None:
        """Adds a job unless it is known already.

        Returns:
          The job's entry, or None if the job was dropped: its row may still be
          read for a moment.
        """
        entry = self.jobs.get(job.id)
        if entry is None and job.id in self._dropped:
            return None
        if entry is None:
            entry = self._insert(job_entry.JobEntry(job))
        return entry

    def add_borrowed(self, job: workflow_pb2.Job) -> job_entry.JobEntry | None:
        """Adds a job of another shard that lends tasks to this one."""
        entry = self.jobs.get(job.id)
        if entry is None and (
            job.id in self._dropped or job.id in self._cancelled_elsewhere
        ):
            return None
        if entry is None:
            entry = self._insert(job_entry.JobEntry(job, home=False))
        return entry

    def _insert(self, entry: job_entry.JobEntry) -> job_entry.JobEntry:
        self.jobs[entry.job.id] = entry
        self.open_jobs[entry.job.id] = entry
        return entry

    def restore(
        self,
        entry: job_entry.JobEntry,
        progress: workflow_pb2.Progress,
        page: int = 0,
    ) -> list[model.Task]:
        """Restores a page of a job's record, the first one first.

        Returns:
          Tasks with a run that may be active.
        """
        if not page:
            entry.state = progress.state
            entry.ended_ms = progress.ended_ms
        active = []
        for record in progress.tasks:
            key = model.GroupKey(entry.job.id, record.repetition, record.step)
            task = entry.group(key)[record.index]
            task.run = record.run
            task.failures = record.failures
            task.checkpoint = record.checkpoint
            task.lent_to = record.lent_to
            task.loans = record.loans
            task.last_run_end_ms = record.last_run_end_ms
            self.restore_evidence(task, record)
            if record.done:
                task.done = True
                entry.note_done(key)
            elif record.worker:
                task.worker = record.worker
                task.phase = model.Phase.ADOPTED
                task.orders = run_proofs.StartOrders(earlier_epoch=True)
                entry.active += 1
                active.append(task)
        if entry.final:
            if entry.active:
                self.open_jobs[entry.job.id] = entry
            else:
                self.open_jobs.pop(entry.job.id, None)
        return active

    def drop(self, job: str) -> None:
        """Removes a job whose retention has ended."""
        self.jobs.pop(job, None)
        self.open_jobs.pop(job, None)
        self.dirty.discard(job)
        self._dropped[job] = None
        if len(self._dropped) > MAX_DROPPED:
            del self._dropped[next(iter(self._dropped))]

    def task(self, key: model.TaskKey) -> model.Task | None:
        """Returns a task, or None if it does not exist."""
        entry = self.jobs.get(key.job)
        if entry is None or not entry.has_group(key.repetition, key.step):
            return None
        tasks = entry.group(model.GroupKey(*key[:3]))
        return tasks[key.index] if 0 <= key.index < len(tasks) else None

    def page_of(self, task: model.Task) -> record_pages.RecordPage:
        """Returns the page that holds a task's record."""
        pages = self.jobs[task.key.job].pages
        return record_pages.RecordPage(task.key.job, pages.of(task.key))

    def step(self, key: model.TaskKey | model.GroupKey) -> workflow_pb2.Step:
        """Returns the step of a task."""
        return self.jobs[key.job].job.steps[key.step]

    def start(
        self, task: model.Task, worker: str, run: int, now_s: float
    ) -> None:
        """Records the start of a run."""
        task.begin_run(worker, run, now_s)
        self.jobs[task.key.job].active += 1
        self.dirty.add(task.key.job)

    def move_run(self, task: model.Task, worker: str) -> None:
        """Records that an active run may be on its worker's next incarnation.

        Orders for it are rejected once that one has answered, but not by the
        one after that.
        """
        task.worker = worker
        task.phase = model.Phase.ADOPTED
        task.track = run_times.ProgressTrack()
        task.orders = task.orders.for_next_incarnation()
        self.dirty.add(task.key.job)

    def mark_running(self, task: model.Task) -> bool:
        """Marks the task's job as running: a worker has begun a run.

        Returns:
          Whether the job was queued before.
        """
        entry = self.jobs[task.key.job]
        if entry.state != workflow_pb2.JOB_QUEUED:
            return False
        entry.state = workflow_pb2.JOB_RUNNING
        self.dirty.add(task.key.job)
        return True

    def end(
        self, task: model.Task, end: model.RunEnd, checkpoint: str, now_ms: int
    ) -> None:
        """Records the end of a task's active run; may end its job."""
        entry = self.jobs[task.key.job]
        step = entry.job.steps[task.key.step]
        if end is model.RunEnd.FAILED:
            task.failed_on = (*task.failed_on, task.worker)
        task.worker = ""
        task.note_run_end(end, now_ms)
        entry.active -= 1
        if checkpoint:
            task.checkpoint = checkpoint
        self.dirty.add(task.key.job)
        if end in {model.RunEnd.DONE, model.RunEnd.FAILED}:
            task.crash_evidence.note_end()
        if end is model.RunEnd.DONE and not step.long_running:
            self._mark_done(entry, task)
        elif end is model.RunEnd.FAILED and not step.long_running:
            task.failures += 1
            if task.failures >= entry.job.policy.max_attempts:
                self._finish(entry, workflow_pb2.JOB_FAILED, now_ms)
        self.close_if_ended(entry, now_ms)

    def note_crash(
        self, tasks: list[model.Task], *, ambiguous: bool = False
    ) -> None:
        """Records that a worker has crashed under active runs."""
        crash_evidence.record_crash(
            [(task.key.job, task.crash_evidence) for task in tasks],
            ambiguous=ambiguous,
        )
        self.add_suspects(tasks)

    def add_suspects(self, tasks: list[model.Task]) -> None:
        """Notes tasks that may have crashed a worker."""
        for task in tasks:
            self.suspects[task.key] = task
            self.dirty.add(task.key.job)

    def restore_evidence(
        self, task: model.Task, record: workflow_pb2.TaskRecord
    ) -> None:
        """Takes over what is recorded of crashes under a task."""
        task.crash_evidence.restore(record)
        if task.crash_evidence.suspect:
            self.suspects[task.key] = task

    def current_suspects(self) -> list[model.Task]:
        """Returns the tasks whose next start may crash a worker."""
        if self.suspects:
            self.suspects = {
                key: task
                for key, task in self.suspects.items()
                if task.crash_evidence.suspect
                and not task.done
                and key.job in self.open_jobs
            }
        return list(self.suspects.values())

    def give_up(self, task: model.Task, now_ms: int) -> bool:
        """Ends the job of a task that crashes workers; False if it had ended."""
        entry = self.jobs[task.key.job]
        if entry.final:
            return False
        self._finish(entry, workflow_pb2.JOB_FAILED, now_ms)
        self.close_if_ended(entry, now_ms)
        return True

    def complete_given_up(
        self, task: model.Task, run: int, now_ms: int
    ) -> bool:
        """Marks a task done whose run was given up, but was done before.

        Returns:
          Whether the task was still waiting for its next run.
        """
        entry = self.jobs[task.key.job]
        group = entry.group(model.GroupKey(*task.key[:3]))
        step = entry.job.steps[task.key.step]
        members = group if step.gang else [task]
        if (
            entry.final
            or step.long_running
            or task.run != run
            or not all(member.pending for member in members)
        ):
            return False
        self.mark_running(task)
        self.dirty.add(task.key.job)
        self._mark_done(entry, task)
        self.close_if_ended(entry, now_ms)
        return True

    def add_result(
        self,
        task: model.Task,
        record: workflow_pb2.TaskRecord,
        now_ms: int,
        *,
        begun: bool,
    ) -> None:
        """Records what another shard reports of a lent task.

        Args:
          task: The task.
          record: Its record there.
          now_ms: Unix time.
          begun: A run of the job has begun there; it may be another task's.
        """
        entry = self.jobs[task.key.job]
        task.run = max(task.run, record.run)
        task.failures = max(task.failures, record.failures)
        task.checkpoint = record.checkpoint
        task.last_run_end_ms = record.last_run_end_ms
        self.restore_evidence(task, record)
        self.dirty.add(task.key.job)
        if begun or record.done or record.failures:
            self.mark_running(task)
        if record.done:
            self._mark_done(entry, task)
        elif (
            record.failures >= entry.job.policy.max_attempts
            or task.crash_evidence.guilty
        ):
            self._finish(entry, workflow_pb2.JOB_FAILED, now_ms)
        elif record.lent_to:
            task.lent_to = ""
        self.close_if_ended(entry, now_ms)

    def close_if_ended(self, entry: job_entry.JobEntry, now_ms: int) -> None:
        """Ends a job that has no task left, here or at all."""
        if not entry.final and entry.all_done():
            self._finish(entry, workflow_pb2.JOB_COMPLETED, now_ms)
        if entry.home:
            ended = entry.final and not entry.active
        else:
            ended = not entry.active and (
                entry.final or not entry.has_open_tasks()
            )
            if ended and not entry.final:
                entry.ended_ms = now_ms
        if ended:
            self.open_jobs.pop(entry.job.id, None)

    def reopen(self, entry: job_entry.JobEntry) -> None:
        """Opens a borrowed job that has got more tasks to run."""
        entry.ended_ms = 0
        self.open_jobs[entry.job.id] = entry
        self.dirty.add(entry.job.id)

    def cancel(self, job: str, now_ms: int) -> bool:
        """Cancels a job; returns whether that changed its state."""
        entry = self.jobs.get(job)
        if entry is None:
            self._cancelled_elsewhere[job] = None
            if len(self._cancelled_elsewhere) > MAX_CANCELLED_ELSEWHERE:
                oldest = next(iter(self._cancelled_elsewhere))
                del self._cancelled_elsewhere[oldest]
            return False
        # Set for ended jobs too, so that the cancel row is removed with them.
        entry.cancelled = True
        if entry.final:
            return False
        self._finish(entry, workflow_pb2.JOB_CANCELLED, now_ms)
        if not entry.active:
            self.open_jobs.pop(job, None)
        return True

    def waiting_by_route(self) -> dict[str, int]:
        """Counts the queued jobs of each route."""
        counts: dict[str, int] = {}
        for entry in self.open_jobs.values():
            if entry.home and entry.state == workflow_pb2.JOB_QUEUED:
                counts[entry.job.route] = counts.get(entry.job.route, 0) + 1
        return counts

    def waiting_long_running(self, now_ms: int) -> list[model.Task]:
        """Returns the ready long-running tasks that wait.

        Gangs are left out: their tasks are not lent one by one.
        """
        waiting = []
        for entry in self.open_jobs.values():
            if entry.final or not any(s.long_running for s in entry.job.steps):
                continue
            for group in entry.ready_groups(now_ms):
                step = entry.job.steps[group.step]
                if step.long_running and not (step.gang or entry.unrecorded):
                    waiting += [t for t in entry.group(group) if t.may_start]
        return waiting

    def waiting_long_running_millicores(self, now_ms: int) -> int:
        """Returns the processor time that waiting long-running tasks need."""
        return sum(
            self.step(task.key).cpu_millicores
            for task in self.waiting_long_running(now_ms)
        )

    def _mark_done(self, entry: job_entry.JobEntry, task: model.Task) -> None:
        step = entry.job.steps[task.key.step]
        key = model.GroupKey(*task.key[:3])
        # The end of one member ends the whole gang.
        tasks = entry.group(key) if step.gang else [task]
        for member in tasks:
            if not member.done:
                member.done = True
                entry.note_done(key)

    def _finish(
        self, entry: job_entry.JobEntry, state: int, now_ms: int
    ) -> None:
        entry.state = state
        entry.ended_ms = now_ms
        self.dirty.add(entry.job.id)
