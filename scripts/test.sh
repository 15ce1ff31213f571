#!/usr/bin/env bash
# Installs what is needed, builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
CI/run_tests.sh
