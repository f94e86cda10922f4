#!/bin/sh
# Prepares the stand-ins of the cases 11 to 15. They are Python files, like those of
# Tests/System that they use; nothing is compiled, each is only checked.
set -e
cd "$(dirname "$0")/.."
for file in review/stand_in_3.py review/1[1-5]/*.py Tests/System/entry_platform.py \
    Tests/System/cluster.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
