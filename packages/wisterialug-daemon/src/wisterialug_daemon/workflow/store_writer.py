"""Writes rows for callers, who wait for a certain answer."""

from __future__ import annotations

import eventlet
import result

from wisterialug_daemon.workflow import clock, errors, row_store

# A store that is only slow carries an attempt out nevertheless; a repeated one
# would wait behind it.
ATTEMPT_TIMEOUT_S = 0.8
FIRST_RETRY_S = 0.03
MAX_RETRY_S = 0.3
# A caller is refused after the store has refused its call for this long.
REFUSE_AFTER_S = 0.3


def write_once(
    store: row_store.RowStore,
    transaction: row_store.Transaction,
    until_s: float,
) -> result.Result[int, errors.StoreError]:
    """Makes a change; repeats attempts only that the store did not execute."""
    begun_s = clock.now_s()
    pause_s = FIRST_RETRY_S
    while True:
        left_s = until_s - clock.now_s()
        if left_s <= 0:
            return result.Err(errors.StoreRefusedError("out of time"))
        outcome = store.commit(transaction, min(ATTEMPT_TIMEOUT_S, left_s))
        waited_s = clock.now_s() - begun_s + pause_s
        if (
            outcome.is_ok()
            or not isinstance(outcome.err_value, errors.StoreRefusedError)
            or isinstance(outcome.err_value, errors.StoreRejectedError)
            or waited_s > REFUSE_AFTER_S
        ):
            return outcome
        eventlet.sleep(max(0.0, min(pause_s, until_s - clock.now_s())))
        pause_s = min(MAX_RETRY_S, pause_s * 2)


def write(
    store: row_store.RowStore,
    transaction: row_store.Transaction,
    until_s: float,
) -> result.Result[int, errors.StoreError]:
    """Makes a change; also repeats attempts without an answer.

    After such an attempt, only success or a conflict tells the outcome.
    """
    unknown = None
    pause_s = FIRST_RETRY_S
    while True:
        outcome = write_once(store, transaction, until_s)
        if outcome.is_ok() or isinstance(
            outcome.err_value, row_store.ConflictError
        ):
            return outcome
        if isinstance(outcome.err_value, errors.StoreUnknownError):
            unknown = outcome
        if unknown is None:
            return outcome
        if clock.now_s() + pause_s >= until_s:
            return unknown
        eventlet.sleep(pause_s)
        pause_s = min(MAX_RETRY_S, pause_s * 2)
