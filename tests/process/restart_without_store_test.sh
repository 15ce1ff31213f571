#!/usr/bin/env bash
# A host that starts while it does not reach the store uses an upstream that left,
# since it takes the answer of a peer that has just started too for all that is
# known, or uses none although a peer remembers.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 12700
rules_with "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
site_store
site_host 1 aqp-1
site_host 2 aqp-1
started=$(now_ms)
# lote-1 serves; the test announces it to its host.
site_upstream lote-1 lote 1 --slots 7 --run-log "$dir/runs.log" --daemon 127.0.0.1:1
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 1 1 2
upstreams() { site_status 1 | jq '.upstreams | length'; }

announce false >/dev/null
expect "its departure is acknowledged" "$(announce true)" = 200
# From here on host 2 remembers, also by clocks that differ.
sleep "$(((started + 11000 - $(now_ms)) / 1000 + 1))"
site_store_faults '{"down": true}'
site_kill host1 KILL
wait "${site_pids[host1]}" 2>/dev/null
site_host 1 aqp-1
site_wait_revision 1 1
for ((i = 0; i < 20; i++)); do announce false >/dev/null; sleep 0.1; done
expect "the upstream that left is not used" "$(upstreams)" = 0
for ((i = 0; i < 20; i++)); do announce false 2 >/dev/null; sleep 0.1; done
expect "its next start is used, since a peer remembers" "$(upstreams)" = 1
site_kill host2 KILL
site_kill host1 KILL
wait "${site_pids[host1]}" "${site_pids[host2]}" 2>/dev/null
site_host 1 aqp-1
site_host 2 aqp-1
for ((i = 0; i < 30; i++)); do announce false 2 >/dev/null; sleep 0.1; done
expect "none is used while nobody remembers" "$(upstreams)" = 0
site_store_faults '{}'
for ((i = 0; i < 40; i++)); do announce false 2 >/dev/null; sleep 0.1; done
expect "it is used again when the store is back" "$(upstreams)" = 1
finish
