"""The replicated config: rows, deltas and conflict detection.

A state is fully determined by its revision, since each accepted change
is one transaction that raises the revision by one.  A delta holds every
row that changed after its base, so that applying it to any state between
the base and the target gives the target.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import result

from wisterialug_core import errors
from wisterialug_core.schema import config_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisterialug_core import ids
    from wisterialug_core.schema import work_pb2

# Drains of this kind are evacuations: no VM of the data centre gets new work.
DATA_CENTRE_KIND = "data-centre"


def limit_key(customer: str, kind: str, name: str) -> ids.RowKey:
    """Returns the key of a row of weights and limits."""
    return f"limit/{customer}/{kind}/{name}"


def service_key(customer: str, name: str) -> ids.RowKey:
    """Returns the key of a service."""
    return f"service/{customer}/{name}"


def drain_key(kind: str, target: str) -> ids.RowKey:
    """Returns the key of a drain order."""
    return f"drain/{kind}/{target}"


@dataclasses.dataclass
class ConfigState:
    """All config rows at one revision."""

    revision: int = 0
    rows: dict[ids.RowKey, config_pb2.ConfigRow] = dataclasses.field(
        default_factory=dict
    )

    def get(self, key: ids.RowKey) -> config_pb2.ConfigRow | None:
        """Returns a row unless it is absent or deleted."""
        row = self.rows.get(key)
        return None if row is None or row.deleted else row

    def live_rows(self, prefix: str = "") -> list[config_pb2.ConfigRow]:
        """Returns the rows under a prefix that are not deleted, by key."""
        return [
            row
            for key, row in sorted(self.rows.items())
            if key.startswith(prefix) and not row.deleted
        ]

    def delta_since(self, base: int) -> config_pb2.ConfigDelta:
        """Returns all rows that changed after a revision."""
        return config_pb2.ConfigDelta(
            base_revision=base,
            revision=self.revision,
            rows=[row for row in self.rows.values() if row.revision > base],
        )

    def apply(
        self, delta: config_pb2.ConfigDelta
    ) -> result.Result[bool, errors.RevisionGapError]:
        """Applies a delta as a whole.

        Args:
          delta: Rows changed after its base; base and target may both lie
            before the applied revision.

        Returns:
          Whether the state changed, or an error if the delta starts after
          the applied revision, as rows in between would be missed.
        """
        if delta.revision <= self.revision:
            return result.Ok(False)
        if delta.base_revision > self.revision:
            return result.Err(
                errors.RevisionGapError(
                    f"delta starts at revision {delta.base_revision},"
                    f" applied revision is {self.revision}"
                )
            )
        for row in delta.rows:
            current = self.rows.get(row.key)
            if current is None or current.revision < row.revision:
                self.rows[row.key] = row
        self.revision = delta.revision
        return result.Ok(True)

    def limit(
        self, customer: str, kind: str, name: str
    ) -> config_pb2.LimitRow | None:
        """Returns one row of weights and limits."""
        row = self.get(limit_key(customer, kind, name))
        return None if row is None else row.limit

    def service(self, customer: str, name: str) -> config_pb2.Service | None:
        """Returns a service of a customer."""
        row = self.get(service_key(customer, name))
        return None if row is None else row.service

    def has_customer(self, customer: str) -> bool:
        """Returns whether the table has a row for the customer."""
        return self.get(limit_key(customer, "customer", customer)) is not None

    def drained(self, kind: str) -> set[str]:
        """Returns the ids of the drained targets of one kind."""
        rows = self.live_rows(f"drain/{kind}/")
        return {row.drain.id for row in rows}

    def drained_vms(self, kind: str, vms: Iterable[work_pb2.Vm]) -> set[str]:
        """Returns the ids of those VMs that are to get no new work.

        Either they are drained themselves, or their data centre is evacuated.
        """
        drained = self.drained(kind)
        evacuated = self.drained(DATA_CENTRE_KIND)
        return {
            vm.id
            for vm in vms
            if vm.id in drained or vm.data_centre in evacuated
        }


def conflicts(
    state: ConfigState, changes: Iterable[config_pb2.CellChange]
) -> list[errors.CellConflictError]:
    """Returns conflicts with changes by other operators.

    Args:
      state: The newest accepted config.
      changes: Proposed cells of the table of weights and limits.

    Returns:
      One conflict for each cell that has neither its base value nor the
      proposed value.
    """
    found = []
    for change in changes:
        current = cell_text(state.get(change.key), change.column)
        if current not in (change.base, change.value):
            found.append(
                errors.CellConflictError(
                    change.key,
                    change.column,
                    change.base,
                    current,
                    change.value,
                )
            )
    return found


def cell_text(row: config_pb2.ConfigRow | None, column: str) -> str:
    """Returns a cell as text; a missing row or empty cell is ''."""
    if row is None or row.deleted:
        return ""
    if column == ROW_COLUMN:
        return ROW_PRESENT
    if not row.limit.HasField(column):
        return ""
    return str(getattr(row.limit, column))


def next_delta(
    state: ConfigState, rows: Iterable[config_pb2.ConfigRow]
) -> config_pb2.ConfigDelta:
    """Returns the delta that sets rows in the next revision."""
    revision = state.revision + 1
    delta = config_pb2.ConfigDelta(
        base_revision=state.revision, revision=revision
    )
    for row in rows:
        copy = delta.rows.add()
        copy.CopyFrom(row)
        copy.revision = revision
    return delta


# Column name of a change that adds or deletes a whole row.
ROW_COLUMN = "row"
ROW_PRESENT = "present"
