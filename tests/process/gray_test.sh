#!/usr/bin/env bash
# Upstreams that turn slow, fail, hang or start cold among healthy ones: found
# within 5 s, the others kept, no more than the floor allows, and a fresh start
# gets no more than it bears.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 30000
rules_with "$(organisation growers 5000 5000 grower-key)" >"$dir/rules"
site_store
site_host 1 aqp-1
site_host 2 aqp-2
for number in 1 2 3 4 5 6; do
  site_upstream "lote-$number" lote $((number % 2 + 1)) --slots 7 --cold-requests 40 --run-log "$dir/runs.log"
done
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 1 1 2
site_wait_upstreams 1 6
site_wait_upstreams 2 6
wait_shares 2

site_call --hosts "$(site_hosts 1 2)" --target /lote/status/1 --key grower-key \
  --rate 200 --length-ms 22000 --order-prefix g >"$dir/g.json" &
run=$!
sleep 4
ejections() { site_ctl timeline --kind ejected | grep -c "upstream=$1 "; }

site_faults lote-1 '{"slow_ms":150,"lie":true}'
slow=$(now_ms)
sleep 5
expect "the slow upstream was ejected within 5 s" "$(ejections lote-1)" -ge 1
site_faults lote-2 '{"error_share":0.8,"lie":true}'
sleep 5
expect "the failing upstream was ejected within 5 s" "$(ejections lote-2)" -ge 1
for number in 3 4 5 6; do
  expect "lote-$number was not ejected" "$(ejections "lote-$number")" = 0
done
# A fourth and a fifth fault would take the service below its floor of 3.
site_faults lote-3 '{"slow_ms":150}'
site_faults lote-4 '{"slow_ms":150}'
sleep 4
for host in 1 2; do
  events=$(site_ctl --hosts "127.0.0.1:$(site_admin_port $host)" timeline | grep -e ' ejected ' -e ' returned ')
  most=$(awk '/ ejected / { n++ } / returned / { n-- } n > most { most = n } END { print most + 0 }' <<<"$events")
  expect "host $host never had more than 3 of 6 ejected" "$most" -le 3
done
for number in 1 2 3 4; do site_faults "lote-$number" '{}'; done

site_kill lote-6 KILL
sleep 0.5
site_upstream lote-6 lote 1 --slots 7 --cold-requests 40 --run-log "$dir/runs.log"
wait "$run"
cat "$dir/g.json"
counts=$(site_counts lote-6)
expect "the fresh upstream got work" "$(jq .answered <<<"$counts")" -gt 0
expect "and no more than it bears" "$(jq .overloaded <<<"$counts")" = 0
finish
