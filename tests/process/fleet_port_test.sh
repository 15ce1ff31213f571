#!/usr/bin/env bash
# A stranger at the port between hosts gets nothing, and settings are checked.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 31000
rules_with "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
site_store
site_host 1 aqp-1
site_upstream lote-1 lote 1
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 1 1
site_wait_upstreams 1 1

KINGCUPSTAIR_FLEET_KEY=another-key-of-16-chars site_start stranger \
  "$site_bin/kingcupstaird" --listen 127.0.0.1:31110 --peer-listen 127.0.0.1:31111 \
  --admin-listen 127.0.0.1:31112 --store 127.0.0.1:31999 --zone aqp-1 --seeds 127.0.0.1:31011
site_wait_http http://127.0.0.1:31112/status
sleep 3
expect "a host without the fleet key is not let in" "$(site_status 1 | jq '.hosts | length')" = 1
expect "and learns nothing" "$(curl -s http://127.0.0.1:31112/status | jq .revision)" = 0
expect "and serves nobody" "$(status_of http://127.0.0.1:31110/lote/open/1)" = 503
expect "plain HTTP gets nothing there" "$(status_of http://127.0.0.1:31011/)" = 000

"$site_bin/kingcupstaird" --listen localhost:1 --threads 0 --fleet-key short >"$dir/faults" 2>&1
expect "a start with faults ends with 2" "$?" = 2
expect "all faults are told at once" "$(wc -l <"$dir/faults")" -ge 6
expect "--help ends well" "$("$site_bin/kingcupstaird" --help >/dev/null; echo $?)" = 0
expect "the tool names hosts that it can't reach" "$(site_ctl --hosts 127.0.0.1:31012,127.0.0.1:31998 timeline | grep -c 'not reached: 127.0.0.1:31998')" = 1
finish
