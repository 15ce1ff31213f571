#!/usr/bin/env bash
# Plays the seeds of soak/seeds, one after the other. The ports lie below those
# that the kernel gives to outgoing connections.
set -u
cd "$(dirname "$0")/.."
failed=0
while read -r seed _; do
  bash soak/soak.sh "$seed" 14 3 17000 </dev/null || failed=1
done < <(grep -v '^#' soak/seeds)
exit "$failed"
