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
# Ports of one run lie within this span.
span=700
play() {
  local output
  output=$(bash soak/soak.sh "$1" "$3" "$4" "$2" 2>&1)
  grep -E '^(FAILED|seed|logs)' <<<"$output"
}
export -f play
seq "$first" $((first + count - 1)) |
  awk -v n="$at_once" -v s="$span" '{print $1, 26000 + s * (NR % (3 * n))}' |
  xargs -P "$at_once" -L 1 bash -c 'play "$0" "$1" '"$seconds $hosts" |
  tee /dev/stderr | { ! grep -q FAILED; }
