#!/usr/bin/env bash
# A request that crashes each upstream that runs it is passed on again after all
# hosts were killed at once, since they have forgotten its crashes.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 12300
rules_with "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
small_site "$dir/rules"

crash() {
  curl -s -i --max-time 10 -H 'Authorization: Bearer grower-key' -H 'X-Crash: 1' \
    "http://127.0.0.1:$(site_caller_port "$1")/lote/status/poison"
}
count_alive() {
  local id alive=0
  for id in lote-1 lote-2 lote-3; do
    curl -s -o /dev/null --max-time 1 "http://127.0.0.1:${site_upstream_ports[$id]}/health" && alive=$((alive + 1))
  done
  echo "$alive"
}
crash 1 >/dev/null
sleep 1.5
crash 2 >"$dir/again"
expect "it is refused after its crashes" "$(grep -c crashes_upstreams "$dir/again")" = 1
expect "an upstream is left" "$(count_alive)" = 1
for number in 1 2 3; do site_kill "host$number" KILL; done
wait "${site_pids[host1]}" "${site_pids[host2]}" "${site_pids[host3]}" 2>/dev/null
site_host 1 aqp-1
site_host 2 aqp-1
site_host 3 aqp-2
site_wait_revision 1 1 2 3
site_wait_upstreams 1 1
wait_shares 3
crash 3 >"$dir/after"
expect "it is refused after a restart of all hosts" "$(grep -c crashes_upstreams "$dir/after")" = 1
expect "the upstream that was left still runs" "$(count_alive)" = 1
finish
