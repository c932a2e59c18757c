#!/usr/bin/env bash
# Runs the fault scenarios. Usage: prove.sh [--baseline] [NAME]
# One line each: hold=NAME faults=LIST runs=N result=pass|fail. With --baseline
# the same scenarios run without the mechanisms and must fail.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh build >&2
exec python3 scripts/prove.py build "$@"
