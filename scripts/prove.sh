#!/usr/bin/env bash
# Runs the fault scenarios, or only NAME. Usage: prove.sh [--baseline] [NAME]
# Prints hold=NAME faults=LIST runs=N result=pass|fail for each of them. With
# --baseline the scenarios run without the mechanisms that they test, and each
# must fail.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh build >&2
exec python3 scripts/prove.py build "$@"
