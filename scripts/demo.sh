#!/usr/bin/env bash
# Set up and run the main job: a small fleet that serves each kind of request.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/setup.sh
exec "${MARTENQUAY_VENV:-.venv}/bin/python" -m martenquay_standins.demo "$@"
