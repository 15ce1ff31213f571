#!/usr/bin/env bash
# Evidence of crashes that happened in an outage of the store is lost in a restart
# of all hosts after it, or a host that starts in an outage holds requests back.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 11700
rules_with "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
small_site "$dir/rules"
call() {
  curl -s -i --max-time 10 -H 'Authorization: Bearer grower-key' "${@:3}" \
    "http://127.0.0.1:$(site_caller_port "$1")/lote/status/$2"
}
refused() { call "$1" poison -H 'X-Crash: 1' | grep -c crashes_upstreams; }

site_store_faults '{"down": true}'
refused 1 >/dev/null
sleep 1.5
expect "it is refused while the store is down" "$(refused 2)" = 1
site_store_faults '{}'
sleep 3
for number in 1 2 3; do site_kill "host$number" KILL; done
wait "${site_pids[host1]}" "${site_pids[host2]}" "${site_pids[host3]}" 2>/dev/null
site_host 1 aqp-1
site_host 2 aqp-1
site_host 3 aqp-2
site_wait_upstreams 1 1
wait_shares 3
expect "it is refused after a restart of all hosts" "$(refused 3)" = 1
sleep 9
site_store_faults '{"down": true}'
site_kill host3 KILL
wait "${site_pids[host3]}" 2>/dev/null
site_host 3 aqp-2
site_wait_upstreams 3 1
sleep 2
expect "it is refused by a host that starts without the store" "$(refused 3)" = 1
expect "another request is served there" "$(call 3 1 | grep -c '200 OK')" = 1
finish
