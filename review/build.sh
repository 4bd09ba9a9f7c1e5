#!/bin/sh
# Checks that the stand-ins, which are Python programs, find all they import in
# what the build of the deploy file has put into target/deps.
cd "$(dirname "$0")/.." || exit 2
paths=target/deps:platform/src
for name in core daemon standins; do paths=$paths:packages/$name/src; done
export PYTHONPATH=$paths:review
for module in martenquay_platform_standins.main harness; do
  python3 -c "import $module" || exit 1
done
