#!/usr/bin/env bash
# A host whose watch has missed a change reads a slow store again and again, and
# never uses what it reads.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 5000
rules_with "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
site_store
site_host 1 aqp-1
site_store_relayed_host 2 aqp-1
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 1 1 2
sleep 3
calls() { curl -s "http://$site_store_address/v1/counts" | jq '[.[]] | add'; }
site_store_relay_faults 2 '{"silence_open":true,"delay_ms":200}'
sed -i "s/rate [0-9]* burst/rate 999 burst/" "$dir/rules"
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 2 1 2
sleep 2
before=$(calls)
sleep 6
made=$(($(calls) - before))
echo "calls to the store in 6 s: $made"
# Two hosts read the table of shares every two seconds each, and seldom more.
expect "the store is read once after the change" "$made" -le 12
# Only the watch that was begun anew can bring the next change.
site_kill host1 STOP
sed -i "s/rate [0-9]* burst/rate 998 burst/" "$dir/rules"
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 3 2
expect "the next change comes from the store" "$?" = 0
finish
