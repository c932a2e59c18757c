#!/usr/bin/env bash
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case could not run.
# TROUBLE=0 plays the case without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 115 python3 review/14/play.py
