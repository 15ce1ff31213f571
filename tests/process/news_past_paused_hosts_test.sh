#!/usr/bin/env bash
# Hosts that are cut off from the store learn of a change late, since whoever
# could tell them waits for hosts that are paused.
. "$(dirname "$0")/lib.sh"
hosts=9
rounds=4
paused="7 8 9"
site_begin "$dir" 8000
rules_with "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
site_store
site_host 1 aqp-1
for number in $(seq 2 $hosts); do site_store_relayed_host "$number" aqp-1; done
site_ctl apply "$dir/rules" >/dev/null
# shellcheck disable=SC2046
site_wait_revision 1 $(seq $hosts)
# Until all hosts know each other.
sleep 4
for number in $(seq 2 $hosts); do site_store_relay_faults "$number" '{"drop_to_client":true}'; done
worst=0
for round in $(seq $rounds); do
  sleep 3
  before=$(site_status 1 | jq -r .revision)
  for number in $paused; do site_kill "host$number" STOP; done
  sed -i "s/rate [0-9]* burst/rate $((1000 + round)) burst/" "$dir/rules"
  site_ctl apply "$dir/rules" >/dev/null
  confirmed=$(now_ms)
  for number in 1 2 3 4 5 6; do
    until [ "$(site_status "$number" | jq -r .revision)" -gt "$before" ]; do
      [ $(($(now_ms) - confirmed)) -gt 6000 ] && break
      sleep 0.02
    done
  done
  took=$(($(now_ms) - confirmed))
  echo "round $round: $took ms"
  [ "$took" -le "$worst" ] || worst=$took
  for number in $paused; do site_kill "host$number" CONT; done
done
expect "hosts that run have a change within 2 s although others are paused" "$worst" -le 2000
finish
