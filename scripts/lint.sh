#!/usr/bin/env bash
# Checks the format of all sources and runs the linter over them.
# Usage: lint.sh [FOLDER]   (a configured build folder; default: build)
set -euo pipefail
cd "$(dirname "$0")/.."

folder=${1:-build}
git ls-files '*.hpp' '*.cpp' '*.ipp' | xargs clang-format --dry-run -Werror
git ls-files 'src/*.cpp' 'standins/*.cpp' 'bench/*.cpp' \
    | xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p "$folder" 2>/dev/null
echo "lint: clean"
