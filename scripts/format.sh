#!/usr/bin/env bash
# Formats all sources in place.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.hpp' '*.cpp' '*.ipp' \
    | xargs clang-format -i
