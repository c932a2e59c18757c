#!/usr/bin/env bash
# Measures how processor time, message sizes and memory grow with the numbers of
# calls, members, records and the like. Prints a line for each of them:
# slope=NAME value=X unit=U intercept=X sizes=A,B,C error_percent=X
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh build >/dev/null
exec build/capacity-slopes
