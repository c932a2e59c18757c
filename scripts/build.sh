#!/usr/bin/env bash
# Builds everything. Usage: build.sh [FOLDER [SANITIZERS]]
# FOLDER defaults to build; SANITIZERS is empty, address,undefined or thread.
set -euo pipefail
cd "$(dirname "$0")/.."

folder=${1:-build}
sanitizers=${2:-}
scripts/install-deps.sh
cmake -S . -B "$folder" -G Ninja -DSAMPHIRE_SANITIZE="$sanitizers" >/dev/null
# Each compiler process uses up to 1 GB of memory in sanitizer builds.
ninja -C "$folder" -j "$(nproc)" | tail -n 1
