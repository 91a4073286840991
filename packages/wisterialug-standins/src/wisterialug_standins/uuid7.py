"""UUIDs of version 7 (RFC 9562), as callers generate them."""

from __future__ import annotations

import secrets
import time
import uuid


def make(unix_ms: int | None = None) -> str:
    """Returns a new UUID of version 7 for a time, by default now."""
    timestamp_ms = int(time.time() * 1000) if unix_ms is None else unix_ms
    value = timestamp_ms << 80 | secrets.randbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))
