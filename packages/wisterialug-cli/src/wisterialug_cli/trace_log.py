"""Traces a job through log files and finds why it was late or failed."""

from __future__ import annotations

import dataclasses
import datetime
import enum
import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
# Shorter delays are not distinguishable from normal start latency.
MIN_DELAY_S = 0.25
FULL_PERCENT = 100
# Events of workers, shards and VMs that may affect their jobs.
_WORKER_EVENTS = frozenset(
    {
        "worker-silent",
        "worker-answers-again",
        "worker-state",
        "worker-set-aside",
    }
)
_SHARD_EVENTS = frozenset(
    {
        "shard-taken",
        "shard-loaded",
        "shard-lost",
        "shard-given-up",
        "shard-change-retried",
        "shard-change-done",
    }
)
_VM_EVENTS = frozenset({"store-lost", "store-regained"})


class Cause(enum.Enum):
    """Why a job was not done in time."""

    NONE = "done in time"
    UNKNOWN_JOB = "the job is not in the logs"
    INVALID = "the job was invalid"
    REFUSED = "refused; it did not run"
    NO_ANSWER = "the store did not answer; the job may have been accepted"
    CANCELLED = "cancelled by its caller"
    TASK_FAULT = "a task used up its attempts"
    WORKER_FAULT = "tasks failed on faulty workers"
    WORKER_LOST = "a worker was lost while running tasks"
    RETRIED = "runs failed and were retried"
    THROTTLED = "fill work was throttled or moved to protect other tasks"
    TAKEOVER = "its shard had no owner for some time"
    STORE_UNAVAILABLE = "the store did not accept the owner's changes"
    WAITED = "it waited for free capacity"
    OVERRAN = "its tasks took longer than declared"
    OPEN = "it has not ended"


# Cause of a late job by the logged end of a run.
_RUN_CAUSES = {
    "lost": Cause.WORKER_LOST,
    "lapsed": Cause.WORKER_LOST,
    "broken": Cause.WORKER_LOST,
    "alone": Cause.WORKER_LOST,
    "failed": Cause.RETRIED,
    "stopped": Cause.THROTTLED,
}


@dataclasses.dataclass(frozen=True)
class Event:
    """One log line.

    Attributes:
      time_s: Unix time.
      source: Process that wrote it, named by its log file.
    """

    time_s: float
    source: str
    name: str
    fields: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class JobTrace:
    """A job's events in order, and why it was late or failed."""

    events: list[Event]
    cause: Cause
    detail: str


def read_lines(lines: Iterable[str], source: str) -> Iterator[Event]:
    """Yields the events of a process; skips lines that are no events."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
            when = datetime.datetime.strptime(
                fields.pop("time"), TIME_FORMAT
            ).replace(tzinfo=datetime.UTC)
            name = fields.pop("event")
            fields.pop("level", None)
        except (ValueError, KeyError, TypeError):
            # Library messages and summaries have no time or event.
            continue
        yield Event(when.timestamp(), source, name, fields)


def trace_job(events: Iterable[Event], job: str) -> JobTrace:
    """Returns a job's events and the cause of its delay or failure."""
    ordered = sorted(events, key=lambda event: event.time_s)
    own = [e for e in ordered if _job_of(e) == job]
    if not own:
        return JobTrace([], Cause.UNKNOWN_JOB, "")
    related = list(_related_events(ordered, own))
    cause, detail = _cause(own, related)
    shown = sorted([*own, *related], key=lambda event: event.time_s)
    return JobTrace(shown, cause, detail)


def _job_of(event: Event) -> str:
    task = event.fields.get("task")
    if isinstance(task, str):
        return task.partition(".")[0]
    job = event.fields.get("job")
    return job if isinstance(job, str) else ""


def _related_events(ordered: list[Event], own: list[Event]) -> Iterator[Event]:
    """Yields events of the job's workers, shards and VM in its lifetime."""
    begin_s, end_s = own[0].time_s, own[-1].time_s
    workers = set()
    shards = set()
    entries = {e.source for e in own if e.name == "job-submitted"}
    for event in own:
        workers.update(event.fields.get("workers", ()))
        workers.add(event.fields.get("worker"))
        shards.update((event.fields.get("shard"), event.fields.get("to")))
    open_end = not any(e.name == "job-ended" for e in own)
    for event in ordered:
        if event.time_s < begin_s or (event.time_s > end_s and not open_end):
            continue
        if (
            (event.name in _WORKER_EVENTS and event.fields["worker"] in workers)
            or (event.name in _SHARD_EVENTS and event.fields["shard"] in shards)
            or (event.name in _VM_EVENTS and event.source in entries)
        ):
            yield event


def _cause(own: list[Event], related: list[Event]) -> tuple[Cause, str]:
    by_name: dict[str, list[Event]] = {}
    for event in own:
        by_name.setdefault(event.name, []).append(event)
    submits = by_name.get("job-submitted", [])
    accepted = [e for e in submits if e.fields.get("outcome") == "ok"]
    ended = by_name.get("job-ended", [])
    if "job-cancelled" in by_name or "job-cancel" in by_name:
        return Cause.CANCELLED, _cancel_sources(by_name)
    if not accepted and not ended and "tasks-placed" not in by_name:
        if "job-invalid" in by_name:
            return Cause.INVALID, str(
                by_name["job-invalid"][-1].fields.get("error")
            )
        if not submits:
            return Cause.UNKNOWN_JOB, ""
        last = submits[-1].fields
        refused = all(e.fields.get("outcome") == "refused" for e in submits)
        cause = Cause.REFUSED if refused else Cause.NO_ANSWER
        return cause, str(last.get("detail", ""))
    if ended and ended[-1].fields["state"] == "JOB_FAILED":
        return _failure_cause(by_name, related)
    if ended:
        fields = ended[-1].fields
        if fields["took_ms"] <= fields["objective_ms"]:
            return Cause.NONE, f"took {fields['took_ms']} ms"
    cause, delay_s, detail = max(
        _possible_delays(by_name, related), key=lambda delay: delay[1]
    )
    if delay_s < MIN_DELAY_S:
        paces = by_name.get("fill-pace", [])
        if any(event.fields["percent"] < FULL_PERCENT for event in paces):
            return Cause.THROTTLED, f"{len(paces)} throttling changes"
        return (Cause.OVERRAN if ended else Cause.OPEN), ""
    return cause, f"{delay_s:.1f} s: {detail}"


def _cancel_sources(by_name: dict[str, list[Event]]) -> str:
    """Returns the processes that logged a cancellation."""
    names = ("job-cancel", "job-cancelled")
    sources = {e.source for name in names for e in by_name.get(name, [])}
    return ", ".join(sorted(sources))


def _failure_cause(
    by_name: dict[str, list[Event]], related: list[Event]
) -> tuple[Cause, str]:
    failed = [
        e for e in by_name.get("run-ended", []) if e.fields["end"] == "failed"
    ]
    bad = {e.fields["worker"] for e in related if e.name == "worker-set-aside"}
    workers = {e.fields["worker"] for e in failed}
    if workers and workers <= bad:
        return Cause.WORKER_FAULT, ", ".join(sorted(workers))
    tasks = {e.fields["task"] for e in failed}
    return Cause.TASK_FAULT, ", ".join(sorted(tasks))


def _possible_delays(
    by_name: dict[str, list[Event]], related: list[Event]
) -> Iterator[tuple[Cause, float, str]]:
    """Yields possible causes with the delay of each in seconds."""
    yield from _unfinished_runs(by_name)
    unowned_s = 0.0
    for event in related:
        if event.name == "shard-taken":
            silent_s = float(event.fields["silent_s"])
            unowned_s = max(unowned_s, silent_s)
            detail = f"{event.source} took {event.fields['shard']}"
            yield Cause.TAKEOVER, silent_s, detail
        elif event.name == "shard-change-done":
            after_s = float(event.fields["after_s"])
            yield Cause.STORE_UNAVAILABLE, after_s, event.source
    # Nothing is placed while a shard has no owner.
    waited_s = _longest_wait_s(by_name) - unowned_s
    yield Cause.WAITED, waited_s, "from ready to last start"


def _unfinished_runs(
    by_name: dict[str, list[Event]],
) -> Iterator[tuple[Cause, float, str]]:
    """Yields the time lost in runs that ended before completion."""
    started_s: dict[str, float] = {}
    events = by_name.get("tasks-placed", []) + by_name.get("run-ended", [])
    for event in sorted(events, key=lambda event: event.time_s):
        if event.name == "tasks-placed":
            for index in event.fields["tasks"]:
                started_s[f"{event.fields['step']}.{index}"] = event.time_s
            continue
        task = event.fields["task"]
        number = ".".join(task.split(".")[2:])
        lost_s = event.time_s - started_s.get(number, event.time_s)
        cause = _RUN_CAUSES.get(event.fields["end"])
        if cause is not None:
            yield cause, lost_s, f"{task} on {event.fields['worker']}"


def _longest_wait_s(by_name: dict[str, list[Event]]) -> float:
    """Returns the longest time from a task being ready to its first start.

    A step counts as ready when its first task starts; the first step, when the
    job was submitted.
    """
    submits = by_name.get("job-submitted", [])
    ready_s: dict[int, float] = {}
    started: set[tuple[int, int]] = set()
    longest_s = 0.0
    for event in by_name.get("tasks-placed", []):
        step = event.fields["step"]
        first = submits[0].time_s if submits and not ready_s else event.time_s
        ready_s.setdefault(step, first)
        new = {(step, task) for task in event.fields["tasks"]} - started
        if new:
            longest_s = max(longest_s, event.time_s - ready_s[step])
        started |= new
    return longest_s
