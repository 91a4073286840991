#!/bin/sh
# Checks the stand-ins that the scripts of cases 6 to 10 start: plain Python, from
# the standard library only, so that nothing is built.
set -e
cd "$(dirname "$0")"
for file in standins2/*.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
