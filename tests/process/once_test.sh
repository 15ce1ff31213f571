#!/usr/bin/env bash
# At most once, and "not run" is true: hosts killed, frozen and continued,
# upstreams that cut connections, while orders that may not be repeated run.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 22000
rules_with "$(organisation packers 1000 1000 packer-key)" >"$dir/rules"
small_site "$dir/rules"

orders() {
  site_call --hosts "$(site_hosts 1 2)" --method POST --target /lote/dispatch \
    --key packer-key --rate 60 --length-ms 12000 --order-prefix "$1" \
    --outcomes-file "$dir/outcomes.$1" >"$dir/$1.json"
}
orders a &
run=$!
sleep 1
site_faults lote-2 '{"cut":true}'
sleep 1
site_faults lote-2 '{}'
kill -STOP "${site_pids[host3]}"
sleep 2
kill -CONT "${site_pids[host3]}"
sleep 1
site_kill host3 KILL
sleep 1
site_host 3 aqp-2
sleep 1
kill -STOP "${site_pids[lote-1]}"
sleep 1
kill -CONT "${site_pids[lote-1]}"
wait "$run"
sleep 1

check_orders "$dir/outcomes.a"
cat "$dir/a.json"
expect "all orders were answered" "$(jq '.status.cut // 0' "$dir/a.json")" = 0
expect "no order was run twice" "$doubled" = 0
expect "no order said to be not run was run" "$false_not_run" = 0
expect "each order said to be run was run" "$false_ran" = 0
expect "nobody got another's answer" "$(jq .answered_wrongly "$dir/a.json")" = 0
expect "most orders were served" "$(jq '.status["200"]' "$dir/a.json")" -ge 500
finish
