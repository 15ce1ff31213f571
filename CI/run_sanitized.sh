#!/usr/bin/env bash
# Builds the decision modules with sanitizers and runs their tests.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-sanitized -G Ninja -DKINGCUPSTAIR_SANITIZE=ON >sanitized.log 2>&1
ninja -C build-sanitized unit_tests >>sanitized.log 2>&1 || { tail -n 40 sanitized.log; exit 1; }
build-sanitized/tests/unit_tests >>sanitized.log 2>&1 || { tail -n 60 sanitized.log; exit 1; }
echo "sanitizers: clean"
