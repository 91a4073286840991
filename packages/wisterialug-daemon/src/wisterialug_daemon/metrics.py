"""Prometheus metrics; docs/metrics.md lists them."""

from __future__ import annotations

import prometheus_client

# One registry for the process; labels have bounded sets of values.
REGISTRY = prometheus_client.CollectorRegistry()

_LATENCY_BUCKETS_S = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)


def _counter(
    name: str, text: str, labels: tuple[str, ...] = ()
) -> prometheus_client.Counter:
    return prometheus_client.Counter(
        "wisterialug_" + name, text, labels, registry=REGISTRY
    )


def _gauge(
    name: str, text: str, labels: tuple[str, ...] = ()
) -> prometheus_client.Gauge:
    return prometheus_client.Gauge(
        "wisterialug_" + name, text, labels, registry=REGISTRY
    )


def _histogram(
    name: str, text: str, labels: tuple[str, ...] = ()
) -> prometheus_client.Histogram:
    return prometheus_client.Histogram(
        "wisterialug_" + name,
        text,
        labels,
        registry=REGISTRY,
        buckets=_LATENCY_BUCKETS_S,
    )


REQUESTS = _counter("requests", "Requests answered, by outcome.", ("outcome",))
REFUSALS = _counter(
    "refusals", "Requests refused without being run, by reason.", ("reason",)
)
REQUEST_SECONDS = _histogram(
    "request_seconds",
    "Time from a request's start to its answer.",
    ("outcome",),
)
RETRIES = _counter("retries", "Requests sent again after a failure.")
FORWARDS = _counter(
    "forwards", "Requests handed to another entry VM, by outcome.", ("outcome",)
)
HTTP_LIMITED = _counter(
    "http_limited",
    "Requests rejected and connections ended by the server's limits.",
    ("port", "reason"),
)
HTTP_CONNECTIONS = _gauge("http_connections", "Open connections.", ("port",))
HTTP_HELD_BYTES = _gauge(
    "http_held_bytes", "Bytes of requests that are not answered.", ("port",)
)
QUEUED = _gauge("queued_requests", "Requests that wait for a slot.")
IN_FLIGHT = _gauge("in_flight_requests", "Requests at instances of this VM.")
SET_ASIDE = _gauge("instances_set_aside", "Instances that get only probes.")
TABLE_CALLS = _counter(
    "table_calls", "Calls to the table service.", ("kind", "outcome")
)
TABLE_SECONDS = _histogram(
    "table_seconds", "Time of calls to the table service.", ("kind",)
)
PEER_CALLS = _counter(
    "peer_calls", "Calls to other entry VMs.", ("method", "outcome")
)
PEER_BYTES = _counter(
    "peer_bytes", "Bytes of messages between entry VMs.", ("direction",)
)
WORKER_SYNCS = _counter("worker_syncs", "Exchanges with workers.", ("outcome",))
MEMBERS = _gauge("members", "Entry VMs as seen from here.", ("state",))
CONFIG_REVISION = _gauge("config_revision", "Config revision in force here.")
CONFIG_UPDATES = _counter(
    "config_updates", "Config revisions learned, by way.", ("way",)
)
ROSTER_EPOCH = _gauge("roster_epoch", "Newest roster epoch known.")
SLOTS_USABLE = _gauge("slots_usable", "1 while this VM may use its slots.")
SHARDS_OWNED = _gauge("shards_owned", "Shards of workers owned here.")
TASKS = _gauge("tasks", "Tasks of the shards owned here.", ("state",))
TASK_EVENTS = _counter("task_events", "Ends and starts of tasks.", ("event",))
LOOP_LAG = _histogram("loop_lag_seconds", "How late a timer of the loop fires.")
LOOP_LAG_MAX = _gauge(
    "loop_lag_max_seconds", "Longest time that the loop was blocked."
)
EVENTS = _counter("events", "Changes of state, by event.", ("event",))
JOB_SECONDS = _histogram(
    "job_seconds", "From a job's acceptance to its end, by state.", ("state",)
)
SUBMIT_SECONDS = _histogram(
    "submit_seconds", "Answers to jobs handed in, by outcome.", ("outcome",)
)
JOB_DECISIONS = _counter(
    "job_decisions", "Decisions on jobs handed in, by verdict.", ("verdict",)
)
FIRST_START_SECONDS = _histogram(
    "first_start_seconds", "From a job's acceptance to its first start."
)
RUN_ENDS = _counter("run_ends", "Ends of runs, by how.", ("how",))
STRAGGLERS = _counter(
    "stragglers", "Runs started again as they fell behind their step."
)
REJECTED_RECORDS = _counter(
    "rejected_records", "Commits of a job's record that the store rejected."
)
ORDER_SECONDS = _histogram(
    "order_seconds", "Calls to workers, by kind and answer.", ("kind", "answer")
)
STORE_SECONDS = _histogram(
    "store_seconds",
    "Calls to the store, by kind and answer.",
    ("kind", "answer"),
)
STORE_DETOURS = _counter(
    "store_detours",
    "Calls to the store through another VM, by answer.",
    ("answer",),
)
SHARD_JOBS = _gauge("shard_open_jobs", "Jobs that have not ended.", ("shard",))
SHARD_BACKLOG = _gauge(
    "shard_backlog_core_seconds", "Declared work ahead.", ("shard",)
)
SHARD_EPOCH = _gauge("shard_epoch", "Epoch of a shard owned here.", ("shard",))
TAKEOVER_SECONDS = _histogram(
    "takeover_seconds", "From an owner's last sign to a shard's load."
)
PLACEMENT_WAITS = _counter(
    "placement_waits",
    "Waits for a place near the data or the group, by outcome.",
    ("outcome",),
)
CONFIG_SECONDS = _histogram(
    "config_seconds", "Steps of learning a newer config, by step.", ("step",)
)
CONFIG_VERSION = _gauge("config_version", "Version of the config in force.")
EVACUATIONS = _gauge(
    "evacuations", "Data centres out of service, as known here."
)
EVACUATED_WORK = _gauge(
    "evacuated_work",
    "Waiting tasks that fit nowhere but in data centres out of service.",
    ("shard",),
)
READY = _gauge("ready", "1 while this VM is ready for callers.")
