"""Times within which a VM learns a change, as parts of the promised bound.

The load that it answers: operators change the config, or cancel jobs, or workers
begin to drain, while the VM's path to the store goes silent and some of the VMs
that could relay can't be reached. The attempts follow each other, so their times
must add up to less than the bound.
"""

from __future__ import annotations

import dataclasses

# Parts of the bound. What they leave of it is for the answer to arrive.
WAIT_SHARE = 0.3
QUIET_SHARE = 0.15
STALL_SHARE = 0.35
RETRY_SHARE = 0.1
# Sets of attempts that are begun one after the other.
WAVES = 3
# While nothing answers, attempts get more time: the store may be slow.
MAX_QUIET_S = 2.0
# Where the platform sets no bound.
DEFAULT_WITHIN_S = 2.0


@dataclasses.dataclass(frozen=True)
class ReadTiming:
    """Times of the attempts to learn a change.

    Attributes:
      within_s: From the acknowledgement of a change until it is known here.
    """

    within_s: float = DEFAULT_WITHIN_S

    @property
    def wait_s(self) -> float:
        """Returns how long a watch waits for a change."""
        return self.within_s * WAIT_SHARE

    @property
    def stall_s(self) -> float:
        """Returns the pause within an answer after which others are asked."""
        return self.within_s * STALL_SHARE

    @property
    def retry_s(self) -> float:
        """Returns the pause after all attempts have failed."""
        return self.within_s * RETRY_SHARE

    def quiet_s(self, failures: int = 0) -> float:
        """Returns the time until an answer begins after which others are asked.

        Args:
          failures: How often in a row nothing has answered.
        """
        least_s = self.within_s * QUIET_SHARE
        return max(least_s, min(MAX_QUIET_S, least_s * 2 ** min(failures, 8)))

    def answered_within_s(self, wait_s: float, spacing_s: float = 0.0) -> float:
        """Returns the time until an answer begins, if any attempt gets one.

        The path of the watch goes silent just as something changes; only an
        attempt of the last wave is answered, after as long as it may take.

        Args:
          wait_s: How long the watch waits for a change.
          spacing_s: Pause between two watches.
        """
        return spacing_s + wait_s + WAVES * self.quiet_s()

    def answered_after_stall_s(self, wait_s: float) -> float:
        """Returns the same where an answer in an earlier wave stalls as well."""
        stalled_s = wait_s + self.quiet_s() + self.stall_s
        return stalled_s + (WAVES - 2) * self.quiet_s()
