"""Entry point of wisterialugd."""

from __future__ import annotations

from wisterialug_daemon import hub

hub.install()

# The standard library must be patched before these are imported.
import os  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

import eventlet  # noqa: E402
from absl import logging  # noqa: E402

from wisterialug_core import settings  # noqa: E402
from wisterialug_core.schema import settings_pb2  # noqa: E402
from wisterialug_daemon import (  # noqa: E402
    application,
    logs,
    settings_check,
    tracing,
)

EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Runs the daemon; returns its exit code."""
    parsed = settings.parse(
        settings_pb2.DaemonSettings,
        "wisterialugd",
        "Entry VM daemon: routes requests and schedules batch work.",
        sys.argv[1:],
        os.environ,
    )
    setting_errors = (
        parsed.err_value
        if parsed.is_err()
        else settings_check.check(parsed.ok_value)
    )
    if setting_errors:
        for setting_error in setting_errors:
            print(f"wisterialugd: {setting_error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    cfg = parsed.ok_value
    logs.install(cfg.log_format)
    tracing.install(cfg.vm_id, cfg.trace_exporter, cfg.trace_sample_ratio)
    try:
        app = application.Application(cfg)
        signal.signal(signal.SIGTERM, lambda *_: eventlet.spawn(app.stop))
        signal.signal(signal.SIGINT, lambda *_: eventlet.spawn(app.stop))
        app.run()
    except OSError as exc:
        logging.error("cannot start: %s", exc)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
