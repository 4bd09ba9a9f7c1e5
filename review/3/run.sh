#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
paths=target/deps:platform/src
for name in core daemon standins; do paths=$paths:packages/$name/src; done
PYTHONPATH=$paths python3 review/3/case.py
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
