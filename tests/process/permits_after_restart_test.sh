#!/usr/bin/env bash
# All hosts are killed at once and started again: nobody lent a share for the
# lifetime of a loan. The pool's host has all hosts drop the loans of the former
# processes, and the organisation still gets no more than its rate and burst.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 10600
rate=100
burst=20
rules_with "$(organisation growers $rate $burst grower-key)" >"$dir/rules"
small_site "$dir/rules"
wait_shares 3

# shellcheck disable=SC2046
site_call --hosts "$(site_hosts 1 2 3)" --target /lote/status/1 --key grower-key \
  --rate 300 --length-ms 9000 --order-prefix f >"$dir/flood.json" 2>/dev/null &
flood=$!
sleep 2
for number in 1 2 3; do site_kill "host$number" KILL; done
: >"$dir/before"
for number in 1 2 3; do cat "$dir/host$number.log" >>"$dir/before"; done
swept_before=$(grep -c '"loans_swept"' "$dir/before")
site_host 1 aqp-1
site_host 2 aqp-1
site_host 3 aqp-2
wait "$flood"

excess=$(sort -n "$dir/runs.log" | awk -v r=$rate -v b=$burst '
  NR == 1 { level = b; last = $1; worst = 0 }
  { level += r * ($1 - last) / 1000; if (level > b) level = b; last = $1
    level -= 1; if (-level > worst) worst = -level }
  END { printf "%d", worst + 0.999 }')
jq -c . "$dir/flood.json"
grep -h '"loans_swept"' "$dir"/host?.log
expect "the blocks of restarted lenders ended by a sweep" \
  "$(cat "$dir"/host?.log | grep -c '"loans_swept"')" -gt "$swept_before"
expect "no window is above rate and burst" "$excess" -le 0
finish
