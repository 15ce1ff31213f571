#!/usr/bin/env bash
# A request that crashes upstreams is stopped, also if it was answered with
# errors in between, and whether a crash breaks connections or leaves them silent.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 21000
rules_with "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
site_store
for number in 1 2 3; do site_host "$number" "aqp-$number"; done
upstreams=(lote-1 lote-2 lote-3 lote-4 lote-5 lote-6 lote-7 lote-8)
start_upstream() {
  site_upstream "$1" lote $((${1#lote-} % 3 + 1)) --slots 7 --work-ms 20 --run-log "$dir/runs.log"
}
for id in "${upstreams[@]}"; do start_upstream "$id"; done
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 1 1 2 3
for number in 1 2 3; do site_wait_upstreams "$number" 8; done
wait_shares 3
# Starts upstreams again that have ended or stopped, $1 ms later.
restart_crashed() {
  local down_ms="$1" id pid state
  for id in "${upstreams[@]}"; do
    pid="${site_pids[$id]}"
    state=$(ps -o stat= -p "$pid" 2>/dev/null)
    case "${state:-Z}" in
      Z* | T*)
        [ $(($(now_ms) - ${down_since[$id]:=$(now_ms)})) -lt "$down_ms" ] && continue
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
        start_upstream "$id"
        unset "down_since[$id]"
        ;;
    esac
  done
}

# send MODE PATH WORDS...: sends the request to the next host. The words are for
# curl.
next_host=0
send() {
  local mode="$1" path="$2"
  shift 2
  next_host=$((next_host % 3 + 1))
  curl -s -o /dev/null --max-time 4 -H 'Authorization: Bearer grower-key' \
    -H "X-Crash: $mode" -H "X-Order: $mode" "$@" \
    "http://127.0.0.1:$(site_caller_port $next_host)$path"
}

# Sends the request that ends upstreams for $1 ms.
send_exit() {
  local until=$(($(now_ms) + $1))
  while [ "$(now_ms)" -lt "$until" ]; do
    send exit /lote/dispatch -X POST &
    restart_crashed 1000
    sleep 0.1
  done
}

check_stopped() {
  local mode="$1"
  echo "$mode: $(awk -v mode="$mode" '$3 == mode' "$dir/runs.log" | wc -l) upstreams crashed"
  expect "$mode: at most three runs later than 3 s after the third" "$(late_crash_runs "$mode")" -le 3
}

declare -A down_since=()
# Upstreams are restarted after the deadline of the request, which has therefore
# ended without a broken connection.
for _ in 1 2 3 4 5 6 7 8; do
  send stop /lote/open/stop
  sleep 0.3
  restart_crashed 0
  sleep 0.7
done
check_stopped stop

# One crash that all hosts hear of, then a time in which all upstreams fail and
# only their health checks succeed.
send_exit 100
sleep 3
for id in "${upstreams[@]}"; do site_faults "$id" '{"reject_share":1,"lie":true}'; done
send_exit 5000
for id in "${upstreams[@]}"; do site_faults "$id" '{}'; done
send_exit 12000
check_stopped exit
finish
