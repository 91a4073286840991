"""Selects eventlet's hub; imported before anything else."""

from __future__ import annotations

import warnings

warnings.filterwarnings(
    "ignore", category=DeprecationWarning, module="eventlet"
)
warnings.filterwarnings("ignore", message="(?s).*Eventlet is deprecated.*")

# The warning filters must be in force before eventlet is imported.
import eventlet  # noqa: E402
import eventlet.hubs  # noqa: E402

ASYNCIO_HUB = "eventlet.hubs.asyncio"


def install(hub: str = ASYNCIO_HUB) -> None:
    """Selects a hub and patches the standard library.

    Args:
      hub: Module of the hub; gRPC needs the asyncio one.
    """
    eventlet.hubs.use_hub(hub)
    eventlet.monkey_patch()
