#!/usr/bin/env bash
# A reader of the logs that stops reading costs lines, not latency or memory.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 14000
rules_with "$(organisation growers 5000 5000 grower-key)" >"$dir/rules"
# The reader holds the pipe open and takes nothing from it.
mkfifo "$dir/host1.log"
sleep 100 <"$dir/host1.log" &
site_pids[reader]=$!
small_site "$dir/rules"

resident_kb() { awk '/VmRSS/ {print $2}' "/proc/${site_pids[host1]}/status"; }
load() {
  site_call --hosts "$(site_hosts 1)" --key grower-key --rate 150 --length-ms "$2" \
    --order-prefix "$1" --target /lote/status/1 >"$dir/$1.json"
}
load warm 2000
before=$(resident_kb)
# Two lines a request: far more than the 64 KB that a pipe holds.
load long 8000
after=$(resident_kb)
cat "$dir/long.json"
expect "every request was served" "$(jq '.status["200"]' "$dir/long.json")" = "$(jq .sent "$dir/long.json")"
# The budget of lines, 100 a second and kind, held for the whole load is 1 MB.
expect "memory stays ($before KB before, $after KB after)" $((after - before)) -lt 8192
expect "nothing is lost at a host whose logs are read" "$(grep -c 'a run ended' "$dir/host2.log")" -gt 0
kill -KILL "${site_pids[reader]}"
finish
