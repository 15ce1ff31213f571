#!/usr/bin/env bash
# An upstream that has said that it leaves, and announces itself no more, is not
# used again after a restart of its host when an earlier announcement of it
# arrives late.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 13000
site_with_announced_upstream
announce false >/dev/null
site_wait_upstreams 2 2
wait_shares 2
announce false >/dev/null
load
expect "the upstream is in use at first" "$(runs_after "$dir/runs.log" 0 lote-1)" -gt 0
expect "its departure is acknowledged" "$(announce true)" = 200
sleep 1
site_kill host1 KILL
wait "${site_pids[host1]}" 2>/dev/null
site_host 1 aqp-1
site_wait_revision 1 1
left=$(now_ms)
expect "the late announcement arrives" "$(announce false)" = 200
sleep 1
load
expect "the upstream that left gets nothing" "$(runs_after "$dir/runs.log" "$left" lote-1)" = 0
announce false 2 >/dev/null
site_wait_upstreams 2 2
announce false 2 >/dev/null
load
expect "its next start is in use" "$(runs_after "$dir/runs.log" "$left" lote-1)" -gt 0
finish
