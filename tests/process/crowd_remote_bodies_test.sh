#!/usr/bin/env bash
# Bodies of nearly the longest legal size, for upstreams at another host, take both
# processes beyond the memory of their machines.
. "$(dirname "$0")/crowd_lib.sh"
site_begin "$dir" 21250
rules_with "callers body-bytes 40265318 # asked by: test" \
  "$(organisation growers 10000 10000 grower-key)" >"$dir/rules"
site_store
site_host 1 aqp-1 --memory-mb "$crowd_memory_mb"
site_host 2 aqp-1 --memory-mb "$crowd_memory_mb"
site_upstream lote-1 lote 2 --slots 40 --work-ms 1000 --run-log "$dir/runs.log"
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 1 1 2
site_wait_upstreams 1 1
wait_shares 2
watch_memory 1
crowd mode=bodies connections=20 body=40000000 short-by=0
check_crowd
peak=$(awk '/VmHWM/ {print $2 * 1024}' "/proc/${site_pids[host2]}/status" 2>/dev/null)
echo "host of the upstream: peak memory ${peak:-unknown} bytes"
expect "the process at the upstream lives" "$(kill -0 "${site_pids[host2]}" 2>/dev/null && echo yes)" = yes
expect "its memory stays under the bound" "${peak:-999999999999}" -le $((crowd_memory_mb * 1000000))
expect "each body ran at most once" -z "$(awk '{print $3}' "$dir/runs.log" | grep -v '^-*$' | sort | uniq -d)"
finish
