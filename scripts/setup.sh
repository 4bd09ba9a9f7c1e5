#!/usr/bin/env bash
# Make a virtual environment with everything pinned, once.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="${MARTENQUAY_VENV:-.venv}"
stamp="$venv/.martenquay-$(cat requirements*.txt packages/*/pyproject.toml platform/pyproject.toml | sha256sum | cut -c1-16)"
if [ ! -e "$stamp" ]; then
  [ -x "$venv/bin/python" ] || python3 -m venv "$venv"
  "$venv/bin/pip" install --quiet --disable-pip-version-check -r requirements.txt \
    -r requirements-dev.txt
  "$venv/bin/pip" install --quiet --disable-pip-version-check --no-deps \
    --no-build-isolation -e packages/core -e packages/daemon \
    -e packages/client -e packages/standins -e platform
  touch "$stamp"
fi
