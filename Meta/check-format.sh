#!/usr/bin/env bash
# Fails when clang-format would change a source file.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -z --cached --others --exclude-standard '*.cc' '*.h' |
  xargs -0 clang-format --dry-run --Werror
echo "format: clean"
