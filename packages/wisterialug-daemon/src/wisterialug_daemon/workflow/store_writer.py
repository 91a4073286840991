"""Writes rows for callers, who wait for a certain answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
import result

from wisterialug_daemon.workflow import clock, errors

if TYPE_CHECKING:
    from wisterialug_daemon.workflow import row_store

ATTEMPT_TIMEOUT_S = 1.0
FIRST_RETRY_S = 0.03
MAX_RETRY_S = 0.3
# A caller is refused after the store has refused its call for this long.
REFUSE_AFTER_S = 0.3


def write(
    store: row_store.RowStore,
    transaction: row_store.Transaction,
    until_s: float,
) -> result.Result[int, errors.StoreError]:
    """Makes a change, with repeated attempts; returns its version.

    An error that the call was not executed holds for all attempts; after one
    without an answer, the outcome is known only by success or by a conflict.
    """
    begun_s = clock.now_s()
    pause_s = FIRST_RETRY_S
    failure: errors.StoreError = errors.StoreRefusedError("out of time")
    while True:
        left_s = until_s - clock.now_s()
        if left_s <= 0:
            return result.Err(failure)
        outcome = store.commit(transaction, min(ATTEMPT_TIMEOUT_S, left_s))
        if outcome.is_ok():
            return outcome
        exc = outcome.err_value
        if isinstance(exc, errors.ConflictError):
            return outcome
        if not isinstance(failure, errors.StoreUnknownError):
            failure = exc
            if (
                isinstance(exc, errors.StoreRefusedError)
                and clock.now_s() - begun_s + pause_s > REFUSE_AFTER_S
            ):
                return outcome
        eventlet.sleep(max(0.0, min(pause_s, until_s - clock.now_s())))
        pause_s = min(MAX_RETRY_S, pause_s * 2)
