#!/usr/bin/env bash
# Plays case 10 and writes record.txt. TROUBLE=0 leaves the disruption out. Exits
# with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.."
program=target/review-2/case10
if [ ! -x "$program" ] || [ ! -x target/apps/kingcupstaird ]; then
  echo "build the deploy file and review/build-2.sh first" >&2
  exit 2
fi
logs=$(mktemp -d) || exit 2
"$program" review/10/record.txt "$logs"
status=$?
rm -rf "$logs"
[ "$status" -le 2 ] || status=2
exit "$status"
