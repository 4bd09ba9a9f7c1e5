#!/usr/bin/env bash
# Set up, check format and lint, and run all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
exec "${MARTENQUAY_VENV:-.venv}/bin/python" scripts/run_tests.py "$@"
