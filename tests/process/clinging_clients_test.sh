#!/usr/bin/env bash
# Clients that keep sending to a host that stops, on connections kept open until
# the process is gone: a request that ran gets no response.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 18000
rules_with "$(organisation growers 5000 5000 grower-key)" >"$dir/rules"
small_site "$dir/rules"

cling() {
  local name="$1"
  shift
  site_call --hosts "$(site_hosts 1)" --key grower-key --rate 80 --length-ms 8000 \
    --method POST --target /lote/dispatch --order-prefix "$name" \
    --outcomes-file "$dir/outcomes.$name" "$@" >"$dir/$name.json"
}
cling kept &
calls=$!
cling fresh --fresh-connections 1 &
calls="$calls $!"
sleep 2
kill -TERM "${site_pids[host1]}"
wait "${site_pids[host1]}"
code=$?
unset "site_pids[host1]"
wait $calls
check_orders "$dir"/outcomes.*
for name in kept fresh; do cat "$dir/$name.json"; done
lost=$(awk '$2 != "ran" && $2 != "not-run" && $3 > 0' "$dir/joined" | wc -l)
expect "no request that ran is without a response" "$lost" = 0
expect "none ran twice" "$doubled" = 0
expect "none that was said not to have run did" "$false_not_run" = 0
expect "requests were served before" "$(awk '$2 == "ran"' "$dir/joined" | wc -l)" -ge 200
expect "the host ended well" "$code" = 0
finish
