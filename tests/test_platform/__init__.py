"""Tests of the platform adapter, with its directory on the import path."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "platform"))
