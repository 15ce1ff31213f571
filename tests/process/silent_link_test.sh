#!/usr/bin/env bash
# Connections between hosts that go silent for good while new ones work, and
# one-way cuts: nothing doubled, "not run" is true, requests go on.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 23000
rules_with "$(organisation packers 1000 1000 packer-key)" >"$dir/rules"
site_store
site_host 1 aqp-1
site_relayed_host 2 aqp-1
site_upstream lote-1 lote 1 --slots 7 --run-log "$dir/runs.log" --work-ms 30
site_upstream lote-2 lote 2 --slots 7 --run-log "$dir/runs.log" --work-ms 30
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 1 1 2
site_wait_upstreams 1 2
wait_shares 2

site_call --hosts "$(site_hosts 1)" --method POST --target /lote/dispatch \
  --key packer-key --rate 60 --length-ms 14000 --order-prefix o \
  --outcomes-file "$dir/outcomes" >"$dir/o.json" &
run=$!
sleep 2
site_relay_faults 2 '{"silence_open":true}'
sleep 3
# The answers of host 2 are lost, what is sent to it arrives.
site_relay_faults 2 '{"drop_to_client":true}'
sleep 3
site_relay_faults 2 '{}'
sleep 3
before=$(now_ms)
wait "$run"

check_orders "$dir/outcomes"
cat "$dir/o.json"
expect "all orders were answered" "$(jq '.status.cut // 0' "$dir/o.json")" = 0
expect "no order was run twice" "$doubled" = 0
expect "no order said to be not run was run" "$false_not_run" = 0
expect "each order said to be run was run" "$false_ran" = 0
expect "requests are served also while the path is cut" "$(awk -v t="$before" '$1 > t - 5000 && $1 < t - 3000 && $3 == 200' "$dir/outcomes" | wc -l)" -gt 60
expect "the path is used again when it is whole" "$(runs_after "$dir/runs.log" "$before" lote-2)" -gt 0
expect "the time line tells of the lost path" "$(site_ctl timeline | grep -c path_lost)" -gt 0
expect "logs name the request, organisation, step and peer" "$(grep -h 'brought no answer' "$dir"/host1.log | jq -r 'select(.context_map | .request_id and .organisation and .step and .peer) | .level' | grep -c WARN)" -gt 0
finish
