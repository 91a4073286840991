"""Tests that logs tell why each job failed or was late."""

import json
import logging as std_logging

import eventlet

from tests.test_daemon import workflow_base
from wisterialug_cli import trace_log
from wisterialug_core.schema import workflow_pb2
from wisterialug_daemon.workflow import intake

step = workflow_base.step
# Part of the failed jobs whose cause must be told right.
RIGHT = 0.95


class _Collector(std_logging.Handler):
    """Keeps all lines, as they would stand in a file."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        formatter = std_logging.Formatter()
        entry = {
            "time": formatter.formatTime(record),
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        self.lines.append(json.dumps(entry))


class ExplainedFailuresTest(workflow_base.WorkflowTest):
    """The emulator knows what befell each job; the lines must tell the same."""

    duration_s = 0.3

    def setUp(self):
        super().setUp()
        self.collector = _Collector()
        logger = std_logging.getLogger("absl")
        before = logger.level
        logger.addHandler(self.collector)
        logger.setLevel(std_logging.INFO)
        self.addCleanup(logger.setLevel, before)
        self.addCleanup(logger.removeHandler, self.collector)
        self.truth = {}
        self.poison = set()

    def fails(self, task):
        return task.partition(".")[0] in self.poison

    def expect(self, job, *causes):
        self.truth[job] = causes
        return job

    def test_causes_of_a_time_with_faults(self):
        self.start_nodes(3, workers=4)
        self.owner()
        eventlet.sleep(0.5)
        self.play_poison()
        self.play_cancels()
        self.play_lost_worker()
        self.play_lost_owner()
        self.play_overload()
        self.play_store_away()
        wrong = {}
        for job, causes in self.truth.items():
            events = trace_log.read_lines(self.collector.lines, "log")
            told = trace_log.trace_job(events, job)
            self.assertIsNot(trace_log.Cause.UNKNOWN_JOB, told.cause, job)
            if told.cause not in causes:
                wrong[job] = (told.cause, told.detail, causes)
        self.assertLessEqual(
            len(wrong), (1 - RIGHT) * len(self.truth), str(wrong)
        )

    def play_poison(self):
        for _ in range(4):
            job = self.submit(step(2))
            self.poison.add(job)
            self.expect(job, trace_log.Cause.TASK_FAULT)
            self.wait_for_state(job, workflow_pb2.JOB_FAILED)
        # Workers that were set aside for it come back.
        eventlet.sleep(4)

    def play_cancels(self):
        for _ in range(4):
            job = self.submit(step(2, long_running=True))
            self.expect(job, trace_log.Cause.CANCELLED)
            self.cancel(job)

    def play_lost_worker(self):
        for number in range(4):
            name = f"doomed{number}"
            self.fleet.add(name, rack=name)
            job = self.submit(step(2, data_rack=name))
            self.wait_for(lambda job=job: self.runs_on(job), 5)
            for worker in self.runs_on(job):
                if worker in self.fleet.workers:
                    self.fleet.crash(worker)
                    self.fleet.add(worker + "b")
            self.expect(job, trace_log.Cause.WORKER_LOST)
            self.wait_for_state(job, workflow_pb2.JOB_COMPLETED, 20)

    def runs_on(self, job):
        return {
            r.worker
            for r in self.fleet.history
            if r.task.startswith(job) and r.end is None
        }

    def play_lost_owner(self):
        self.kill_node(self.owner())
        for _ in range(4):
            self.expect(self.submit(step(1)), trace_log.Cause.TAKEOVER)
        self.finish()

    def play_overload(self):
        for _ in range(8):
            # 64 slots: the last of these jobs wait for more than a second.
            job = self.submit(step(64))
            self.expect(job, trace_log.Cause.WAITED, trace_log.Cause.NONE)
        self.finish()

    def play_store_away(self):
        self.store.down = True
        for number in range(4):
            job = workflow_pb2.Job(id=f"{number:016x}", steps=[step(1)])
            answer = self.any_node().intake.submit(
                workflow_base.ROUTE, job, workflow_base.CALL_S
            )
            self.assertIs(intake.Outcome.REFUSED, answer.outcome)
            self.expect(job.id, trace_log.Cause.REFUSED)
        self.store.down = False

    def finish(self):
        for job, causes in self.truth.items():
            if causes[0] in {
                trace_log.Cause.TAKEOVER,
                trace_log.Cause.WAITED,
            }:
                self.wait_for_state(job, workflow_pb2.JOB_COMPLETED, 20)
