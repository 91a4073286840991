"""A budget that limits retries to a fraction of first attempts."""

from __future__ import annotations

import dataclasses

# Retries that may accumulate while nothing fails.
MAX_SAVED_RETRIES = 10.0


@dataclasses.dataclass
class RetryBudget:
    """Allows one retry for each 1/fraction first attempts."""

    fraction: float
    saved: float = 1.0

    def record_first_attempt(self) -> None:
        """Adds a first attempt's fraction of a retry to the budget."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + self.fraction)

    def spend(self) -> bool:
        """Takes one retry from the budget if there is one."""
        if self.fraction <= 0 or self.saved < 1:
            return False
        self.saved -= 1
        return True
