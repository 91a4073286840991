"""Stateful fuzzing of the scheduler against an oracle of its guarantees.

Workers are models that log their runs.  Messages are lost, delayed,
duplicated and reordered; answers of the table are lost; owners pause, crash
and are replaced without their knowledge.
"""

import itertools

import testtools
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule

from tests import machine
from tests.test_core import scheduler_world
from wisterialug_core.decisions import task_registry
from wisterialug_core.schema import work_pb2

# The second seed found a stop carried out by the wrong worker incarnation.
SEEDS = (20261203, 8)
EXAMPLES = 300
STEPS = 50
MAX_FAULT_FREE_ROUNDS = 120


class ShardMachine(scheduler_world.SchedulerWorld):
    @initialize(tasks=st.integers(1, 5), repeatable=st.booleans())
    def start_with_job(self, tasks, repeatable):
        self.submit(tasks, 2000, 4000, repeatable, False)
        for _ in range(2):
            self.work_round(0, scheduler_world.WORKERS)

    # Operators.

    @rule(
        tasks=st.integers(1, 5),
        cpu=st.sampled_from([1000, 2000, 3000]),
        run_ms=st.sampled_from([1000, 4000, 30000]),
        repeatable=st.booleans(),
        urgent=st.booleans(),
    )
    def submit(self, tasks, cpu, run_ms, repeatable, urgent):
        if self.job_count >= 6:
            return
        self.job_count += 1
        job = work_pb2.Job(
            id=f"j{self.job_count}",
            customer="c",
            team="t",
            tasks=tasks,
            each=work_pb2.Resources(cpu_millicores=cpu, memory_mib=100),
            run_ms=run_ms,
            repeatable=repeatable,
            urgent=urgent,
        )
        self.table.jobs[job.id] = job
        self.table.job_versions[job.id] = 1
        self.table.chunks[job.id, 0] = work_pb2.Chunk(
            job=job.id, tasks=[work_pb2.Task(index=i) for i in range(tasks)]
        )

    @rule(index=st.integers(1, 6))
    def cancel(self, index):
        job = self.table.jobs.get(f"j{index}")
        if job is not None and not job.cancelled:
            job.cancelled = True
            self.table.job_versions[job.id] += 1
            started = {
                task_registry.task_id(job.id, task.index): task.attempt
                for task in self.table.chunks[job.id, 0].tasks
            }
            self.attempts_at_cancel[job.id] = started

    # Owners.

    @rule(who=st.integers(0, 1))
    def poll(self, who):
        owner = self._owner(who)
        self._load(owner)
        for job in self.table.jobs.values():
            if job.cancelled and owner.scheduler.knows_job(job.id):
                owner.seen_versions[job.id] = self.table.job_versions[job.id]
                owner.scheduler.cancel(job.id)

    @rule(who=st.integers(0, 1))
    def plan(self, who):
        owner = self._owner(who)
        if owner.pending_commit is None:
            owner.scheduler.plan(self.now, int(self.now * 1000))
            owner.pending_commit = owner.scheduler.next_commit()

    @rule(who=st.integers(0, 1), answer=st.sampled_from(["ok", "lost", "none"]))
    def store_commit(self, who, answer):
        owner = self._owner(who)
        commit = owner.pending_commit
        if commit is None or answer == "none":
            return
        outcome = self.table.commit(
            owner.scheduler.epoch, owner.seen_versions, commit
        )
        if answer == "lost":
            # A retry shows whether the commit took effect.
            return
        owner.pending_commit = None
        if outcome == "ok":
            owner.scheduler.commit_done(commit)
            return
        owner.scheduler.commit_refused(commit)
        if outcome == "not owner":
            owner.scheduler.fence()
        else:
            self.poll(who)

    @rule(
        who=st.integers(0, 1), worker=st.sampled_from(scheduler_world.WORKERS)
    )
    def begin_sync(self, who, worker):
        owner = self._owner(who)
        if worker not in owner.scheduler.worker_ids():
            return
        if worker in owner.syncs or owner.scheduler.fenced:
            return
        req = owner.scheduler.sync_request(worker)
        owner.syncs[worker] = req
        self.requests.append((owner, worker, req))

    @rule(
        who=st.integers(0, 1), worker=st.sampled_from(scheduler_world.WORKERS)
    )
    def expire_sync(self, who, worker):
        self._owner(who).syncs.pop(worker, None)

    @rule()
    def take_over(self):
        self._new_owner()

    # The network.

    @rule(index=st.integers(0, 30), keep=st.booleans())
    def deliver_request(self, index, keep):
        if not self.requests:
            return
        index %= len(self.requests)
        owner, worker, req = self.requests[index]
        if not keep:
            del self.requests[index]
        model = self.models.get(worker)
        if model is not None:
            resp = model.sync(req, self._clock())
            self.answers.append((owner, worker, req, resp))

    @rule(index=st.integers(0, 30))
    def deliver_answer(self, index):
        if not self.answers:
            return
        owner, worker, req, resp = self.answers.pop(index % len(self.answers))
        if owner.syncs.get(worker) is req:
            del owner.syncs[worker]
            owner.scheduler.on_sync(worker, req, resp, self.now)

    @rule(
        worker=st.sampled_from(scheduler_world.WORKERS), who=st.integers(0, 1)
    )
    def exchange(self, worker, who):
        """Runs a whole exchange without faults, so that tasks progress."""
        owner = self._owner(who)
        model = self.models.get(worker)
        known = worker in owner.scheduler.worker_ids()
        if model is None or owner.scheduler.fenced or not known:
            return
        owner.syncs.pop(worker, None)
        req = owner.scheduler.sync_request(worker)
        resp = model.sync(req, self._clock())
        owner.scheduler.on_sync(worker, req, resp, self.now)

    @rule(
        who=st.integers(0, 1),
        reached=st.lists(
            st.sampled_from(scheduler_world.WORKERS), min_size=1, unique=True
        ),
    )
    def work_round(self, who, reached):
        """Runs one round of an owner that reaches some of the workers."""
        self.poll(who)
        self.plan(who)
        self.store_commit(who, "ok")
        for worker in reached:
            self.exchange(worker, who)

    @rule(
        who=st.integers(0, 1),
        reached=st.lists(
            st.sampled_from(scheduler_world.WORKERS), min_size=1, unique=True
        ),
        seconds=st.sampled_from([0.2, 1.0]),
        rounds=st.integers(2, 4),
    )
    def work_rounds(self, who, reached, seconds, rounds):
        """Runs several rounds with time between."""
        for _ in range(rounds):
            self.work_round(who, reached)
            self.pass_time(seconds)

    @rule(
        worker=st.sampled_from(scheduler_world.WORKERS),
        seconds=st.sampled_from([0.2, 3.0]),
    )
    def old_owner_sends_late(self, worker, seconds):
        """Delivers a message of an owner after its shard was taken over."""
        owner = self.owners[-1]
        if worker not in owner.scheduler.worker_ids():
            return
        self.plan(1)
        self.store_commit(1, "ok")
        req = owner.scheduler.sync_request(worker)
        self._new_owner()
        self.work_rounds(1, scheduler_world.WORKERS, seconds, 3)
        model = self.models.get(worker)
        if model is not None:
            model.sync(req, self._clock())

    @rule(worker=st.sampled_from(scheduler_world.WORKERS))
    def message_outlives_worker(self, worker):
        """Delivers a message for one incarnation of a worker to the next."""
        owner = self.owners[-1]
        if worker not in owner.scheduler.worker_ids():
            return
        self.plan(1)
        self.store_commit(1, "ok")
        req = owner.scheduler.sync_request(worker)
        self.kill_worker(worker)
        self.restart_worker(worker)
        self.work_rounds(1, scheduler_world.WORKERS, 0.2, 3)
        self.models[worker].sync(req, self._clock())

    def teardown(self):
        """Checks that every task ends once there are no more faults."""
        for worker in scheduler_world.WORKERS:
            self.restart_worker(worker)
            self.models[worker].fail = False
        self._new_owner()
        for _ in range(MAX_FAULT_FREE_ROUNDS):
            if self._all_final():
                break
            self.read_vm_list()
            self.work_round(1, scheduler_world.WORKERS)
            self.pass_time(3.0)
            self.check_guarantees()
        assert self._all_final(), self.table.chunks

    def _all_final(self):
        return all(
            task.state in task_registry.FINAL_STATES
            for chunk in self.table.chunks.values()
            for task in chunk.tasks
        )

    # Time and workers.

    def _clock(self):
        return int(self.now * 1000)

    @rule(seconds=st.sampled_from([0.2, 1.0, 3.0, 12.0]))
    def pass_time(self, seconds):
        # In small steps, so that leases lapse before progress is counted.
        for _ in range(20):
            self.now += seconds / 20
            for model in self.models.values():
                if model is not None:
                    model.advance(seconds * 50, self._clock())

    @rule(worker=st.sampled_from(scheduler_world.WORKERS), broken=st.booleans())
    def change_health(self, worker, broken):
        if self.models[worker] is not None:
            self.models[worker].fail = broken

    @rule(worker=st.sampled_from(scheduler_world.WORKERS))
    def kill_worker(self, worker):
        if self.models[worker] is not None:
            for run in self.models[worker].running.values():
                run.ended_ms = self._clock()
                run.end = "KILLED"
            self.models[worker].running = {}
            self.dead_models.append(self.models[worker])
            self.models[worker] = None

    @rule(worker=st.sampled_from(scheduler_world.WORKERS))
    def restart_worker(self, worker):
        if self.models[worker] is None:
            self._start_worker(worker)
            self.listed.add(worker)

    @rule()
    def read_vm_list(self):
        for worker, model in self.models.items():
            if model is None:
                self.listed.discard(worker)
        for owner in self.owners:
            self._update_workers(owner)

    # The oracle.

    def _live_models(self):
        return [model for model in self.models.values() if model is not None]

    def _all_runs(self):
        return [
            run
            for model in [*self._live_models(), *self.dead_models]
            for run in model.log
        ]

    @invariant()
    def check_guarantees(self):
        self.no_task_runs_twice_at_once()
        self.no_worker_is_overcommitted()
        self.unrepeatable_tasks_resume_only_after_eviction()
        self.evicted_work_resumes_from_its_checkpoint()
        self.no_attempt_is_started_twice()
        self.cancelled_tasks_start_no_new_attempt()
        self.done_tasks_do_not_run()

    def no_task_runs_twice_at_once(self):
        running = [
            run.task
            for model in self._live_models()
            for run in model.running.values()
        ]
        assert len(running) == len(set(running)), running

    def no_worker_is_overcommitted(self):
        for model in self._live_models():
            assert model.overcommitted == 0

    def unrepeatable_tasks_resume_only_after_eviction(self):
        runs = {}
        for run in self._all_runs():
            job = self.table.jobs[task_registry.task_job(run.task)]
            if not job.repeatable:
                runs.setdefault(run.task, []).append(run)
        for task, task_runs in runs.items():
            task_runs.sort(key=lambda run: run.attempt)
            for run in task_runs[:-1]:
                assert run.end == "ATTEMPT_END_EVICTED", (task, run)

    def evicted_work_resumes_from_its_checkpoint(self):
        by_attempt = {(r.task, r.attempt): r for r in self._all_runs()}
        tasks = {}
        for task, attempt in by_attempt:
            tasks.setdefault(task, []).append(attempt)
        for task, attempts in tasks.items():
            attempts.sort()
            for before, after in itertools.pairwise(attempts):
                earlier = by_attempt[task, before]
                if earlier.end == "ATTEMPT_END_EVICTED":
                    resumed = by_attempt[task, after].resumed_ms
                    assert resumed == earlier.checkpoint_ms, (task, before)

    def no_attempt_is_started_twice(self):
        keys = [(run.task, run.attempt) for run in self._all_runs()]
        assert len(keys) == len(set(keys))

    def cancelled_tasks_start_no_new_attempt(self):
        for job, started in self.attempts_at_cancel.items():
            for run in self._all_runs():
                if task_registry.task_job(run.task) == job:
                    assert run.attempt <= started[run.task], run

    def done_tasks_do_not_run(self):
        for (job, _), chunk in self.table.chunks.items():
            for task in chunk.tasks:
                if task.state == work_pb2.TASK_STATE_DONE:
                    name = task_registry.task_id(job, task.index)
                    for model in self._live_models():
                        assert all(
                            run.task != name for run in model.running.values()
                        )


class ShardMachineTest(testtools.TestCase):
    def run_machine(self, seed):
        machine.run(ShardMachine, seed, EXAMPLES, STEPS)

    def test_guarantees_hold_with_first_seed(self):
        self.run_machine(SEEDS[0])

    def test_guarantees_hold_with_second_seed(self):
        self.run_machine(SEEDS[1])
