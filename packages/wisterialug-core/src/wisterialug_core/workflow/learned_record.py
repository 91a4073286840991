"""Keeps what a shard has learned within a row of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisterialug_core.schema import workflow_pb2

# Estimates are left out in steps of this part: sizes differ by name.
STEP_SHARE = 8


def fit(message: workflow_pb2.Effects, max_bytes: int) -> int:
    """Leaves out the estimates learned longest ago until a record fits.

    Args:
      message: The record, each list with the latest estimate last; changed in
        place.
      max_bytes: What it may take.

    Returns:
      How many estimates were left out.
    """
    left_out = 0
    while message.ByteSize() > max_bytes:
        before = _count(message)
        for estimates in (message.pairs, message.durations):
            del estimates[: -(-len(estimates) // STEP_SHARE)]
        kept = {pair.serving_image for pair in message.pairs}
        for image in [i for i in message.floors_ms if i not in kept]:
            del message.floors_ms[image]
        left_out += before - _count(message)
    return left_out


def _count(message: workflow_pb2.Effects) -> int:
    return len(message.pairs) + len(message.durations) + len(message.floors_ms)
