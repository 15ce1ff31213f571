#!/usr/bin/env bash
# Hosts without upstreams that know one seed learn of each other, notice one
# that is killed, and take it back.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 20000
site_store
hosts="1 2 3 4 5 6 7 8"
for host in $hosts; do site_host "$host" "aqp-$((host % 3))" --threads 1; done

# wait_known COUNT HOST...: all these hosts think COUNT hosts alive.
wait_known() {
  local count="$1" host i
  shift
  for ((i = 0; i < 100; i++)); do
    local alike=1
    for host in "$@"; do
      [ "$(site_status "$host" | jq '[.hosts[] | select(.liveness == "alive")] | length')" = "$count" ] || alike=0
    done
    [ "$alike" = 1 ] && return 0
    sleep 0.1
  done
  return 1
}
wait_known 8 $hosts
expect "all hosts know all within 10 s" "$?" = 0
site_kill host5 KILL
wait_known 7 1 2 3 4 6 7 8
expect "all notice a killed host within 10 s" "$?" = 0
site_host 5 aqp-2 --threads 1
wait_known 8 $hosts
expect "all take it back within 10 s" "$?" = 0
before=$(curl -s "http://$site_store_address/v1/counts" | jq '[.[]] | add')
sleep 10
calls=$(($(curl -s "http://$site_store_address/v1/counts" | jq '[.[]] | add') - before))
# Long watches, and the share table: no host calls once a second.
expect "calls to the store come from a few hosts" "$calls" -le 110
finish
