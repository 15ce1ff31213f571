#!/usr/bin/env bash
# A request with a long body within the limit takes a process beyond the memory of
# its machine, since several parts of the process hold a copy each.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 2000
rules_with "callers body-bytes 67108864 # asked by: test" \
  "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
site_store
site_host 1 aqp-1
site_host 2 aqp-1
site_upstream lote-1 lote 2 --slots 7 --run-log "$dir/runs.log"
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 1 1 2
site_wait_upstreams 1 1
wait_shares 2
head -c 60000000 /dev/zero >"$dir/body"
peak_megabytes() { awk '/VmHWM/ {print int($2 / 1000)}' "/proc/${site_pids[host$1]}/status"; }
before=$(peak_megabytes 1)
status=$(status_of -H 'Authorization: Bearer grower-key' -H 'Expect:' --data-binary "@$dir/body" \
  "http://127.0.0.1:$(site_caller_port 1)/lote/dispatch/1")
expect "the request is served" "$status" = 200
for number in 1 2; do
  echo "host $number: at most $(peak_megabytes "$number") MB, $before MB before"
  expect "host $number stays within 260 MB" "$(peak_megabytes "$number")" -le 260
done
finish
