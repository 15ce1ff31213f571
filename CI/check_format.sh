#!/usr/bin/env bash
# Checks that all sources are formatted as .clang-format says.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files '*.cc' '*.h' | grep -v '\.capnp\.' |
  xargs clang-format --dry-run --Werror
echo "format: clean"
