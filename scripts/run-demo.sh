#!/usr/bin/env bash
# Builds the programs, starts a small mesh on loopback, sends requests through it
# and stops it.
# The last line is requests=N whole=N not_run=N unknown=N double_runs=N lost=N.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh build
exec python3 scripts/demo.py build
