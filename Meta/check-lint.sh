#!/usr/bin/env bash
# Runs clang-tidy on every source file of the build; files that were clean with
# the same contents before are skipped.
# The linter reads compile commands of its own, without precompiled headers:
# those of the compiler mean nothing to it.
# Usage: check-lint.sh [BUILD_FOLDER [FILE.cc...]]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-Build}
cache="$build/lint"
flags="$build/lint-flags"
mkdir -p "$cache"
cmake -G Ninja -S . -B "$flags" -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
headers=$(git ls-files -z --cached --others --exclude-standard '*.h' .clang-tidy |
  sort -z | xargs -0 cat | sha256sum | cut -c1-16)
export flags cache headers
lint_one() {
  local stamp
  stamp="$cache/$(cat "$1" - <<<"$headers $1" | sha256sum | cut -c1-32)"
  [ -e "$stamp" ] && return 0
  clang-tidy --quiet -p "$flags" "$1" 2>/dev/null && touch "$stamp"
}
export -f lint_one
shift || true
files=("$@")
if ((${#files[@]} == 0)); then
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc')
fi
printf '%s\0' "${files[@]}" |
  xargs -0 -P "$(nproc)" -I{} bash -c 'lint_one "$1"' _ {}
echo "lint: clean"
