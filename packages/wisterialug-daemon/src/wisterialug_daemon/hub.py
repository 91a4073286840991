"""Puts eventlet on the asyncio loop; imported before anything else."""

from __future__ import annotations

import warnings

warnings.filterwarnings(
    "ignore", category=DeprecationWarning, module="eventlet"
)
warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

# The warning filters must be in force before eventlet is imported.
import eventlet  # noqa: E402
import eventlet.hubs  # noqa: E402


def install() -> None:
    """Selects the asyncio hub and patches the standard library."""
    eventlet.hubs.use_hub("eventlet.hubs.asyncio")
    eventlet.monkey_patch()
