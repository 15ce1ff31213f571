#!/usr/bin/env bash
# A new version whose responses fail in half of the cases is started beside the old
# one and ordered. It gets no more than 0.1 of the requests and 50 on top, and none
# after the verdict. All hosts are then
# killed, and the verdict still holds. With the mutant version_held_back, only
# ejection keeps requests away, and the last check fails (16 requests).
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 11400
rules_with "$(organisation growers 5000 5000 grower-key)" >"$dir/rules"
site_store
for number in 1 2 3; do site_host "$number" aqp-1; done
for number in 1 2 3; do
  site_upstream "lote-$number" lote "$number" --slots 7 --program-version v1 --run-log "$dir/runs.log"
done
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 1 1 2 3
wait_shares 3
# Hosts that have just started expose nothing.
sleep 10
{
  cat "$dir/rules"
  echo "rollout lote version v2 within 120s # asked by: test"
} >"$dir/ordered"
site_ctl apply "$dir/ordered" >/dev/null
site_wait_revision 2 1 2 3
site_upstream lote-4 lote 1 --slots 7 --program-version v2 --run-log "$dir/runs.log"
site_wait_http "http://127.0.0.1:${site_upstream_ports[lote-4]}/counts"
site_faults lote-4 '{"error_share":0.5,"lie":true}'
expect "the new version is faulty" $? = 0
for number in 1 2 3; do site_wait_upstreams "$number" 4; done

site_call --hosts "$(site_hosts 1 2 3)" --target /lote/status/1 --key grower-key \
  --rate 100 --length-ms 12000 --order-prefix a >/dev/null
runs=$(wc -l <"$dir/runs.log")
exposed=$(runs_after "$dir/runs.log" 0 lote-4)
echo "requests run: $runs, by the new version: $exposed"
expect "the new version was tried" "$exposed" -ge 1
expect "the faulty version got at most its share" "$exposed" -le $((runs / 10 + 50))
expect "the version was rolled back" "$(site_ctl timeline --kind version_rolled_back | grep -c failures)" -ge 1
later=$(now_ms)
site_call --hosts "$(site_hosts 1 2 3)" --target /lote/status/1 --key grower-key \
  --rate 100 --length-ms 3000 --order-prefix b >/dev/null
expect "it got no request after the verdict" "$(runs_after "$dir/runs.log" "$later" lote-4)" = 0

for number in 1 2 3; do site_kill "host$number" KILL; done
for number in 1 2 3; do site_host "$number" aqp-1; done
site_wait_revision 2 1 2 3
for number in 1 2 3; do site_wait_upstreams "$number" 4; done
restarted=$(now_ms)
site_call --hosts "$(site_hosts 1 2 3)" --target /lote/status/1 --key grower-key \
  --rate 50 --length-ms 16000 --order-prefix c >/dev/null
expect "it got no request after all hosts were killed" "$(runs_after "$dir/runs.log" "$restarted" lote-4)" = 0
finish
