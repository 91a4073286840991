"""A budget that keeps retries to a part of the first tries."""

from __future__ import annotations

import dataclasses

# Retries that may be saved up while nothing fails.
MAX_SAVED_RETRIES = 10.0


@dataclasses.dataclass
class RetryBudget:
    """Allows one retry for each 1/fraction first tries."""

    fraction: float
    saved: float = 1.0

    def record_first_attempt(self) -> None:
        """Counts a first try."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + self.fraction)

    def spend(self) -> bool:
        """Takes one retry from the budget if there is one."""
        if self.fraction <= 0 or self.saved < 1:
            return False
        self.saved -= 1
        return True
