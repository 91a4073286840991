"""Attempts of one change that may overlap.

A store that has gone silent answers an attempt only by its timeout. The next one
does not wait for that: the first answer after an outage should come at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import eventlet
import eventlet.queue
import result

from wisterialug_daemon.workflow import clock, errors

if TYPE_CHECKING:
    from wisterialug_daemon.workflow import row_store

# Longer than a commit takes in a very slow store.
TIMEOUT_S = 3.0
# Silence after which another attempt is made beside those without an answer.
OVERLAP_S = 0.5
MAX_OPEN = 6


class Answer(NamedTuple):
    """Outcome of an attempt, and when it was sent."""

    outcome: result.Result[int, errors.StoreError]
    sent_s: float


class CommitAttempts:
    """Makes attempts of one transaction, which takes effect once at most."""

    def __init__(
        self, store: row_store.RowStore, transaction: row_store.Transaction
    ) -> None:
        self._store = store
        self._transaction = transaction
        self._answers = eventlet.queue.LightQueue()
        self._open = 0

    def next_answer(self) -> Answer | None:
        """Makes an attempt and returns the next answer to any of them.

        Returns:
          The answer; None if there is none for `OVERLAP_S`.
        """
        if self._open < MAX_OPEN:
            self._open += 1
            eventlet.spawn_n(self._attempt)
        try:
            answer = self._answers.get(timeout=OVERLAP_S)
        except eventlet.queue.Empty:
            return None
        self._open -= 1
        return answer

    def _attempt(self) -> None:
        sent_s = clock.now_s()
        outcome = result.Err(errors.StoreUnknownError("attempt failed"))
        try:
            outcome = self._store.commit(self._transaction, TIMEOUT_S)
        finally:
            self._answers.put(Answer(outcome, sent_s))
