#!/usr/bin/env bash
# No organisation gets more than its rate and burst over all hosts together,
# while a host is killed, frozen past its loans and restarted, and while the
# store is out.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 25000
rate=100
burst=100
rules_with "$(organisation growers $rate $burst grower-key)" >"$dir/rules"
small_site "$dir/rules"

flood() {
  site_call --hosts "$(site_hosts "$1")" --target /lote/status/1 --key grower-key \
    --rate 200 --length-ms 12000 --order-prefix "f$1" --outcomes-file "$dir/outcomes.$1" \
    >"$dir/flood.$1.json" 2>/dev/null
}
site_store_faults '{"down":true}'
for host in 1 2 3; do flood "$host" & runs="${runs:-} $!"; done
sleep 2
site_kill host2 KILL
sleep 1
site_host 2 aqp-1
sleep 1
kill -STOP "${site_pids[host3]}"
sleep 4
kill -CONT "${site_pids[host3]}"
wait $runs
site_store_faults '{}'

# The bucket that one process with the whole limit would have had.
excess=$(sort -n "$dir/runs.log" | awk -v r=$rate -v b=$burst '
  NR == 1 { level = b; last = $1; worst = 0 }
  { level += r * ($1 - last) / 1000; if (level > b) level = b; last = $1
    level -= 1; if (-level > worst) worst = -level }
  END { printf "%d", worst + 0.999 }')
started=$(wc -l <"$dir/runs.log")
cat "$dir"/flood.*.json
echo "started $started in 12 s at rate $rate and burst $burst"
expect "no window is above rate and burst" "$excess" -le 0
expect "the organisation gets a good part of its rate" "$started" -ge $((rate * 12 / 3))
expect "refusals say when to come back" "$(jq -s 'map(.refused_without_retry_after) | add' "$dir"/flood.*.json)" = 0
finish
