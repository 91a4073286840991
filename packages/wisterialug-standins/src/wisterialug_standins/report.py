"""Prints results as a table and writes them as JSON and a bar chart."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import matplotlib as mpl

if TYPE_CHECKING:
    import pathlib

mpl.use("Agg")

# The backend must be selected before pyplot is imported.
from matplotlib import pyplot


def write(
    rows: list[dict], name: str, folder: pathlib.Path, bars: tuple[str, str]
) -> None:
    """Prints rows as a table and writes NAME.json and NAME.png.

    Args:
      rows: Results; each has "way" and the same other columns.
      name: Stem of the files.
      folder: Where to write; created if it does not exist.
      bars: The columns for the groups and the heights of the bars.
    """
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{name}.json").write_text(json.dumps(rows, indent=1))
    print(table(rows))
    _plot(rows, bars, folder / f"{name}.png")


def table(rows: list[dict]) -> str:
    """Returns rows as a Markdown table."""
    columns = list(rows[0])
    lines = ["| " + " | ".join(columns) + " |", "|---" * len(columns) + "|"]
    for row in rows:
        cells = [_cell(row[column]) for column in columns]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _cell(value: object) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def _plot(rows: list[dict], bars: tuple[str, str], file: pathlib.Path) -> None:
    group, height = bars
    groups = list(dict.fromkeys(row[group] for row in rows))
    ways = list(dict.fromkeys(row["way"] for row in rows))
    figure, axes = pyplot.subplots(figsize=(10, 5))
    width = 0.8 / len(ways)
    for number, way in enumerate(ways):
        heights = {row[group]: row[height] for row in rows if row["way"] == way}
        xs = [i + number * width for i in range(len(groups))]
        axes.bar(xs, [heights.get(g, 0) for g in groups], width, label=way)
    axes.set_xticks([i + 0.4 - width / 2 for i in range(len(groups))], groups)
    axes.tick_params(axis="x", labelrotation=20)
    axes.set_ylabel(height)
    axes.legend()
    figure.tight_layout()
    figure.savefig(file)
    pyplot.close(figure)
