"""Arithmetic on processors, memory and accelerators."""

from __future__ import annotations

from typing import NamedTuple

from wisterialug_core.schema import work_pb2


class Amount(NamedTuple):
    """An amount of each resource of a worker."""

    cpu_millicores: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def plus(self, other: Amount) -> Amount:
        """Returns the sum, resource by resource."""
        return Amount(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Amount) -> Amount:
        """Returns the difference, resource by resource."""
        return Amount(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
        )

    def at_least(self, other: Amount) -> Amount:
        """Returns the larger of both, resource by resource."""
        return Amount(*(max(a, b) for a, b in zip(self, other, strict=True)))

    def fits(self, available: Amount) -> bool:
        """Returns whether this amount fits into an available one."""
        return (
            self.cpu_millicores <= available.cpu_millicores
            and self.memory_mib <= available.memory_mib
            and self.accelerators <= available.accelerators
        )

    def dominant_share(self, total: Amount) -> float:
        """Returns the largest fraction of a total that this amount takes."""
        return max(
            (part / whole if whole else (1.0 if part else 0.0))
            for part, whole in zip(self, total, strict=True)
        )

    def shortage(self, available: Amount) -> str:
        """Returns the first insufficient resource, or ''."""
        for name, need, free in zip(self._fields, self, available, strict=True):
            if need > free:
                return name
        return ""


ZERO = Amount()


def from_message(message: work_pb2.Resources) -> Amount:
    """Converts a message to an amount."""
    return Amount(
        message.cpu_millicores, message.memory_mib, message.accelerators
    )


def to_message(amount: Amount) -> work_pb2.Resources:
    """Converts an amount to a message."""
    return work_pb2.Resources(**amount._asdict())
