#!/usr/bin/env bash
# Regenerates the committed code from the schema; needs requirements.txt.
set -euo pipefail
cd "$(dirname "$0")"
out=${1:-../packages/wisterialug-core/src}
python3 -m grpc_tools.protoc -I . \
  --python_out="$out" --pyi_out="$out" --grpclib_python_out="$out" \
  wisterialug_core/schema/*.proto
rm -f "$out"/wisterialug_core/schema/{options,settings,config,work,workflow}_grpc.py
