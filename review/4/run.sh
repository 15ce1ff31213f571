#!/usr/bin/env bash
# Plays case 4 and writes record.txt in this folder. TROUBLE=0 leaves the
# disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
export TROUBLE="${TROUBLE:-1}"
exec "$folder/../run_case.sh" 4 "$folder/record.txt"
