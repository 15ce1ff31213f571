#!/usr/bin/env bash
# A request that crashes each upstream that runs it is refused everywhere after
# the second crash, at once and with the time to come back.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 24000
rules_with "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
small_site "$dir/rules"

crash() {
  curl -s -i --max-time 10 -H 'Authorization: Bearer grower-key' -H 'X-Crash: 1' \
    "http://127.0.0.1:$(site_caller_port "$1")/lote/status/poison"
}
crash 1 >"$dir/first"
sleep 1.5
alive=0
for id in lote-1 lote-2 lote-3; do
  curl -s -o /dev/null --max-time 1 "http://127.0.0.1:${site_upstream_ports[$id]}/health" && alive=$((alive + 1))
done
expect "at most two upstreams were crashed" "$alive" -ge 1
for host in 1 2 3; do
  begun=$(now_ms)
  crash "$host" >"$dir/again.$host"
  expect "host $host refuses it" "$(grep -c crashes_upstreams "$dir/again.$host")" = 1
  expect "host $host says when to come back" "$(grep -c -i '^Retry-After: [1-9]' "$dir/again.$host")" = 1
  expect "host $host answers at once" $(($(now_ms) - begun)) -lt 1000
done
sleep 0.5
still=0
for id in lote-1 lote-2 lote-3; do
  curl -s -o /dev/null --max-time 1 "http://127.0.0.1:${site_upstream_ports[$id]}/health" && still=$((still + 1))
done
expect "no more upstreams were crashed" "$still" = "$alive"
expect "other requests are served" "$(status_of -H 'Authorization: Bearer grower-key' "http://127.0.0.1:$(site_caller_port 2)/lote/status/1")" = 200
finish
