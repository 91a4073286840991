"""Commands on log files."""

from __future__ import annotations

import argparse
import datetime
import json
import pathlib

from wisterialug_cli import errors, trace_log

_EXAMPLES = """examples:
  wisterialug trace-log front-1.log front-2.log --request 5c0e7a21d94b36f8
  wisterialug --output json trace-log *.log --request 5c0e7a21d94b36f8
"""


def add_parsers(commands: argparse._SubParsersAction) -> None:
    """Adds "trace-log"."""
    trace = commands.add_parser(
        "trace-log",
        help="trace a job in log files and explain its outcome",
        epilog=_EXAMPLES,
        # Keeps the line breaks of the examples.
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    trace.add_argument("file", nargs="+", help="log files, one per process")
    trace.add_argument("--request", required=True, help="the job's id")
    trace.set_defaults(run_locally=_trace)


def _trace(args: argparse.Namespace) -> object:
    events: list[trace_log.Event] = []
    for name in args.file:
        file = pathlib.Path(name)
        try:
            with file.open(encoding="utf-8", errors="replace") as lines:
                events += trace_log.read_lines(lines, file.stem)
        except OSError as exc:
            raise errors.CliError(
                errors.ExitCode.USAGE, f"{name} can't be read", [str(exc)]
            ) from exc
    trace = trace_log.trace_job(events, args.request)
    if not trace.events:
        raise errors.CliError(
            errors.ExitCode.REFUSED,
            f"job {args.request} is not in these log files",
            ["check the id and the time range of the files"],
        )
    return {
        "request": args.request,
        "cause": trace.cause.value,
        "detail": trace.detail,
        "events": [
            {
                "time": _time_of_day(event.time_s),
                "process": event.source,
                "event": event.name,
                "fields": json.dumps(event.fields),
            }
            for event in trace.events
        ],
    }


def _time_of_day(time_s: float) -> str:
    when = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
    return when.strftime("%H:%M:%S.%f")[:-3]
