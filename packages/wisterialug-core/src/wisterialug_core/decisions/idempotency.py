"""Idempotency keys and the records of their requests.

A key is a UUID of version 7, whose first 48 bits are its creation time.  Keys
older than the retention are refused, so that a late retry does not run again
after the record of its key has been deleted.
"""

from __future__ import annotations

import enum
import hashlib
import uuid
from typing import TYPE_CHECKING

import result

from wisterialug_core import errors
from wisterialug_core.schema import work_pb2

if TYPE_CHECKING:
    from collections.abc import Sequence

MS_PER_HOUR = 3_600_000
# Records outlive the last accepted use of their key by this much.
RECORD_MARGIN_MS = MS_PER_HOUR
# How far a caller's clock may run ahead.
FUTURE_TOLERANCE_MS = 300_000
_UUID_VERSION = 7
_TIMESTAMP_SHIFT_BITS = 80


class Verdict(enum.Enum):
    """What to do with a request whose key may have been used."""

    RUN = "run"
    REPLAY = "replay"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"


def key_time_ms(
    text: str, now_ms: int, retention_ms: int
) -> result.Result[int, errors.FieldError]:
    """Returns the creation time in Unix ms of a key that may be used now."""
    allowed = "a UUID of version 7 (RFC 9562)"
    try:
        key = uuid.UUID(text)
    except ValueError:
        return result.Err(errors.FieldError("Idempotency-Key", text, allowed))
    if key.version != _UUID_VERSION:
        return result.Err(errors.FieldError("Idempotency-Key", text, allowed))
    created_ms = key.int >> _TIMESTAMP_SHIFT_BITS
    if not now_ms - retention_ms <= created_ms <= now_ms + FUTURE_TOLERANCE_MS:
        allowed = f"a key created within the last {retention_ms} ms"
        return result.Err(errors.FieldError("Idempotency-Key", text, allowed))
    return result.Ok(created_ms)


def row_key(created_ms: int, customer: str, service: str, key: str) -> str:
    """Returns the row key of a record; rows sort by the hour of creation."""
    digest = hashlib.blake2b(
        "\0".join((customer, service, uuid.UUID(key).hex)).encode(),
        digest_size=16,
    ).hexdigest()
    return f"{hour_prefix(created_ms)}{customer}/{digest}"


def hour_prefix(created_ms: int) -> str:
    """Returns the prefix of all records with keys of the same hour."""
    return f"once/{created_ms // MS_PER_HOUR:010d}/"


def expired_before(now_ms: int, retention_ms: int) -> str:
    """Returns the lowest prefix whose records must still be kept."""
    return hour_prefix(
        now_ms - retention_ms - FUTURE_TOLERANCE_MS - RECORD_MARGIN_MS
    )


def fingerprint(parts: Sequence[bytes]) -> str:
    """Returns a digest of method, path and body."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def judge(
    record: work_pb2.OnceRecord | None, request_fingerprint: str, now_ms: int
) -> Verdict:
    """Decides how to handle a request, given the record of its key.

    A request that was started and has not finished is in progress until its
    timeout and unknown afterwards; in neither case does it run again.
    """
    if record is None:
        return Verdict.RUN
    if record.fingerprint != request_fingerprint:
        return Verdict.MISMATCH
    if record.state == work_pb2.ONCE_STATE_DONE:
        return Verdict.REPLAY
    overdue = now_ms > record.started_unix_ms + record.timeout_ms
    if record.state == work_pb2.ONCE_STATE_UNKNOWN or overdue:
        return Verdict.UNKNOWN
    return Verdict.IN_PROGRESS
