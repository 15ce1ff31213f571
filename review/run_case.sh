#!/usr/bin/env bash
# run_case.sh N: plays case N with the programs that were built. Exits with 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
program="target/review/case$1"
if [ ! -x "$program" ] || [ ! -x target/apps/kingcupstaird ]; then
  echo "build the deploy file and review/build.sh first" >&2
  exit 2
fi
logs=$(mktemp -d) || exit 2
"$program" "review/$1" "$logs"
status=$?
rm -rf "$logs"
[ "$status" -le 2 ] || status=2
exit "$status"
