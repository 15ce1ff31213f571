#!/usr/bin/env bash
# Long bodies that several hosts send at once take the host of their upstream beyond
# the memory of its machine.
. "$(dirname "$0")/lib.sh"
memory_mb=96
callers=4
site_begin "$dir" 18750
rules_with "callers body-bytes 33554432 # asked by: test" \
  "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
cat >>"$dir/rules" <<RULES
service quay floor 0.5 slots 20 # asked by: test
route POST /quay/dispatch service quay once keyed deadline 6s objective 5s # asked by: test
route GET /quay/status service quay idempotent keyed deadline 6s objective 5s # asked by: test
RULES
site_store
site_host 1 aqp-1 --memory-mb "$memory_mb"
for number in $(seq 2 $((callers + 1))); do site_host "$number" aqp-1; done
upstreams=4
for number in $(seq $upstreams); do
  site_upstream "quay-$number" quay 1 --slots 20 --work-ms 1000 --run-log "$dir/runs.log"
done
site_ctl apply "$dir/rules" >/dev/null
# shellcheck disable=SC2046
site_wait_revision 1 $(seq $((callers + 1)))
for number in $(seq $((callers + 1))); do site_wait_upstreams "$number" "$upstreams"; done
wait_shares $((callers + 1))
# An upstream that has just started runs one request at a time.
site_call --key grower-key --hosts "$(site_hosts 2)" --target /quay/status/1 \
  --rate 20 --length-ms 8000 >"$dir/warm_up.json"
head -c 20000000 /dev/zero >"$dir/body"
uploads=()
for try in 1 2 3 4; do
  for number in $(seq 2 $((callers + 1))); do
    status_of -H 'Authorization: Bearer grower-key' -H 'Expect:' -H "X-Order: $try.$number" \
      --data-binary "@$dir/body" -D "$dir/head.$try.$number" \
      "http://127.0.0.1:$(site_caller_port "$number")/quay/dispatch/1" >"$dir/status.$try.$number" &
    uploads+=("$!")
  done
done
sleep 1
small=$(status_of -H 'Authorization: Bearer grower-key' \
  "http://127.0.0.1:$(site_caller_port 2)/quay/status/1")
wait "${uploads[@]}"
peak=$(awk '/VmHWM/ {print int($2 * 1024 / 1000000)}' "/proc/${site_pids[host1]}/status")
sent=${#uploads[@]}
served=$(cat "$dir"/status.* | grep -o 200 | wc -l)
refused=$(grep -l '^HTTP/1.1 503' "$dir"/head.* | xargs -r grep -il '^retry-after:' | wc -l)
echo "host 1: at most ${peak:-unknown} MB; of $sent long requests $served served, $refused refused"
expect "the process lives" "$(kill -0 "${site_pids[host1]}" 2>/dev/null && echo yes)" = yes
expect "the host of the upstream stays within its memory" "${peak:-999}" -le "$memory_mb"
expect "every long request is served, or refused with a time to try again" $((served + refused)) = "$sent"
expect "as many as fit at once are served" "$served" -ge 2
expect "each ran at most once" -z "$(awk '{print $3}' "$dir/runs.log" | grep -v '^-*$' | sort | uniq -d)"
expect "a short request is served meanwhile" "$small" = 200
finish
