#!/usr/bin/env bash
# Long responses of other hosts that many clients read slowly take the process beyond
# the memory of its machine.
. "$(dirname "$0")/crowd_lib.sh"
site_begin "$dir" 20750
rules_with "$(organisation growers 10000 10000 grower-key)" >"$dir/rules"
site_store
site_host 1 aqp-1 --memory-mb "$crowd_memory_mb"
for number in 2 3 4 5; do
  site_host "$number" aqp-1
  site_upstream "lote-$number" lote "$number" --slots 7 --work-ms 50
done
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 1 1 2 3 4 5
for number in 1 2 3 4 5; do site_wait_upstreams "$number" 4; done
wait_shares 5
# An upstream that has just started runs one request at a time.
site_call --key grower-key --hosts "$(site_hosts 2)" --target /lote/status/1 \
  --rate 100 --length-ms 5000 >"$dir/warm_up.json"
crowd mode=requests connections=40 target=/lote/status/1 response=8000000 read=512
check_crowd
finish
