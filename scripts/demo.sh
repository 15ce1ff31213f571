#!/usr/bin/env bash
# Starts a small site of separate processes on loopback, sends requests while an
# availability zone leaves and returns, and checks what came of them.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
. scripts/lib/site.sh

say() { echo "== $*"; }
dir=$(mktemp -d)
site_begin "$dir" "${DEMO_PORT:-21000}"

say "starting the store, 3 hosts in 2 availability zones, 4 upstreams"
site_store
site_host 1 aqp-1
site_host 2 aqp-1
site_host 3 aqp-2
site_upstream lote-1 lote 1 --work-ms 5 --slots 7
site_upstream lote-2 lote 2 --work-ms 5 --slots 7
site_upstream lote-3 lote 3 --work-ms 5 --slots 7
site_upstream humedad-1 humedad 3 --work-ms 3 --slots 7

say "applying examples/small-site.rules"
site_ctl apply examples/small-site.rules | tail -n 1
site_wait_revision 1 1 2 3
site_wait_upstreams 1 4
site_wait_upstreams 2 4
site_wait_upstreams 3 4
sleep 3 # the shares of the rates are lent for the first time

hosts="127.0.0.1:$(site_caller_port 1),127.0.0.1:$(site_caller_port 2),127.0.0.1:$(site_caller_port 3)"
say "sending status queries (idempotent) and dispatch orders (not) through 3 hosts"
"$site_bin/kingcupstair-caller" --hosts "$hosts" --target /lote/status/7 \
  --key petalo-key --rate 100 --length-ms 8000 --order-prefix status >"$dir/status.json" &
status_run=$!
"$site_bin/kingcupstair-caller" --hosts "$hosts" --method POST --target /lote/dispatch \
  --key packer-key --rate 50 --length-ms 8000 --order-prefix dispatch >"$dir/dispatch.json" &
dispatch_run=$!
sleep 2
say "taking availability zone aqp-2 out"
site_ctl zone out aqp-2
sleep 3
say "taking it back in"
site_ctl zone in aqp-2
wait "$status_run" "$dispatch_run"

say "status queries:  $(cat "$dir/status.json")"
say "dispatch orders: $(cat "$dir/dispatch.json")"
say "the time line, but for started hosts and upstreams:"
site_ctl timeline | grep -v -e started -e share_moved || true

sent=$(jq -s 'map(.sent) | add' "$dir/status.json" "$dir/dispatch.json")
served=$(jq -s 'map(.status["200"] // 0) | add' "$dir/status.json" "$dir/dispatch.json")
wrong=$(jq -s 'map(.answered_wrongly) | add' "$dir/status.json" "$dir/dispatch.json")
doubled=0
keys=0
for id in lote-1 lote-2 lote-3; do site_counts "$id" >"$dir/$id.json"; done
doubled=$(jq -s '[.[].runs | to_entries[] | select(.key | startswith("dispatch"))]
  | group_by(.key) | map(map(.value) | add) | map(select(. > 1)) | length' "$dir"/lote-?.json)
keys=$(jq -s 'map(.keys_seen) | add' "$dir"/lote-?.json)
say "answers to somebody else's request: $wrong; keys seen by upstreams: $keys"
echo "served $served of $sent, doubled $doubled"
[ "$served" = "$sent" ] && [ "$doubled" = 0 ] && [ "$wrong" = 0 ] && [ "$keys" = 0 ]
