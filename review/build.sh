#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library only; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py [0-9]*/*.py; do
    python3 - "$file" <<'CHECK'
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
CHECK
done
