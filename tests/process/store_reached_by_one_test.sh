#!/usr/bin/env bash
# A host that reaches the store misses a change if other hosts, which read the
# store for it, are cut off.
. "$(dirname "$0")/lib.sh"
hosts=4
site_begin "$dir" 7000
rules_with "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
site_store
for number in $(seq $hosts); do site_store_relayed_host "$number" aqp-1; done
site_ctl apply "$dir/rules" >/dev/null
# shellcheck disable=SC2046
site_wait_revision 1 $(seq $hosts)
# Until all hosts know each other.
sleep 3
late=0
missed=0
for survivor in $(seq $hosts); do
  for number in $(seq $hosts); do
    [ "$number" = "$survivor" ] || site_store_relay_faults "$number" '{"drop_to_client":true}'
  done
  sleep 1
  before=$(site_status "$survivor" | jq -r .revision)
  sed -i "s/rate [0-9]* burst/rate $((1000 + survivor)) burst/" "$dir/rules"
  site_ctl apply "$dir/rules" >/dev/null
  confirmed=$(now_ms)
  until [ "$(site_status "$survivor" | jq -r .revision)" -gt "$before" ]; do
    [ $(($(now_ms) - confirmed)) -gt 2000 ] && break
    sleep 0.02
  done
  took=$(($(now_ms) - confirmed))
  echo "host $survivor: $took ms"
  [ "$took" -le 2000 ] || late=$((late + 1))
  # The hosts that are cut off learn from the one that is not.
  sleep 3
  for number in $(seq $hosts); do
    [ "$(site_status "$number" | jq -r .revision)" -gt "$before" ] || missed=$((missed + 1))
    site_store_relay_faults "$number" '{}'
  done
  sleep 1
done
expect "each host that reaches the store has a change in force within 2 s" "$late" = 0
expect "hosts that are cut off from the store learn of a change from a peer" "$missed" = 0
finish
