"""Entry point of the wisterialug command line."""

from __future__ import annotations

import argparse
import os
import sys
from typing import TYPE_CHECKING

from wisterialug_cli import (
    client,
    errors,
    log_commands,
    output,
    table_commands,
    work_commands,
)
from wisterialug_core import settings
from wisterialug_core.schema import settings_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="wisterialug", description="Operate a wisterialug system."
    )
    settings.SettingsReader(settings_pb2.ClientSettings).add_flags(parser)
    parser.add_argument("--output", choices=("text", "json"), default="text")
    commands = parser.add_subparsers(dest="command", required=True)
    table_commands.add_parsers(commands)
    work_commands.add_parsers(commands)
    log_commands.add_parsers(commands)
    return parser


def run(argv: Sequence[str], env: Mapping[str, str]) -> int:
    """Runs one command; returns the exit code."""
    args = build_parser().parse_args(argv)
    if "run_locally" in args:
        return _execute(args, lambda: args.run_locally(args))
    reader = settings.SettingsReader(settings_pb2.ClientSettings)
    cfg = reader.read(args, env)
    if cfg.is_err():
        for fault in cfg.err_value:
            print(f"wisterialug: {fault}", file=sys.stderr)
        return errors.ExitCode.USAGE
    return _execute(args, lambda: args.run(client.Client(cfg.ok_value), args))


def _execute(args: argparse.Namespace, command: Callable[[], object]) -> int:
    """Runs a command and prints its result; returns the exit code."""
    try:
        result = command()
    except errors.CliError as exc:
        print(f"wisterialug: {exc.title}", file=sys.stderr)
        for detail in exc.details:
            print(f"  {detail}", file=sys.stderr)
        return exc.code
    if result is not None:
        output.show(result, args.output)
    return errors.ExitCode.OK


def main() -> int:
    """Runs the command given in sys.argv."""
    return run(sys.argv[1:], os.environ)


if __name__ == "__main__":
    sys.exit(main())
