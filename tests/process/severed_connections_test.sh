#!/usr/bin/env bash
# Open connections between hosts and to the store go silent for good: a change
# and a departure that follow are missed by hosts that wait on them.
. "$(dirname "$0")/lib.sh"
hosts=4
site_begin "$dir" 6000
rules_with "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
site_store
for number in $(seq $hosts); do
  # The store and the peers reach this host through relays of its own.
  site_store_relay "$number"
  site_relayed_host "$number" aqp-1 --store "$(site_store_relay_address "$number")" \
    --seeds "$(site_relay_address 1),$(site_relay_address 2)"
done
site_upstream lote-1 lote 1 --slots 7 --run-log "$dir/runs.log" --daemon 127.0.0.1:1
site_upstream lote-2 lote 2 --slots 7 --run-log "$dir/runs.log"
site_ctl apply "$dir/rules" >/dev/null
# shellcheck disable=SC2046
site_wait_revision 1 $(seq $hosts)

announce false >/dev/null
site_wait_upstreams 2 2
wait_shares $hosts
site_call --key grower-key --hosts "$(site_hosts 2 3)" --rate 60 --length-ms 9000 \
  --target /lote/status/1 >"$dir/load.json" &
calls=$!
sleep 1
announce false >/dev/null
sleep 1
expect "the upstream is in use at first" "$(runs_after "$dir/runs.log" 0 lote-1)" -gt 0
# The store connection of host 4 stays whole.
for number in $(seq $hosts); do
  site_relay_faults "$number" '{"silence_open":true}'
  [ "$number" = 4 ] || site_store_relay_faults "$number" '{"silence_open":true}'
done
before=$(site_status 1 | jq -r .revision)
sleep 0.3
sed -i "s/rate [0-9]* burst/rate 999 burst/" "$dir/rules"
site_ctl apply "$dir/rules" >/dev/null
confirmed=$(now_ms)
acknowledged="$(announce true)"
left=$(now_ms)
expect "the departure is acknowledged" "$acknowledged" = 200
for number in $(seq $hosts); do
  until [ "$(site_status "$number" | jq -r .revision)" -gt "$before" ]; do
    [ $(($(now_ms) - confirmed)) -gt 5000 ] && break
    sleep 0.02
  done
  echo "host $number: $(($(now_ms) - confirmed)) ms"
done
expect "all hosts have the change within 2 s" $(($(now_ms) - confirmed)) -le 2000
# Each host is asked until those that were suspected have refuted it.
suspected=0
while [ $(($(now_ms) - confirmed)) -lt 5000 ]; do
  for number in $(seq $hosts); do
    suspected=$((suspected + $(site_status "$number" | jq '[.hosts[] | select(.liveness != "alive")] | length')))
  done
done
wait "$calls"
expect "nothing reaches the upstream 2 s after its departure" \
  "$(runs_after "$dir/runs.log" $((left + 2000)) lote-1)" = 0
expect "no host that runs is suspected" "$suspected" = 0
expect "requests are served" "$(runs_after "$dir/runs.log" $((left + 2000)) lote-2)" -gt 60
finish
