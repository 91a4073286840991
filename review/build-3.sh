#!/bin/sh
# Builds the stand-ins of the third review: Python of the standard library only.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/standins3/world.py review/standins3/cases.py
