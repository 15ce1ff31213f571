#!/usr/bin/env bash
# Plays seeds of the soak, a few at a time, and prints a verdict for each.
#
#   soak/seeds.sh FIRST COUNT [SECONDS] [HOSTS] [AT-ONCE]
set -u
cd "$(dirname "$0")/.."
first="$1"
count="$2"
seconds="${3:-20}"
hosts="${4:-4}"
at_once="${5:-3}"
. scripts/lib/site.sh
play() {
  local output
  output=$(bash soak/soak.sh "$1" "$3" "$4" "$2" 2>&1)
  grep -E '^(FAILED|seed|logs)' <<<"$output"
}
export -f play
seq "$first" $((first + count - 1)) |
  awk -v n="$at_once" -v s="$site_port_span" '{print $1, 11000 + s * (NR % (3 * n))}' |
  xargs -P "$at_once" -L 1 bash -c 'play "$0" "$1" '"$seconds $hosts" |
  tee /dev/stderr | { ! grep -q FAILED; }
