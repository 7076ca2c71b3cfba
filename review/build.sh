#!/usr/bin/env bash
# The stand-ins use the standard library only, so this just compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
