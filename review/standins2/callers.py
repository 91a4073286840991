"""Ordinary callers, who hand in small jobs and ask for their states."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    import bench

STEPS = [{"count": 2, "cpu": 500, "mem_mb": 50, "estimate_ms": 300}]
PAUSE_S = 1.0
ASKED_AT_A_TIME = 5


class Callers:
    """Hand in a small job a second, at each process in turn.

    Attributes:
      accepted: When each job was accepted.
      completed: Jobs that were shown as completed.
      unanswered: Calls without an answer.
    """

    def __init__(self, system: bench.Bench, rng: random.Random) -> None:
        self._system = system
        self._rng = rng
        self._stopping = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.accepted: dict[str, float] = {}
        self.completed: set[str] = set()
        self.unanswered = 0

    def start(self) -> None:
        """Begins to call."""
        self._thread.start()

    def stop(self) -> None:
        """Stops calling, and records what was seen."""
        self._stopping = True
        self._thread.join(30)
        record = self._system.record
        record(f"ordinary jobs accepted: {len(self.accepted)}")
        record(f"ordinary jobs started: {len(self.first_starts())}")
        record(f"ordinary jobs shown as completed: {len(self.completed)}")
        record(f"ordinary calls without an answer: {self.unanswered}")

    def first_starts(self) -> dict[str, float]:
        """Returns when the first task of each job started."""
        first: dict[str, float] = {}
        for at_s, _, task, _ in list(self._system.fleet.starts):
            job = task.split(".", 1)[0]
            if job in self.accepted:
                first.setdefault(job, at_s)
        return first

    def waiting(self, longer_than_s: float) -> list[str]:
        """Returns accepted jobs of which nothing began in this time."""
        now_s, first = time.monotonic(), self.first_starts()
        return [
            job
            for job, accepted_s in list(self.accepted.items())
            if first.get(job, now_s) - accepted_s > longer_than_s
        ]

    def _run(self) -> None:
        number = 0
        while not self._stopping:
            number += 1
            at = number % self._system.count
            job = f"{self._rng.getrandbits(64):016x}"
            status = self._system.submit(at, job, STEPS)
            if status == 200:
                self.accepted[job] = time.monotonic()
            self.unanswered += status == 0
            open_jobs = self.accepted.keys() - self.completed
            for earlier in sorted(open_jobs)[:ASKED_AT_A_TIME]:
                state = self._system.state(at, earlier)
                self._system.record(f"GET {earlier} at {at}: {state}")
                if state == "completed":
                    self.completed.add(earlier)
                self.unanswered += state == 0
            time.sleep(PAUSE_S)
