#!/usr/bin/env bash
# More connections to the peers' port than a host has descriptors for keep other
# hosts out for good.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 22750
rules_with "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
site_store
former=$(ulimit -Sn)
ulimit -Sn 200
site_host 1 aqp-1
ulimit -Sn "$former"
site_upstream lote-1 lote 1 --slots 7
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 1 1
sockets=()
for _ in $(seq 300); do
  exec {socket}<>"/dev/tcp/127.0.0.1/$(site_peer_port 1)" || break
  sockets+=("$socket")
done
sleep 2
for socket in "${sockets[@]}"; do exec {socket}>&-; done
expect "the process lives" "$(kill -0 "${site_pids[host1]}" 2>/dev/null && echo yes)" = yes
site_host 2 aqp-1
status=""
for _ in $(seq 20); do
  status=$(status_of -H 'Authorization: Bearer grower-key' "http://127.0.0.1:$(site_caller_port 2)/lote/status/1")
  [ "$status" = 200 ] && break
  sleep 1
done
expect "another host reaches the upstream once the connections are closed" "$status" = 200
grep -h '"an RPC task failed"' "$dir/host1.log" | grep -o '"error": "[^"]*"' | sort | uniq -c
finish
