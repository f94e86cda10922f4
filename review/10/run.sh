#!/bin/bash
# Exits with 1 if an accepted job is answered 410 to its caller, 0 if not, 2 if it could not run.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
