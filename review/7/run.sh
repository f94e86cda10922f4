#!/bin/bash
# Exits with 1 if a task runs again after its end was listed, 0 if not, 2 if it could not run.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
