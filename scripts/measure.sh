#!/usr/bin/env bash
# Runs all measurements, or only the one called NAME. Usage: measure.sh [NAME]
# Prints measure=NAME policy=NAME value=X unit=U target=X for each figure.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh build >/dev/null
exec python3 scripts/measure.py build "$@"
