#!/usr/bin/env bash
# A departure that was acknowledged is not forgotten when all hosts are killed at
# once, and is not acknowledged while nothing would be left of it then.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 4000
site_with_announced_upstream
kill_all_hosts() {
  site_kill host1 KILL
  site_kill host2 KILL
  wait "${site_pids[host1]}" "${site_pids[host2]}" 2>/dev/null
  site_host 1 aqp-1
  site_host 2 aqp-1
  site_wait_revision 1 1 2
}
announce false >/dev/null
site_wait_upstreams 2 2
wait_shares 2
site_store_faults '{"down": true}'
expect "a departure that can't be kept is not acknowledged" "$(announce true)" = 503
site_store_faults '{}'
sleep 3
expect "it is acknowledged once it is kept" "$(announce true)" = 200
kill_all_hosts
left=$(now_ms)
expect "the late announcement arrives" "$(announce false)" = 200
wait_shares 2
announce false >/dev/null
load
expect "others serve" "$(runs_after "$dir/runs.log" "$left" lote-2)" -gt 0
expect "the upstream that left gets nothing" "$(runs_after "$dir/runs.log" "$left" lote-1)" = 0
announce false 2 >/dev/null
site_wait_upstreams 2 2
announce false 2 >/dev/null
load
expect "its next start is in use" "$(runs_after "$dir/runs.log" "$left" lote-1)" -gt 0
finish
