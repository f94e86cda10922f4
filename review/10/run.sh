#!/bin/bash
# Exits with 1 if the job is shown as failed without failed runs, 0 if not, 2 if it could not run.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
