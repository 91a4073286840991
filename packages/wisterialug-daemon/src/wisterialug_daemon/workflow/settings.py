"""Times and limits of the workflow scheduler."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class WorkflowSettings:
    """What one process of the scheduler needs to know.

    Attributes:
      node: Name of this VM.
      boot: Differs with each life of the process.
      lease_ms: How long a worker goes on without hearing from its owner.
        Longer than it takes another VM to take over.
      state_kept_s: How long the state of an ended job can be asked for.
      processors: Processors that the process may use.
      stop_within_s: Time from the order to stop until the process must end.
    """

    node: str
    boot: str
    data_centre: str
    lease_ms: int
    state_kept_s: float
    stop_within_s: float
    processors: float = 1.0

    @property
    def owner_id(self) -> str:
        """Returns the name by which this process owns shards."""
        return f"{self.node}/{self.boot}"
