#!/usr/bin/env bash
# Builds everything and runs the demo.
# Usage: demo.sh [BUILD_FOLDER [--keep]]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-Build}
if [ $# -eq 0 ]; then
  Meta/install-packages.sh
  cmake -G Ninja -S . -B "$build" >/dev/null
  ninja -C "$build"
fi
exec python3 Meta/demo.py "$build" "${@:2}"
