#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides samphire-relay, which the build
# of deploy/system.toml makes. All stand-ins, the project's own store of scripts/soak
# too, are Python and are only checked here.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/mesh_2.py scripts/soak/site_store.py scripts/soak/http_wire.py \
    review/{6,7,8,9,10}/case.py <<'CHECK'
import os
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path) as file:
            compile(file.read(), path, "exec")
        print("checked", path)
CHECK
