"""When versions of the store were the newest, as far as one reader knows.

Clocks of other VMs and the time of a row's arrival say little of how old its
content is: a change may be repeated, carried out late, or read late. Versions
order all changes, so a reader dates content by the versions that it has seen.
"""

from __future__ import annotations

import bisect
import math

# Answers that are kept: some twenty seconds of a watch, far more than the age of
# what is used.
MAX_KEPT = 64


class VersionTimes:
    """Answers of the store, by the newest version that each has named."""

    def __init__(self) -> None:
        # Both ascending.
        self._versions: list[int] = []
        self._asked_s: list[float] = []

    def note(self, version: int, asked_s: float) -> None:
        """Notes an answer.

        Args:
          version: The newest version of the store when it answered.
          asked_s: When it was asked, by the steady clock of this VM.
        """
        if self._versions and version < self._versions[-1]:
            return
        if self._versions and version == self._versions[-1]:
            self._asked_s[-1] = asked_s
            return
        self._versions.append(version)
        self._asked_s.append(asked_s)
        del self._versions[:-MAX_KEPT]
        del self._asked_s[:-MAX_KEPT]

    def newest_at_s(self, version: int) -> float:
        """Returns a time at which the store had no version above this one.

        It is the latest that is known, minus infinity if none is.
        """
        count = bisect.bisect_right(self._versions, version)
        return self._asked_s[count - 1] if count else -math.inf
