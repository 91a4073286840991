"""Output as text or JSON."""

from __future__ import annotations

import json
import sys


def show(body: object, form: str) -> None:
    """Writes a result to standard output.

    Args:
      body: A JSON value; a list of objects becomes a table.
      form: "text" or "json".
    """
    if form == "json":
        sys.stdout.write(json.dumps(body, indent=2) + "\n")
    elif isinstance(body, list):
        sys.stdout.write(_format_rows(body))
    elif isinstance(body, dict):
        sys.stdout.write(_format_dict(body))
    else:
        sys.stdout.write(f"{body}\n")


def _format_rows(rows: list[dict]) -> str:
    if not rows:
        return "(none)\n"
    columns = list(rows[0])
    cells = [columns] + [[_format(row.get(c)) for c in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    lines = [
        "  ".join(c.ljust(w) for c, w in zip(line, widths, strict=True))
        for line in cells
    ]
    return "".join(line.rstrip() + "\n" for line in lines)


def _format_dict(body: dict) -> str:
    lines = []
    for name, value in body.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            table = _format_rows(value).replace("\n", "\n  ").rstrip()
            lines.append(f"{name}:\n  {table}\n")
        else:
            lines.append(f"{name}: {_format(value)}\n")
    return "".join(lines)


def _format(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(str(part) for part in value) or "-"
    if isinstance(value, dict):
        return ", ".join(f"{k}={v}" for k, v in value.items()) or "-"
    return "-" if value in (None, "") else str(value)
