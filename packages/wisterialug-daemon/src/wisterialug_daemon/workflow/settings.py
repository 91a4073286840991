"""Times and limits of the workflow scheduler."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class WorkflowSettings:
    """Settings of one scheduler process.

    Attributes:
      node: Name of this VM.
      boot: Unique for each start of the process.
      lease_ms: How long a worker keeps its runs without contact to an owner;
        longer than a takeover takes.
      longest_lease_ms: A worker shortens longer leases to this.
      state_kept_s: How long the state of an ended job can be queried.
      processors: Processors that the process may use.
      link_mbps: Bandwidth of the VM's link, in megabits per second.
      compares_runs: Workers may be slow though they report themselves well, so
        runs are compared with the others of their step.
      remote_slowdown: How many times as long a task takes away from its data,
        or a gang on several racks; up to 1 where that makes no difference.
      stop_within_s: Time from the stop request until the process must end.
      unlisted_after_s: The longest that the list keeps a worker that has crashed.
      row_bytes: Largest size of a row of the store.
      evacuated_within_ms: Time within which no more runs start in a data centre
        that is taken out of service; None where that is not provided for.
      config_within_ms: Time from the acknowledgement of a config until it is
        in force.
      drained_within_ms: Time after which a draining worker gets no runs.
      cancelled_within_ms: Time after which a cancelled job gets no runs.
      accepted_within_ms: Time until an accepted job is visible to callers: in
        its state, and in counts of its queue, which may be older by their age.
    """

    node: str
    boot: str
    data_centre: str
    lease_ms: int
    longest_lease_ms: int
    state_kept_s: float
    stop_within_s: float
    processors: float = 1.0
    link_mbps: float = 1000.0
    compares_runs: bool = False
    remote_slowdown: float = 1.0
    unlisted_after_s: float = 4.0
    row_bytes: int = 65_536
    evacuated_within_ms: int | None = None
    config_within_ms: int = 2000
    drained_within_ms: int = 2000
    cancelled_within_ms: int = 3000
    accepted_within_ms: int = 3000

    @property
    def page_bytes(self) -> int:
        """Returns the largest size of a page of records; encoded, it fits too."""
        return self.row_bytes * 3 // 4

    @property
    def owner_id(self) -> str:
        """Returns the ID under which this process owns shards."""
        return f"{self.node}/{self.boot}"
