#!/usr/bin/env bash
# An availability zone or an upstream that is taken out, and an upstream that
# leaves by itself, receive no new work after 5 s, also not from a host that
# was frozen meanwhile; no request is cut, and back in they get work again.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 28000
rules_with "$(organisation growers 2000 2000 grower-key)" >"$dir/rules"
small_site "$dir/rules"

site_call --hosts "$(site_hosts 2 3)" --target /lote/status/1 --key grower-key \
  --rate 100 --length-ms 27000 --order-prefix z >"$dir/z.json" &
run=$!
sleep 1.5
kill -STOP "${site_pids[host1]}"
site_ctl zone out aqp-2 >/dev/null
out=$(now_ms)
sleep 5
kill -CONT "${site_pids[host1]}"
# Host 1 has not heard of the change when these arrive.
for i in $(seq 20); do
  status_of -H 'Authorization: Bearer grower-key' "http://127.0.0.1:$(site_caller_port 1)/lote/status/1" >/dev/null &
  frozen="${frozen:-} $!"
done
wait $frozen
sleep 1
expect "no new work in the zone after 5 s" "$(runs_after "$dir/runs.log" $((out + 5000)) lote-3)" = 0
site_ctl zone in aqp-2 >/dev/null
back=$(now_ms)
sleep 4
expect "the zone gets work again" "$(runs_after "$dir/runs.log" "$back" lote-3)" -gt 0

site_ctl upstream out lote-2 >/dev/null
out=$(now_ms)
sleep 6
expect "no new work for the upstream after 5 s" "$(runs_after "$dir/runs.log" $((out + 5000)) lote-2)" = 0
site_ctl upstream in lote-2 >/dev/null
sleep 1
left=$(now_ms)
# It says that it leaves and still serves for 8 s, so work sent to it would show.
site_kill lote-3 TERM
sleep 7
expect "a leaving upstream gets nothing after 5 s" "$(runs_after "$dir/runs.log" $((left + 5000)) lote-3)" = 0
wait "$run"
cat "$dir/z.json"
expect "every request was served" "$(jq '.status["200"]' "$dir/z.json")" = 2700
finish
