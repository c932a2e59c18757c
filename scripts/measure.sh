#!/usr/bin/env bash
# Runs the measurements, or only the one named. Usage: measure.sh [NAME]
# Prints measure=NAME policy=NAME value=X unit=U target=X for each figure.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh build >/dev/null
exec python3 scripts/measure.py build "$@"
