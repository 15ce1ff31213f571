#!/usr/bin/env bash
# A request that waits in the queue of an upstream when its caller disconnects
# is not run afterwards.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 32000
cat >"$dir/rules" <<RULES
service lote floor 0.5 slots 1 # asked by: test
route GET /lote/status service lote idempotent keyed deadline 8s objective 8s # asked by: test
route POST /lote/dispatch service lote once keyed deadline 8s objective 8s # asked by: test
$(organisation growers 1000 1000 grower-key)
RULES
site_store
site_host 1 aqp-1
site_host 2 aqp-1
site_upstream lote-1 lote 1 --slots 1 --work-ms 1500 --run-log "$dir/runs.log"
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 1 1 2
for number in 1 2; do site_wait_upstreams "$number" 1; done
wait_shares 2

# send HOST METHOD TARGET ORDER SECONDS
send() {
  curl -s -o /dev/null -w '%{http_code}' -X "$2" --max-time "$5" \
    -H 'Authorization: Bearer grower-key' -H "X-Order: $4" \
    "http://127.0.0.1:$(site_caller_port "$1")$3"
}

# Waits until the upstream runs order $1, for 10 s at most.
wait_run() {
  local i
  for ((i = 0; i < 200; i++)); do
    grep -q " $1\$" "$dir/runs.log" 2>/dev/null && return 0
    sleep 0.05
  done
}

for host in 1 2; do
  for call in "POST /lote/dispatch order" "GET /lote/status/1 lookup"; do
    read -r method target kind <<<"$call"
    send "$host" "$method" "$target" "first-$kind-$host" 8 >"$dir/first" &
    first=$!
    wait_run "first-$kind-$host"
    send "$host" "$method" "$target" "gone-$kind-$host" 0.4 >/dev/null
    send "$host" "$method" "$target" "stays-$kind-$host" 8 >"$dir/stays" &
    stays=$!
    wait $first $stays
    expect "host $host, $kind: the request that runs is served" "$(cat "$dir/first")" = 200
    expect "host $host, $kind: a request behind it is served" "$(cat "$dir/stays")" = 200
    expect "host $host, $kind: the request whose caller left is not run" \
      "$(grep -c "gone-$kind-$host" "$dir/runs.log")" = 0
  done
done
finish
