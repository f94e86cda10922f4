#!/usr/bin/env bash
# Runs clang-tidy on every source file of the build; files that were clean with
# the same contents are skipped.
# Most of its time goes to library headers, so it reads groups of files of one
# target as a single translation unit. A group that does not compile, for example
# because two files define the same name, is checked file by file.
# clang-tidy cannot read the compiler's precompiled headers, so it gets compile
# commands without them.
# Usage: check-lint.sh [BUILD_FOLDER [FILE.cc...]]; with files, only these are
# checked, each alone.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-Build}
shift || true
cache="$build/lint"
flags="$build/lint-flags"
units="$build/lint-units"
# Large enough to amortise the headers, small enough to keep all cores busy.
files_per_unit=12
mkdir -p "$cache"
cmake -G Ninja -S . -B "$flags" -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
cmake -G Ninja -S . -B "$units" -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON \
  -DCMAKE_UNITY_BUILD=ON -DCMAKE_UNITY_BUILD_BATCH_SIZE=$files_per_unit >/dev/null
headers=$(git ls-files -z --cached --others --exclude-standard '*.h' .clang-tidy Meta/check-lint.sh |
  sort -z | xargs -0 cat | sha256sum | cut -c1-16)
export flags units cache headers

# Succeeds if FILE is clean, now or in an earlier run; prints the findings.
# Usage: tidy FILE SOURCES OPTION..., where FILE consists of SOURCES.
tidy() {
  local stamp
  # shellcheck disable=SC2086  # the sources are words
  stamp="$cache/$(cat $2 - <<<"$headers $*" | sha256sum | cut -c1-32)"
  [ -e "$stamp" ] && return 0
  clang-tidy --quiet --config-file=.clang-tidy "${@:3}" "$1" 2>/dev/null && touch "$stamp"
}

lint_file() { tidy "$1" "$1" -p "$flags"; }

# Only a unit may include source files.
lint_unit() {
  local sources found source status=0
  sources=$(sed -n 's/^#include "\(.*\)"/\1/p' "$1")
  found=$(tidy "$1" "$sources" -p "$units" \
    --checks=-bugprone-suspicious-include) && return 0
  if ! grep -q 'clang-diagnostic-error' <<<"$found"; then
    echo "$found"
    return 1
  fi
  echo "lint: $1 does not compile as one, its files are checked one by one"
  for source in $sources; do
    lint_file "$source" || status=1
  done
  return $status
}

run() { "lint_$1" "$2"; }
export -f tidy lint_file lint_unit run

if (($# > 0)); then
  printf 'file %s\n' "$@"
else
  # Replaces bugprone-suspicious-include, which is disabled for units.
  if git grep -n --untracked '#include ".*\.\(cc\|cpp\|cxx\|c\)"' -- '*.cc' '*.h'; then
    echo "lint: a source file is included"
    exit 1
  fi
  # The parser and the encoder of the library recurse without bound, and the
  # encoder throws on bytes that are not UTF-8.
  if git grep -nE --untracked '([Jj]son::(parse|from_msgpack)|\.dump) *\(' -- \
    Libraries Services platform ':!Libraries/LibCore/json_decode.cc'; then
    echo "lint: core::ParseJson(), ParseMessagePack() and ToJsonText() do this within limits"
    exit 1
  fi
  find "$units" -name 'unity_*.cxx' -size +0 | sed 's/^/unit /'
fi | xargs -P "$(nproc)" -L 1 bash -c 'run "$1" "$2"' _
echo "lint: clean"
