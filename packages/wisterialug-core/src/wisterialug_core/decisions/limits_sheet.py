"""CSV import and export of the table of weights and limits."""

from __future__ import annotations

import csv
import dataclasses
import io
from typing import TYPE_CHECKING

import result

from wisterialug_core import errors, settings
from wisterialug_core.decisions import config_state
from wisterialug_core.schema import config_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wisterialug_core import ids

KEY_COLUMNS = ("customer", "kind", "name")
KINDS = ("customer", "team", "service", "batch")
# Lowest and highest value of each numeric column, in the unit of its name.
CELL_BOUNDS: Mapping[str, tuple[int, int]] = {
    "weight": (1, 10_000),
    "max_in_flight": (0, 1_000_000),
    "max_queue": (0, 1_000_000),
    "max_rate_per_s": (0, 1_000_000),
    "cpu_millicores": (0, 2_000_000_000),
    "memory_mib": (0, 2_000_000_000),
    "accelerators": (0, 100_000),
    "latency_target_ms": (1, 600_000),
}
BYTE_ORDER_MARK = "\ufeff"
COLUMNS = KEY_COLUMNS + tuple(CELL_BOUNDS)


@dataclasses.dataclass(frozen=True)
class Sheet:
    """A parsed sheet.

    Attributes:
      rows: Rows by key; each maps columns to cell texts.
      notes: Deviations from the format of an exported sheet.
    """

    rows: dict[ids.RowKey, dict[str, str]]
    notes: tuple[str, ...] = ()


def export(rows: Iterable[config_pb2.LimitRow]) -> str:
    """Returns rows as CSV with a header."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(COLUMNS)
    for row in rows:
        cells = [getattr(row, column) for column in KEY_COLUMNS]
        for column in CELL_BOUNDS:
            cells.append(getattr(row, column) if row.HasField(column) else "")
        writer.writerow(cells)
    return out.getvalue()


def parse(text: str) -> result.Result[Sheet, list[errors.CellError]]:
    """Parses a CSV sheet; the error lists all invalid cells at once.

    Spreadsheet programs may write a byte-order mark, and semicolons where the
    comma is the decimal sign; both are accepted.
    """
    notes = []
    if text.startswith(BYTE_ORDER_MARK):
        text = text.removeprefix(BYTE_ORDER_MARK)
        notes.append("a byte-order mark")
    delimiter = ","
    if ";" in text.partition("\n")[0]:
        delimiter = ";"
        notes.append("semicolon separators")
    reader = csv.DictReader(io.StringIO(text), delimiter=delimiter)
    header = tuple(reader.fieldnames or ())
    unknown = [name for name in header if name not in COLUMNS]
    missing = [name for name in KEY_COLUMNS if name not in header]
    if unknown or missing:
        value = ",".join(header)
        error = errors.CellError("1", "header", value, ",".join(COLUMNS))
        return result.Err([error])
    rows: dict[ids.RowKey, dict[str, str]] = {}
    invalid: list[errors.CellError] = []
    for raw in reader:
        line = str(reader.line_num)
        if None in raw or None in raw.values():
            invalid.append(
                errors.CellError(
                    line, "row", "", f"{len(header)} cells per row"
                )
            )
            continue
        cells = {name: cell.strip() for name, cell in raw.items()}
        invalid.extend(check_cells(line, cells))
        key = config_state.limit_key(*(cells[name] for name in KEY_COLUMNS))
        if key in rows:
            invalid.append(
                errors.CellError(line, "name", cells["name"], "one row per key")
            )
        rows[key] = cells
    return (
        result.Err(invalid) if invalid else result.Ok(Sheet(rows, tuple(notes)))
    )


def check_cells(row: str, cells: Mapping[str, str]) -> list[errors.CellError]:
    """Returns an error for each invalid cell of a row."""
    invalid = []
    for column in KEY_COLUMNS:
        value = cells.get(column, "")
        if not settings.NAME_PATTERN.fullmatch(value):
            allowed = "1 to 63 letters, digits, '.', '_' or '-'"
            invalid.append(errors.CellError(row, column, value, allowed))
    if cells.get("kind") not in KINDS:
        invalid.append(
            errors.CellError(
                row, "kind", cells.get("kind", ""), "one of " + ", ".join(KINDS)
            )
        )
    elif cells["kind"] == "customer" and cells["name"] != cells["customer"]:
        invalid.append(
            errors.CellError(
                row, "name", cells["name"], "the customer's own name"
            )
        )
    for column, (low, high) in CELL_BOUNDS.items():
        value = cells.get(column, "")
        allowed = f"empty or a whole number from {low} to {high}"
        if value and not _is_int_in_range(value, low, high):
            invalid.append(errors.CellError(row, column, value, allowed))
    return invalid


def diff(
    base: Sheet, edited: Sheet, *, delete_missing: bool = True
) -> list[config_pb2.CellChange]:
    """Returns the changed cells, each with the value it was edited from."""
    changes = []
    for key, cells in edited.rows.items():
        old = base.rows.get(key)
        if old is None:
            changes.append(_change(key, config_state.ROW_COLUMN, "", "present"))
        for column in CELL_BOUNDS:
            before = (old or {}).get(column, "")
            after = cells.get(column, before)
            if before != after:
                changes.append(_change(key, column, before, after))
    if delete_missing:
        for key in base.rows.keys() - edited.rows.keys():
            changes.append(_change(key, config_state.ROW_COLUMN, "present", ""))
    return changes


def changed_rows(
    state: config_state.ConfigState,
    changes: Iterable[config_pb2.CellChange],
) -> result.Result[list[config_pb2.ConfigRow], list[errors.CellError]]:
    """Returns the rows that cell changes give, or all invalid cells."""
    rows: dict[ids.RowKey, config_pb2.ConfigRow] = {}
    invalid: list[errors.CellError] = []
    for change in changes:
        row = rows.get(change.key) or _row_for(state, change.key)
        rows[change.key] = row
        if change.column == config_state.ROW_COLUMN:
            row.deleted = not change.value
        elif change.column in CELL_BOUNDS:
            low, high = CELL_BOUNDS[change.column]
            if not change.value:
                row.limit.ClearField(change.column)
            elif _is_int_in_range(change.value, low, high):
                setattr(row.limit, change.column, int(change.value))
            else:
                allowed = f"empty or a whole number from {low} to {high}"
                invalid.append(
                    errors.CellError(
                        change.key, change.column, change.value, allowed
                    )
                )
        else:
            invalid.append(
                errors.CellError(
                    change.key,
                    change.column,
                    change.value,
                    "one of the columns " + ", ".join(CELL_BOUNDS),
                )
            )
    for key, row in rows.items():
        invalid.extend(
            check_cells(
                key, {name: getattr(row.limit, name) for name in KEY_COLUMNS}
            )
        )
    return result.Err(invalid) if invalid else result.Ok(list(rows.values()))


def _row_for(
    state: config_state.ConfigState, key: ids.RowKey
) -> config_pb2.ConfigRow:
    row = config_pb2.ConfigRow(key=key)
    existing = state.get(key)
    if existing is not None:
        row.limit.CopyFrom(existing.limit)
        return row
    parts = key.split("/")
    if len(parts) == 4 and parts[0] == "limit":
        _, row.limit.customer, row.limit.kind, row.limit.name = parts
    return row


def _change(
    key: ids.RowKey, column: str, base: str, value: str
) -> config_pb2.CellChange:
    return config_pb2.CellChange(key=key, column=column, base=base, value=value)


def _is_int_in_range(text: str, low: int, high: int) -> bool:
    return text.isascii() and text.isdigit() and low <= int(text) <= high
