#!/bin/bash
# Prepares the stand-ins of the cases 6 to 10. They are Python scripts, the project's own
# Tests/System/entry_platform.py too, so that there is nothing to compile: this checks that
# Python runs them. The cases start target/kcm-entry, which the build of the deploy file makes.
set -e
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 -c 'import platform_2'
for file in 6 7 8 9 10; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file/case.py"
done
