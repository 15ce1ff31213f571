#!/usr/bin/env bash
# The store comes back from an older copy: nothing that was in force is undone,
# changes made afterwards are in force within 5 s, nothing is refused for it.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 15000
rules_with "$(organisation growers 1000 1000 grower-key)" \
  "$(organisation packers 1000 1000 packer-key)" >"$dir/rules"
rules_with "$(organisation growers 1000 1000 grower-key)" >"$dir/rules.withdrawn"
{ cat "$dir/rules.withdrawn"; echo 'zone z out # asked by: test'; } >"$dir/rules.zone"
site_store --era 1
site_host 1 aqp-1
site_host 2 aqp-1
site_host 3 aqp-2
for number in 1 2 3; do
  site_upstream "lote-$number" lote "$number" --slots 7 --run-log "$dir/runs.log" --linger-ms 8000
done
site_ctl apply "$dir/rules" >/dev/null
for number in 1 2 3; do site_wait_upstreams "$number" 3; done
wait_shares 3

revision() { site_status "$1" | jq -r .revision; }
ask() { status_of -H "Authorization: Bearer $2" "http://127.0.0.1:$(site_caller_port "$1")/lote/status/1"; }
store_call() { curl -s --max-time 1 -X POST "http://$site_store_address/v1/$1" >/dev/null; }
# Waits 5 s at most until all hosts given have a revision above $1.
wait_above() {
  local above="$1" host i
  shift
  for ((i = 0; i < 50; i++)); do
    local behind=0
    for host in "$@"; do
      [ "$(revision "$host")" -gt "$above" ] || behind=1
    done
    [ "$behind" = 0 ] && return 0
    sleep 0.1
  done
  return 1
}
# Writes a change, takes the store back to before it, and waits until it has
# come back to all hosts.
lose_change() {
  local before
  before=$(revision 1)
  store_call copy
  site_ctl apply "$1" >/dev/null
  wait_above "$before" 1 2 3
  store_call restore
  sleep 2
}

expect "both keys work at first" "$(ask 1 grower-key) $(ask 3 packer-key)" = "200 200"
site_call --key grower-key --hosts "$(site_hosts 1 3)" --rate 60 --length-ms 30000 --order-prefix load \
  --target /lote/status/1 >"$dir/load.json" &
load=$!
site_call --key grower-key --hosts "$(site_hosts 1 3)" --rate 30 --length-ms 30000 --method POST \
  --target /lote/dispatch --order-prefix order --outcomes-file "$dir/orders" >"$dir/orders.json" &
orders=$!

lose_change "$dir/rules.withdrawn"
in_force=$(revision 1)
expect "the store lacks the change" "$(site_ctl show | grep -c packers)" = 1
for host in 1 2 3; do
  expect "host $host keeps the revision" "$(revision $host)" = "$in_force"
  expect "host $host refuses the key whose withdrawal was lost" "$(ask $host packer-key)" = 401
done

site_kill host2 KILL
site_host 2 aqp-1
wait_above $((in_force - 1)) 2
expect "a host that starts has what is in force" "$(revision 2)" = "$in_force"
expect "it refuses the key whose withdrawal was lost" "$(ask 2 packer-key)" = 401

begun=$(now_ms)
site_ctl apply "$dir/rules.withdrawn" >/dev/null
wait_above "$in_force" 1 2 3
expect "a change after the restore is in force everywhere" "$?" = 0
expect "within 5 s" $(($(now_ms) - begun)) -lt 5000
expect "host 3 refuses the key" "$(ask 3 packer-key)" = 401

lose_change "$dir/rules.zone"
store_call restore
sleep 1
in_force=$(revision 1)
expect "after two restores the zone is still out of service" \
  "$(site_ctl timeline --kind zone_in 2>/dev/null | grep -c 'zone=z')" = 0
site_ctl apply "$dir/rules.withdrawn" >/dev/null
wait_above "$in_force" 1 2 3
expect "and a change is in force everywhere" "$?" = 0
expect "the time line shows each restore on each host" \
  "$(site_ctl timeline --kind store_restored 2>/dev/null | grep -c store_restored)" -ge 8

wait $load $orders
expect "every request was served" "$(jq '.status["200"]' "$dir/load.json")" = "$(jq .sent "$dir/load.json")"
check_orders "$dir/orders"
expect "no order ran twice" "$doubled" = 0
expect "every 'not run' is true" "$false_not_run" = 0
sleep 1
total=$(for host in 1 2 3; do site_status $host | jq .share; done | jq -s 'add <= 1.000001')
expect "the shares do not exceed the whole" "$total" = true
finish
