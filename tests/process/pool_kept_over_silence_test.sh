#!/usr/bin/env bash
# Open connections between hosts go silent for good: the host that grants permits
# runs and is suspected, the pool of rates moves from host to host, and requests
# are refused meanwhile.
. "$(dirname "$0")/lib.sh"
hosts=5
site_begin "$dir" 1200
rules_with "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
site_store
for number in $(seq $hosts); do
  site_relayed_host "$number" aqp-1 --seeds "$(site_relay_address 1),$(site_relay_address 2)"
done
for number in 1 2; do site_upstream "lote-$number" lote "$number" --slots 20; done
site_ctl apply "$dir/rules" >/dev/null
# shellcheck disable=SC2046
site_wait_revision 1 $(seq $hosts)
site_wait_upstreams 1 2
wait_shares $hosts
# shellcheck disable=SC2046
site_call --key grower-key --hosts "$(site_hosts $(seq $hosts))" --rate 40 --length-ms 10000 \
  --target /lote/status/1 >"$dir/load.json" &
calls=$!
events() { grep -h "\"message\": \"$1\"" "$dir"/host?.log | wc -l; }
sleep 2
moved=$(events pools_moved)
for number in $(seq $hosts); do site_relay_faults "$number" '{"silence_open":true}'; done
wait "$calls"
jq -c . "$dir/load.json"
expect "the host of the pool is not suspected" "$(events pool_suspected)" = 0
expect "the pool does not move" $(($(events pools_moved) - moved)) = 0
finish
