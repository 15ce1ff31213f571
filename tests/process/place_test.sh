#!/usr/bin/env bash
# Placement by work in real processes: requests leave their zone although it has
# room, bytes between hosts are not counted, or a preview sends something.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 11300
export KINGCUPSTAIR_PLACEMENT=work
rules_with "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
small_site "$dir/rules"

place() { site_ctl --hosts "127.0.0.1:$(site_admin_port 1)" --organisation growers "$@"; }
# sent ZONE: the bytes of runs that host 1 has sent to hosts there.
sent() {
  curl -s "http://127.0.0.1:$(site_admin_port 1)/metrics" |
    awk -v key="kingcupstair_peer_bytes_total{purpose=\"run\",zone=\"$1\"}" '$1 == key {print $2}'
}

site_call --key grower-key --hosts "$(site_hosts 1)" --rate 60 --length-ms 3000 \
  --target /lote/status/1 >"$dir/calls.json"
expect "requests are served" "$(jq '.status["200"]' "$dir/calls.json")" -ge 150
in_other_zone=$(awk '$2 == "lote-3"' "$dir/runs.log" | wc -l)
# Before the first report the choice is as without the setting.
expect "requests stay in a zone that has room" "$in_other_zone" -le 2
expect "the bytes to the own zone are counted" "$(sent own)" -gt 1000

runs=$(wc -l <"$dir/runs.log")
place --format json place /lote/status/1 >"$dir/place.json"
expect "the choice is by work" "$(jq -r '.services[0].placement' "$dir/place.json")" = work
expect "all upstreams are listed" "$(jq '.services[0].upstreams | length' "$dir/place.json")" = 3
expect "the choice is in the own zone" "$(jq -r '.services[0].choice.reason' "$dir/place.json")" = own-zone
expect "the ages of reports are shown" \
  "$(jq '[.services[0].upstreams[] | select(.age_ms >= 0)] | length' "$dir/place.json")" -ge 2
expect "the text names the choice" "$(place place /lote/status/1 | grep -c 'choice: lote-[12], own-zone')" = 1
expect "a request without a route is refused" "$(place place /other | grep -c 'refused: no_such_route')" = 1
expect "a preview sends nothing" "$(wc -l <"$dir/runs.log")" = "$runs"
finish
