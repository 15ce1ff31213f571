#!/usr/bin/env bash
# Prints one line a figure, "measure NAME VALUE UNIT": ours, and with a suffix
# the baselines, in the same run. Takes a few minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh
. scripts/lib/site.sh

build/tests/scenarios tests/scenario/scripts/detection.lua | grep '^measure'
build/tests/scenarios tests/scenario/scripts/fairness.lua | grep '^measure'
build/tests/rates_measure

dir=$(mktemp -d)
site_begin "$dir" "${MEASURE_PORT:-18000}"
site_store
for number in 1 2 3; do site_host "$number" "aqp-$number"; done
for number in 1 2 3 4 5 6; do
  site_upstream "lote-$number" lote $((number % 3 + 1)) --slots 50 --work-ms 2 --run-log "$dir/runs.log"
done
{
  echo 'service lote floor 0.5 slots 50 # asked by: measure'
  echo 'route GET /lote service lote idempotent keyed deadline 3s # asked by: measure'
  echo 'route POST /lote service lote once keyed deadline 5s # asked by: measure'
  echo "organisation growers rate 100000 burst 100000 key sha256:$(site_key_digest grower-key) # asked by: measure"
} >"$dir/rules"
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 1 1 2 3
for number in 1 2 3; do site_wait_upstreams "$number" 6; done
sleep 4

load() { site_call --key grower-key --target /lote/1 --length-ms 6000 "$@"; }
direct_hosts=""
for id in "${!site_upstream_ports[@]}"; do direct_hosts="$direct_hosts,127.0.0.1:${site_upstream_ports[$id]}"; done
load --hosts "$(site_hosts 1 2 3)" --rate 600 >/dev/null # connections and limits warm up
load --hosts "${direct_hosts#,}" --rate 600 >"$dir/direct.json"
load --hosts "$(site_hosts 1 2 3)" --rate 600 >"$dir/through.json"
load --hosts "$(site_hosts 1 2 3)" --rate 600 --method POST --order-prefix once >"$dir/once.json"
load --hosts "$(site_hosts 1 2 3)" --rate 8000 --length-ms 3000 >"$dir/full.json"
load --hosts "${direct_hosts#,}" --rate 8000 --length-ms 3000 >"$dir/full_direct.json"
added() { jq -rn --slurpfile a "$dir/$2.json" --slurpfile b "$dir/direct.json" --arg p "$1" '$a[0][$p] - $b[0][$p]'; }
echo "measure direct.p50 $(jq .p50_ms "$dir/direct.json") ms"
echo "measure direct.p99 $(jq .p99_ms "$dir/direct.json") ms"
echo "measure added.p50 $(added p50_ms through) ms"
echo "measure added.p99 $(added p99_ms through) ms"
echo "measure added.once.p50 $(added p50_ms once) ms"
echo "measure added.once.p99 $(added p99_ms once) ms"
echo "measure saturation.served $(jq '(.status["200"] // 0) / 3' "$dir/full.json") per_second"
echo "measure saturation.p99 $(jq .p99_ms "$dir/full.json") ms"
echo "measure saturation.direct.served $(jq '(.status["200"] // 0) / 3' "$dir/full_direct.json") per_second"
echo "measure saturation.direct.p99 $(jq .p99_ms "$dir/full_direct.json") ms"
doubled=$(awk '{print $3}' "$dir/runs.log" | grep '^once-' | sort | uniq -d | wc -l)
echo "measure double_runs $doubled count"
