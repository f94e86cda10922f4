#!/usr/bin/env bash
# The scripts' stand-ins are Python: review/harness.py and Tests/System/entry_platform.py.
# Nothing is compiled; this checks that the interpreter can load them and that the program
# of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/kcm-entry || {
  echo "target/kcm-entry is missing: run the build of deploy/system.toml first" >&2
  exit 1
}
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path[:0] = ["review", "Tests/System"]
import harness'
