#!/usr/bin/env bash
# Plays the seeds of soak/seeds, one after the other.
set -u
cd "$(dirname "$0")/.."
failed=0
while read -r seed _; do
  bash soak/soak.sh "$seed" 14 3 12000 </dev/null || failed=1
done < <(grep -v '^#' soak/seeds)
exit "$failed"
