#!/usr/bin/env bash
# Builds, starts one small mesh on loopback, sends real requests, stops it.
# The last line is requests=N whole=N not_run=N unknown=N double_runs=N lost=N.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh build
exec python3 scripts/demo.py build
