"""Which VMs relay calls to the store.

The load that it answers: the store turns VMs away, or seems to, and each of
them fetches a megabyte through others. A VM on a thin link that relays it
receives it for itself as well, and needs several times as long.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

# Links of at least this share of the widest one count as wide.
WIDE_SHARE = 0.5
# VMs that failed as a relay come after the others for this long.
FAILED_S = 3.0


class Peer(NamedTuple):
    """Another VM.

    Attributes:
      link_kbps: Capacity of its link; 0 if it is not known.
      nearby: It is in the same data centre.
    """

    address: str
    link_kbps: int
    nearby: bool = False


class RelayChoice:
    """Orders the VMs that may relay a call."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # VMs list each other in the same order, but must not meet at one relay.
        self._places: dict[str, float] = {}
        self._failed_until_s: dict[str, float] = {}
        self._latest = ""

    @property
    def latest(self) -> str:
        """Returns the VM that responded last; empty if it has failed since."""
        return self._latest

    def candidates(
        self, peers: Iterable[Peer], now_s: float, count: int
    ) -> list[str]:
        """Returns the addresses to be tried, in order.

        Sound VMs come before those that have just failed, then wide links
        before thin ones, then the VM that responded last. VMs of this data
        centre and of others take turns: either may be out of reach.
        """
        peers = list(peers)
        widest = max((peer.link_kbps for peer in peers), default=0)

        def rank(peer: Peer) -> tuple[bool, bool, bool, float]:
            return (
                now_s < self._failed_until_s.get(peer.address, now_s),
                peer.link_kbps < widest * WIDE_SHARE,
                peer.address != self._latest,
                self._places.setdefault(peer.address, self._rng.random()),
            )

        ordered = sorted(peers, key=rank)
        return [peer.address for peer in _alternate(ordered)][:count]

    def note(self, address: str, now_s: float, *, responded: bool) -> None:
        """Notes whether a VM has relayed a call."""
        if responded:
            self._latest = address
            self._failed_until_s.pop(address, None)
            return
        self._failed_until_s[address] = now_s + FAILED_S
        if address == self._latest:
            self._latest = ""


def _alternate(peers: list[Peer]) -> list[Peer]:
    """Lets nearby and remote VMs take turns, each kind in its order."""
    if not peers:
        return []
    kinds = [
        [peer for peer in peers if peer.nearby is nearby]
        for nearby in (peers[0].nearby, not peers[0].nearby)
    ]
    pairs = itertools.zip_longest(*kinds)
    return [peer for pair in pairs for peer in pair if peer is not None]
