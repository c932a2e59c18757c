#!/usr/bin/env bash
# Builds and runs every test. Usage: run-tests.sh [FOLDER [SANITIZERS]]
# Tests that KNOWN-RED.txt lists by "test=GROUP.NAME" are run and printed but
# not counted as failures. The last line is "N passed, N failed".
set -euo pipefail
cd "$(dirname "$0")/.."

folder=${1:-build}
sanitizers=${2:-}
scripts/build.sh "$folder" "$sanitizers"

# Sanitizers make the randomized runs about twenty times slower.
if [ -n "$sanitizers" ]; then
    export SAMPHIRE_SEEDS=${SAMPHIRE_SEEDS:-200}
fi
export ASAN_OPTIONS=detect_leaks=1:abort_on_error=1
export UBSAN_OPTIONS=print_stacktrace=1
export TSAN_OPTIONS="suppressions=$PWD/scripts/tsan-suppressions.txt halt_on_error=1"
exec python3 scripts/run_tests.py "$folder"
