"""An open-loop load generator.

Arrivals are a Poisson process that does not wait for responses. Latency counts
from the scheduled arrival, which avoids coordinated omission.
"""

from __future__ import annotations

from wisterialug_daemon import hub

hub.install()

# The standard library must be patched before these are imported.
import collections  # noqa: E402
import json  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import eventlet  # noqa: E402
import urllib3  # noqa: E402
from hdrh import histogram  # noqa: E402

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000


class Sender:
    """Sends one stream of requests and records outcomes and latencies."""

    def __init__(self, spec: dict) -> None:
        self._spec = spec
        self._rng = random.Random(spec["seed"])
        self._pool = urllib3.PoolManager(
            num_pools=64, maxsize=256, block=False, retries=False
        )
        self._latency = histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._max_late_us = 0

    def run(self) -> dict:
        """Sends for the specified time and returns the results."""
        spec = self._spec
        threads = eventlet.GreenPool(100_000)
        started = time.monotonic()
        due = started
        number = 0
        end = started + spec["warmup_s"] + spec["seconds"]
        while due < end:
            due += self._rng.expovariate(spec["rate"])
            eventlet.sleep(max(0.0, due - time.monotonic()))
            url = spec["urls"][number % len(spec["urls"])]
            number += 1
            recorded = due >= started + spec["warmup_s"]
            threads.spawn_n(self._send, url, due, recorded)
        threads.waitall()
        return {
            "histogram": self._latency.encode().decode(),
            "outcomes": dict(self._outcomes),
            "sender_late_us": self._max_late_us,
        }

    def _send(self, url: str, due: float, recorded: bool) -> None:
        self._max_late_us = max(
            self._max_late_us, int((time.monotonic() - due) * US_PER_S)
        )
        try:
            resp = self._pool.request(
                self._spec["method"],
                url,
                headers=self._spec["headers"],
                timeout=self._spec["timeout_s"],
            )
            outcome = resp.headers.get("Wisterialug-Outcome", "done")
        except urllib3.exceptions.HTTPError:
            outcome = "unknown"
        if not recorded:
            return
        self._outcomes[outcome] += 1
        if outcome == "done":
            took_us = int((time.monotonic() - due) * US_PER_S)
            self._latency.record_value(max(LOWEST_US, took_us))


def main() -> None:
    """Runs the JSON specification in the first argument; prints JSON."""
    sys.stdout.write(json.dumps(Sender(json.loads(sys.argv[1])).run()))


if __name__ == "__main__":
    main()
