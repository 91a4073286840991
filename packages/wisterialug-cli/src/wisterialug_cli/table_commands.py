"""Commands on the table of weights and limits."""

from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

from google.protobuf import json_format

from wisterialug_cli import errors
from wisterialug_core.decisions import limits_sheet

if TYPE_CHECKING:
    import argparse

    from wisterialug_cli import client
    from wisterialug_core.schema import config_pb2

BASE_SUFFIX = ".base"
DEFAULT_WAIT_S = 10.0


def add_parsers(commands: argparse._SubParsersAction) -> None:
    """Adds "table export", "table diff" and "table apply"."""
    table = commands.add_parser("table", help="weights and limits")
    verbs = table.add_subparsers(dest="verb", required=True)
    export = verbs.add_parser("export", help="write the table as CSV")
    export.add_argument(
        "--file",
        help="write to FILE, and to FILE.base as the base for diff and apply",
    )
    export.set_defaults(run=_export)
    for name, run, text in (
        ("diff", _diff, "show what apply would change"),
        ("apply", _apply, "apply the edited cells"),
    ):
        verb = verbs.add_parser(name, help=text)
        verb.add_argument("file", help="the edited CSV")
        verb.add_argument(
            "--base",
            help="the exported CSV (default: FILE.base, else the current one)",
        )
        verb.add_argument("--operator", default="", help="name for the log")
        verb.set_defaults(run=run)
        if name == "apply":
            add_wait_flags(verb)


def add_wait_flags(parser: argparse.ArgumentParser) -> None:
    """Adds --wait and --wait-timeout-s."""
    parser.add_argument(
        "--wait", action="store_true", help="wait until in force everywhere"
    )
    parser.add_argument(
        "--wait-timeout-s", type=float, default=DEFAULT_WAIT_S, metavar="S"
    )


def wait_in_force(
    server: client.Client, args: argparse.Namespace, accepted: dict
) -> dict:
    """Waits for a revision if --wait is set; fails if some VM lacks it."""
    if not args.wait:
        return accepted
    resp = server.post(
        "/v1/in-force",
        {"revision": accepted["revision"], "timeout_s": args.wait_timeout_s},
        extra_timeout_s=args.wait_timeout_s,
    )
    if resp["lagging"] or resp["unreachable"]:
        raise errors.CliError(
            errors.ExitCode.NOT_IN_FORCE,
            f"revision {resp['revision']} is accepted, not in force everywhere",
            [
                "in force: " + ", ".join(resp["in_force"]),
                "lagging: " + ", ".join(resp["lagging"]),
                "unreachable: " + ", ".join(resp["unreachable"]),
            ],
        )
    return resp


def _export(server: client.Client, args: argparse.Namespace) -> object:
    resp = server.get("/v1/table")
    if not args.file:
        sys.stdout.write(resp["csv"])
        return None
    pathlib.Path(args.file).write_text(resp["csv"])
    pathlib.Path(args.file + BASE_SUFFIX).write_text(resp["csv"])
    return {"revision": resp["revision"], "file": args.file}


def _diff(server: client.Client, args: argparse.Namespace) -> object:
    return [
        {
            "row": change.key,
            "column": change.column,
            "from": change.base,
            "to": change.value,
        }
        for change in _changes(server, args)
    ]


def _apply(server: client.Client, args: argparse.Namespace) -> object:
    changes = _changes(server, args)
    resp = server.post(
        "/v1/table/apply",
        {
            "changes": [json_format.MessageToDict(c) for c in changes],
            "operator": args.operator,
        },
    )
    resp = {"changed_cells": len(changes), **resp}
    return wait_in_force(server, args, resp)


def _changes(
    server: client.Client, args: argparse.Namespace
) -> list[config_pb2.CellChange]:
    edited = _parse_sheet(_read_file(args.file))
    if edited.notes:
        print(
            f"wisterialug: {args.file} has {' and '.join(edited.notes)}",
            file=sys.stderr,
        )
    base_file = args.base or args.file + BASE_SUFFIX
    if args.base or pathlib.Path(base_file).exists():
        base = _parse_sheet(_read_file(base_file))
    else:
        base = _parse_sheet(server.get("/v1/table")["csv"])
    return limits_sheet.diff(base, edited)


def _read_file(name: str) -> str:
    try:
        return pathlib.Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.CliError(
            errors.ExitCode.USAGE, f"{name} can't be read", [str(exc)]
        ) from exc


def _parse_sheet(text: str) -> limits_sheet.Sheet:
    parsed = limits_sheet.parse(text)
    if parsed.is_err():
        raise errors.CliError(
            errors.ExitCode.REFUSED,
            "the CSV is invalid",
            [str(fault) for fault in parsed.err_value],
        )
    return parsed.ok_value
