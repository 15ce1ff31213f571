#!/usr/bin/env bash
# The response of a run whose connection went silent after the run was accepted
# came only when the whole wait for a result had passed.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 17000
cat >"$dir/rules" <<RULES
service lote floor 0.5 slots 7 # asked by: test
route POST /lote/dispatch service lote once keyed deadline 12s objective 6s # asked by: test
$(organisation packers 1000 1000 packer-key)
RULES
site_store
# Two addresses of one host would give two connections to it, and runs over the
# earlier one are refused.
seeds="127.0.0.1:17011,127.0.0.1:17025"
site_host 1 aqp-1 --seeds "$seeds"
site_relayed_host 2 aqp-2 --seeds "$seeds"
site_host 3 aqp-1 --seeds "$seeds"
site_host 4 aqp-2 --seeds "$seeds"
site_upstream lote-1 lote 2 --slots 7 --work-ms 1000 --run-log "$dir/runs.log"
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 1 1 2 3 4
site_wait_upstreams 1 1
wait_shares 4

# send ORDER: prints the status and the time in milliseconds.
send() {
  curl -s -o /dev/null -w '%{http_code} %{time_total}\n' -X POST --max-time 15 \
    -H 'Authorization: Bearer packer-key' -H "X-Order: $1" \
    "http://127.0.0.1:$(site_caller_port 1)/lote/dispatch" |
    awk '{printf "%s %d\n", $1, $2 * 1000}'
}
# check NAME: the order NAME is served soon after its run of 1 s has ended.
check() {
  local status took
  read -r status took <"$dir/$1"
  echo "$1: status $status after $took ms"
  expect "$1: the request is served" "$status" = 200
  expect "$1: soon after its run has ended" "$took" -lt 3500
}

send whole >"$dir/whole"
check whole
for trial in 1 2 3 4 5; do
  send "silent-$trial" >"$dir/silent-$trial" &
  request=$!
  sleep 0.4
  site_relay_faults 2 '{"silence_open":true}'
  wait "$request"
  check "silent-$trial"
done
# The ingress is told to stop while the run goes on.
send leaving >"$dir/leaving" &
request=$!
sleep 0.4
site_kill host1 TERM
site_relay_faults 2 '{"silence_open":true}'
wait "$request"
check leaving
expect "each order was run once" "$(sort "$dir/runs.log" | awk '{print $3}' | sort | uniq -c | awk '$1 != 1' | wc -l)" = 0
finish
