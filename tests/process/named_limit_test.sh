#!/usr/bin/env bash
# An upstream gets more requests than the limit that it names in its responses,
# also while its host restarts.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 10000
rules_with "$(organisation growers 2000 2000 grower-key)" >"$dir/rules"
small_site "$dir/rules"

# most_in_window ID MS FROM TO: the most runs of an upstream in a window of that
# length, between two times.
most_in_window() {
  awk -v id="$1" -v span="$2" -v from="$3" -v to="$4" '
    $2 == id && $1 >= from && $1 <= to {
      at[n++] = $1
      while (first < n && at[first] <= $1 - span) first++
      if (n - first > most) most = n - first
    } END {print most + 0}' "$dir/runs.log"
}

# limits NAME LIMIT: names a limit, or none if it is empty.
limits() { site_faults "$1" "{\"rate_limit\":\"$2\"}"; }

# Longer than all that follows, also while hosts start slowly.
load_ms=30000
begun=$(now_ms)
site_call --key grower-key --hosts "$(site_hosts 2 3)" --target /lote/status/1 --rate 60 --length-ms "$load_ms" \
  --order-prefix limit >"$dir/calls.json" &
calls=$!
sleep 3
limits lote-1 2
limits lote-3 0.5
# As long as a host may take to pass a limit on.
sleep 3
from=$(now_ms)
sleep 6
# The hosts that were told are bound while the upstream's host has lost it.
site_stop host1
site_host 1 aqp-1
sleep 6
until=$(now_ms)
limits lote-1 ""
limits lote-3 ""
sleep 3
lifted=$(now_ms)
sleep 2.6
end=$(now_ms)
wait "$calls"

# Half as much again and five requests are tolerated.
expect "lote-1 gets what it takes" "$(most_in_window lote-1 4000 "$from" "$until")" -le 17
expect "lote-3 gets what it takes" "$(most_in_window lote-3 4000 "$from" "$until")" -le 8
expect "lote-1 is not given up" "$(awk -v f="$from" -v u="$until" '$2 == "lote-1" && $1 >= f && $1 <= u' "$dir/runs.log" | wc -l)" -ge 10
expect "lote-3 is not given up" "$(awk -v f="$from" -v u="$until" '$2 == "lote-3" && $1 >= f && $1 <= u' "$dir/runs.log" | wc -l)" -ge 3
expect "requests came to the end of the last window" $((end - begun)) -le "$load_ms"
expect "lote-1 is used as before when it names no limit" "$(most_in_window lote-1 2600 "$lifted" "$end")" -ge 30
served=$(jq ".status[\"200\"]" "$dir/calls.json")
expect "requests go to the upstreams that have room" "$served" -ge 1731
finish
