#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 6. They are Python files that use the standard library
# only, so this checks that they compile; nothing is written but into a temporary folder.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
PYTHONPYCACHEPREFIX="$folder" python3 -m compileall -q review/standins2 review/[4-6]/case.py
