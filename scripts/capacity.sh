#!/usr/bin/env bash
# Measures how processor time, bytes and memory grow with the size. Prints
# slope=NAME value=X unit=U intercept=X sizes=A,B,C error_percent=X
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh build >/dev/null
exec build/capacity-slopes
