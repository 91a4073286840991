"""Log lines for changes of state, as text or JSON."""

from __future__ import annotations

import json
import logging as std_logging

from absl import flags, logging


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
    """Sets up absl's handler for the process."""
    # absl holds messages back until its own flags are parsed.
    flags.FLAGS([""])
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    formatter = _JsonFormatter() if log_format == "json" else _TextFormatter()
    logging.get_absl_handler().setFormatter(formatter)


def event(name: str, **fields: object) -> None:
    """Logs a change of state."""
    logging.get_absl_logger().info(name, extra={"fields": fields})


def warning(name: str, **fields: object) -> None:
    """Logs a change of state that an operator should look at."""
    logging.get_absl_logger().warning(name, extra={"fields": fields})
