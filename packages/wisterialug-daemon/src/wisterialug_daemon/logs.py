"""Log lines for changes of state, as text or JSON."""

from __future__ import annotations

import json
import logging as std_logging
import sys

from absl import flags, logging

from wisterialug_daemon import log_stream, metrics


class _JsonFormatter(std_logging.Formatter):
    """Writes a record as one JSON object."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Returns the line for a record."""
        entry = {
            "time": self.formatTime(record),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        entry.update(getattr(record, "fields", {}))
        if record.exc_info:
            entry["exception"] = self.formatException(record.exc_info)
        return json.dumps(entry)


class _TextFormatter(logging.PythonFormatter):
    """Writes a record in absl's form with its fields at the end."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Returns the line for a record."""
        fields = getattr(record, "fields", {})
        pairs = "".join(f" {name}={value}" for name, value in fields.items())
        return super().format(record) + pairs


def install(log_format: str) -> None:
    """Sends all lines of the process to standard output."""
    # absl holds messages back until its own flags are parsed.
    flags.FLAGS([""])
    logging.set_verbosity(logging.INFO)
    formatter = _JsonFormatter() if log_format == "json" else _TextFormatter()
    handler = log_stream.StreamHandler(
        sys.stdout.fileno(), log_stream.LogRateLimiter()
    )
    handler.setFormatter(formatter)
    root = std_logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    # urllib3's connection pool warnings repeat what metrics show.
    std_logging.getLogger("urllib3").setLevel(std_logging.ERROR)


def event(name: str, **fields: object) -> None:
    """Counts a change of state and logs it."""
    metrics.EVENTS.labels(name).inc()
    logging.get_absl_logger().info(name, extra={"fields": fields})


def warning(name: str, **fields: object) -> None:
    """Counts and logs a condition that an operator should check."""
    metrics.EVENTS.labels(name).inc()
    logging.get_absl_logger().warning(name, extra={"fields": fields})
