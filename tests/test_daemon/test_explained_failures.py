"""Tests that logs show why each job failed or was late."""

import json
import logging as std_logging

import eventlet

from tests.test_daemon import workflow_base
from wisterialug_cli import trace_log
from wisterialug_core.schema import workflow_pb2
from wisterialug_daemon.workflow import intake

step = workflow_base.step
# Minimum share of jobs whose cause is traced correctly.
MIN_ACCURACY = 0.95


class _LogCollector(std_logging.Handler):
    """Collects log lines as written to a file."""

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
    """Compares the causes traced from logs with the injected faults."""

    duration_s = 0.3

    def setUp(self):
        super().setUp()
        self.collector = _LogCollector()
        logger = std_logging.getLogger("absl")
        before = logger.level
        logger.addHandler(self.collector)
        logger.setLevel(std_logging.INFO)
        self.addCleanup(logger.setLevel, before)
        self.addCleanup(logger.removeHandler, self.collector)
        self.expected = {}
        self.failing_jobs = set()

    def fails(self, task):
        return task.partition(".")[0] in self.failing_jobs

    def expect(self, job, *causes):
        self.expected[job] = causes
        return job

    def test_causes_of_injected_faults(self):
        self.start_nodes(3, workers=4)
        self.owner()
        eventlet.sleep(0.5)
        self.fail_jobs()
        self.cancel_jobs()
        self.crash_workers()
        self.kill_owner()
        self.overload_workers()
        self.submit_without_store()
        wrong = {}
        for job, causes in self.expected.items():
            events = trace_log.read_lines(self.collector.lines, "log")
            trace = trace_log.trace_job(events, job)
            self.assertIsNot(trace_log.Cause.UNKNOWN_JOB, trace.cause, job)
            if trace.cause not in causes:
                wrong[job] = (trace.cause, trace.detail, causes)
        self.assertLessEqual(
            len(wrong), (1 - MIN_ACCURACY) * len(self.expected), str(wrong)
        )

    def fail_jobs(self):
        for _ in range(4):
            job = self.submit(step(2))
            self.failing_jobs.add(job)
            self.expect(job, trace_log.Cause.TASK_FAULT)
            self.wait_for_state(job, workflow_pb2.JOB_FAILED)
        # Waits until the workers set aside are used again.
        eventlet.sleep(4)

    def cancel_jobs(self):
        for _ in range(4):
            job = self.submit(step(2, long_running=True))
            self.expect(job, trace_log.Cause.CANCELLED)
            self.cancel(job)

    def crash_workers(self):
        for number in range(4):
            name = f"doomed{number}"
            self.fleet.add(name, rack=name)
            job = self.submit(step(2, data_rack=name))
            self.wait_for(lambda job=job: self.workers_of(job), 5)
            for worker in self.workers_of(job):
                if worker in self.fleet.workers:
                    self.fleet.crash(worker)
                    self.fleet.add(worker + "b")
            self.expect(job, trace_log.Cause.WORKER_LOST)
            self.wait_for_state(job, workflow_pb2.JOB_COMPLETED, 20)

    def workers_of(self, job):
        return {
            r.worker
            for r in self.fleet.history
            if r.task.startswith(job) and r.end is None
        }

    def kill_owner(self):
        self.kill_node(self.owner())
        for _ in range(4):
            self.expect(self.submit(step(1)), trace_log.Cause.TAKEOVER)
        self.wait_for_late_jobs()

    def overload_workers(self):
        for _ in range(8):
            # 128 slots for 512 tasks of 0.3 s: the last jobs wait about 1 s.
            job = self.submit(step(64))
            self.expect(job, trace_log.Cause.WAITED, trace_log.Cause.NONE)
        self.wait_for_late_jobs()

    def submit_without_store(self):
        self.store.down = True
        for number in range(4):
            job = workflow_pb2.Job(id=f"{number:016x}", steps=[step(1)])
            answer = self.any_node().intake.submit(
                workflow_base.ROUTE, job, workflow_base.BUDGET_S
            )
            self.assertIs(intake.Outcome.REFUSED, answer.outcome)
            self.expect(job.id, trace_log.Cause.REFUSED)
        self.store.down = False

    def wait_for_late_jobs(self):
        for job, causes in self.expected.items():
            if causes[0] in {
                trace_log.Cause.TAKEOVER,
                trace_log.Cause.WAITED,
            }:
                self.wait_for_state(job, workflow_pb2.JOB_COMPLETED, 20)
