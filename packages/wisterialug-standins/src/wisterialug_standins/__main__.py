"""Serves stand-ins: python -m wisterialug_standins SPECIFICATION."""

from __future__ import annotations

from wisterialug_daemon import hub

hub.install()

# The standard library must be patched before these are imported.
import argparse  # noqa: E402

from wisterialug_standins import host  # noqa: E402


def main() -> None:
    """Serves the stand-ins of a specification until the parent exits."""
    parser = argparse.ArgumentParser(prog="wisterialug_standins")
    parser.add_argument("specification", help="JSON list of stand-ins")
    host.run(parser.parse_args().specification)


if __name__ == "__main__":
    main()
