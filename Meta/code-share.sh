#!/usr/bin/env bash
# Counts code lines by purpose: coordination between nodes, and the rest.
set -euo pipefail
cd "$(dirname "$0")/.."
count() {
  git ls-files "$@" | grep -E '\.(cc|h)$' | xargs -r cat | grep -cvE '^\s*(//|$)' || true
}
coordination=$(count Libraries/LibDispatch Libraries/LibEntry Libraries/LibMember Libraries/LibRequest Libraries/LibSchedule Libraries/LibGang \
  Libraries/LibState 'Libraries/LibNode/log_*' 'Libraries/LibNode/heartbeats*' \
  'Libraries/LibNode/relay_choice*' Services/Relay Services/Scheduler 'Services/Gateway/request*')
tests=$(count Tests)
all=$(count .)
product=$((all - tests))
echo "product: $product lines, of which routing, limits, retries, membership, state, recovery: $coordination ($((100 * coordination / product)) %)"
echo "tests and stand-ins: $tests of $all lines ($((100 * tests / all)) %)"
