"""One emulated worker and its runs."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from wisterialug_daemon.workflow import clock

if TYPE_CHECKING:
    from wisterialug_core.workflow import model
    from wisterialug_daemon.workflow import worker_calls
    from wisterialug_standins import order_faults


@dataclasses.dataclass
class RunRecord:
    """What actually happened to one run.

    Attributes:
      acked: The scheduler has told the worker that the run's end is durable,
        and no lease has lapsed between the end and that.
      crashed_worker: The run has crashed its worker.
    """

    task: str
    run: int
    worker: str
    epoch: int
    began_s: float
    checkpoint: str
    ended_s: float = 0.0
    end: model.RunEnd | None = None
    acked: bool = False
    crashed_worker: bool = False


@dataclasses.dataclass
class EmulatedWorker:
    """One incarnation of a worker.

    Attributes:
      booted_s: When its clock was zero.
      listed: The registry has its entry.
      unreachable: Receives no calls.
      drops_replies: Carries out calls without replying.
      fault_rates: Fraction of calls with each fault.
      poll_fault_rates: The same for polls, if they differ.
      fails_all: All runs fail immediately.
      hangs: Runs make no progress.
      slowness: Runs take so many times as long.
      lapsed_s: When it last was without a valid lease.
    """

    report: model.WorkerReport
    booted_s: float = 0.0
    listed: bool = True
    unreachable: bool = False
    drops_replies: bool = False
    fault_rates: dict[order_faults.OrderFault, float] = dataclasses.field(
        default_factory=dict
    )
    poll_fault_rates: dict[order_faults.OrderFault, float] | None = None
    fails_all: bool = False
    hangs: bool = False
    slowness: float = 1.0
    fence: int = 0
    deadline_ms: int = 0
    lapsed_s: float = 0.0
    ended: list[worker_calls.EndedRun] = dataclasses.field(default_factory=list)
    next_seq: int = 1
    running: dict[str, RunRecord] = dataclasses.field(default_factory=dict)
    highest_ended_run: dict[str, int] = dataclasses.field(default_factory=dict)

    def clock_ms(self) -> int:
        """Returns its monotonic clock."""
        return int((clock.now_s() - self.booted_s) * 1000)
