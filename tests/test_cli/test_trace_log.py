"""Tests of tracing a job through log lines."""

import contextlib
import io
import json
import pathlib
import tempfile

import testtools

from wisterialug_cli import __main__, errors, trace_log

JOB = "5c0e7a21d94b36f8"


def line(second, event, **fields):
    """Returns a log line at a second of a fixed minute."""
    entry = {
        "time": f"2026-02-13 16:48:{second:06.3f}".replace(".", ","),
        "level": "info",
        "event": event,
    }
    return json.dumps({**entry, **fields})


def submitted(second, outcome="ok", **fields):
    return line(
        second, "job-submitted", job=JOB, shard="s0", outcome=outcome, **fields
    )


def placed(second, *tasks, step=0):
    return line(
        second,
        "tasks-placed",
        job=JOB,
        step=step,
        tasks=list(tasks),
        workers=["w1"],
    )


def run_ended(second, end):
    return line(
        second, "run-ended", task=f"{JOB}.0.0.0", run=1, worker="w1", end=end
    )


def ended(second, took_ms, state="JOB_COMPLETED"):
    return line(
        second,
        "job-ended",
        job=JOB,
        state=state,
        took_ms=took_ms,
        objective_ms=1000,
    )


class TraceJobTest(testtools.TestCase):
    def cause(self, *lines):
        events = trace_log.read_lines(lines, "vm1")
        return trace_log.trace_job(events, JOB).cause

    def test_each_cause(self):
        start = submitted(1), placed(1.05, 0)
        cases = {
            trace_log.Cause.NONE: (*start, ended(2, 900)),
            trace_log.Cause.REFUSED: (submitted(1, "refused"),),
            trace_log.Cause.NO_ANSWER: (submitted(1, "unknown"),),
            trace_log.Cause.INVALID: (
                line(1, "job-invalid", job=JOB, error="steps: a list"),
            ),
            trace_log.Cause.CANCELLED: (
                *start,
                line(2, "job-cancelled", job=JOB, shard="s0"),
            ),
            trace_log.Cause.TASK_FAULT: (
                *start,
                run_ended(2, "failed"),
                ended(2, 900, "JOB_FAILED"),
            ),
            trace_log.Cause.WORKER_FAULT: (
                *start,
                line(1.5, "worker-set-aside", worker="w1", failed_jobs=2),
                run_ended(2, "failed"),
                ended(2, 900, "JOB_FAILED"),
            ),
            trace_log.Cause.WORKER_LOST: (
                *start,
                run_ended(5, "lost"),
                placed(5.1, 0),
                ended(6, 5000),
            ),
            trace_log.Cause.RETRIED: (
                *start,
                run_ended(3, "failed"),
                ended(6, 5000),
            ),
            trace_log.Cause.THROTTLED: (
                *start,
                run_ended(3, "stopped"),
                ended(6, 5000),
            ),
            trace_log.Cause.TAKEOVER: (
                submitted(1),
                line(3, "shard-taken", shard="s0", epoch=2, silent_s=1.9),
                placed(3.2, 0),
                ended(4, 3000),
            ),
            trace_log.Cause.STORE_UNAVAILABLE: (
                *start,
                line(3, "shard-change-done", shard="s0", after_s=1.5),
                ended(4, 3000),
            ),
            trace_log.Cause.WAITED: (
                submitted(1),
                placed(3.2, 0),
                ended(4, 3000),
            ),
            trace_log.Cause.OVERRAN: (*start, ended(4, 3000)),
            trace_log.Cause.OPEN: start,
        }
        for cause, lines in cases.items():
            self.assertIs(cause, self.cause(*lines))

    def test_delay_of_a_run_counts_from_its_own_start(self):
        # The lost run cost 1.9 s, not the 9.95 s since the task's first start.
        lines = (
            submitted(1),
            placed(1.05, 0),
            run_ended(9, "stopped"),
            placed(9.1, 0),
            run_ended(11, "lost"),
            placed(11.1, 0),
            ended(12, 11_000),
        )
        self.assertIs(trace_log.Cause.THROTTLED, self.cause(*lines))

    def test_throttled_run(self):
        lines = submitted(1), placed(1.05, 0), ended(4, 3000)
        pace = line(2, "fill-pace", task=f"{JOB}.0.0.0", percent=20)
        self.assertIs(trace_log.Cause.THROTTLED, self.cause(*lines, pace))
        pace = line(2, "fill-pace", task=f"{JOB}.0.0.0", percent=100)
        self.assertIs(trace_log.Cause.OVERRAN, self.cause(*lines, pace))

    def test_unrelated_events_are_left_out(self):
        lines = (
            submitted(1),
            placed(1.05, 0),
            line(1.5, "shard-taken", shard="s1", epoch=2, silent_s=9.0),
            line(1.6, "worker-silent", worker="w2", error="x"),
            line(1.7, "job-submitted", job="f" * 16, outcome="refused"),
            ended(4, 3000),
        )
        trace = trace_log.trace_job(trace_log.read_lines(lines, "vm1"), JOB)
        self.assertIs(trace_log.Cause.OVERRAN, trace.cause)
        self.assertEqual(
            ["job-submitted", "tasks-placed", "job-ended"],
            [event.name for event in trace.events],
        )

    def test_lines_that_are_no_events_are_skipped(self):
        lines = ("", "Traceback", "{", "{}", '{"event": "x"}', "[1]")
        self.assertEqual([], list(trace_log.read_lines(lines, "vm1")))


class CommandTest(testtools.TestCase):
    def run_command(self, *argv):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = __main__.run(argv, {})
        return code, out.getvalue(), err.getvalue()

    def test_trace_across_several_files(self):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        entry, owner = folder / "vm1.log", folder / "vm2.log"
        # Log collectors put such prefixes before the lines.
        entry.write_text("  1.0 vm1 " + submitted(1) + "\n")
        owner.write_text(placed(3.2, 0) + "\n" + ended(4, 3000) + "\n")
        code, printed, _ = self.run_command(
            "--output=json",
            "trace-log",
            str(owner),
            str(entry),
            "--request",
            JOB,
        )
        self.assertEqual(errors.ExitCode.OK, code)
        trace = json.loads(printed)
        self.assertEqual(trace_log.Cause.WAITED.value, trace["cause"])
        self.assertEqual(
            ["vm1", "vm2", "vm2"], [e["process"] for e in trace["events"]]
        )
        code, _, printed = self.run_command(
            "trace-log", str(entry), "--request", "f" * 16
        )
        self.assertEqual(errors.ExitCode.REFUSED, code)
        self.assertIn("f" * 16, printed)
        code, _, _ = self.run_command(
            "trace-log", str(folder / "none"), "--request", JOB
        )
        self.assertEqual(errors.ExitCode.USAGE, code)
