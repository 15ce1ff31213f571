#!/usr/bin/env bash
# Builds everything into build/; arguments are further targets.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >build.log 2>&1 || { cat build.log; exit 1; }
ninja -C build "$@" >>build.log 2>&1 || { tail -n 60 build.log; exit 1; }
