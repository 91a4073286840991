"""How much of a feed is worth reading.

A feed holds each change of a row, a read of the row only the latest. A large
row that changes several times while a VM on a thin link fetches it, or is cut
off, arrives sooner by a read; so does a list whose rows are written again and
again.
"""

from __future__ import annotations

import math

# A row may grow in one change; two changes at least double the feed.
GROWTH_RATIO = 1.9
# Arrives within a second on a thin link, however many changes it holds.
SMALL_BYTES = 524_288


def most_bytes(row_bytes: int) -> int:
    """Returns the size of a feed above which its rows are read instead.

    Args:
      row_bytes: Size of the rows when they were last read, as sent.
    """
    return max(SMALL_BYTES, math.ceil(row_bytes * GROWTH_RATIO))
