#!/usr/bin/env bash
# Measures the gateways' policies side by side, with fixed seeds.
# Usage: measure-requests.sh [BUILD_FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 Meta/measure_requests.py "${1:-Build}"
