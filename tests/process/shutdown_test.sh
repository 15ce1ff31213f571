#!/usr/bin/env bash
# A host that is told to stop under load cuts no request: not those through it,
# not those through others to its upstreams, not those on new connections.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 29000
rules_with "$(organisation growers 5000 5000 grower-key)" >"$dir/rules"
small_site "$dir/rules"

load() {
  local name="$1" hosts="$2" length="$3"
  shift 3
  site_call --hosts "$hosts" --key grower-key --rate 150 --length-ms "$length" \
    --order-prefix "$name" "$@" >"$dir/$name.json"
}
# Cold upstreams bear less than what follows; that is another test's matter.
load warm "$(site_hosts 1 2 3)" 3000 --target /lote/status/1
# Through the host itself, up to shortly before its port closes 2 s after the
# signal: with kept connections and with new ones.
load kept "$(site_hosts 1)" 3500 --target /lote/status/1 &
runs=$!
load fresh "$(site_hosts 1)" 3500 --target /lote/status/1 --fresh-connections 1 &
runs="$runs $!"
load orders "$(site_hosts 2 3)" 7000 --target /lote/dispatch --method POST &
runs="$runs $!"
load others "$(site_hosts 2 3)" 7000 --target /lote/status/1 &
runs="$runs $!"
sleep 2
begun=$(now_ms)
kill -TERM "${site_pids[host1]}"
wait "${site_pids[host1]}"
code=$?
took=$(($(now_ms) - begun))
unset "site_pids[host1]"
wait $runs
for name in kept fresh orders others; do
  echo "$name $(cat "$dir/$name.json")"
  expect "$name: every request was served" "$(jq '.status["200"]' "$dir/$name.json")" = "$(jq .sent "$dir/$name.json")"
done
expect "the host ended well" "$code" = 0
expect "and soon" "$took" -lt 8000
finish
