#!/usr/bin/env bash
# Compares the gateways' routing policies and queue orders, with fixed seeds.
# Usage: measure-requests.sh [BUILD_FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 Meta/measure_requests.py "${1:-Build}"
