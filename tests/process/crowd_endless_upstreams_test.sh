#!/usr/bin/env bash
# Upstreams that send without end, in a head or in a body, fill the memory of the
# process that called them.
. "$(dirname "$0")/crowd_lib.sh"
site_begin "$dir" 17250
crowd_site
{
  cat "$dir/rules"
  echo 'service endless floor 0.5 slots 12 # asked by: test'
  echo 'route GET /endless/ service endless idempotent open deadline 2s # asked by: test'
} >"$dir/rules-2"
site_ctl apply "$dir/rules-2" >/dev/null
site_wait_revision 2 1
client="$(dirname "$site_bin")/tests/spoiled_client"

# endless NAME BEGIN REPEATED: requests go to an upstream that answers so, also to the
# checks that follow a broken answer.
endless() {
  local port=$((site_base + 600)) repeated number=0 callers=()
  repeated=$(printf "$3.")
  printf "$2" >"$dir/$1.begin"
  site_start "$1" "$client" endless "127.0.0.1:$port" "$dir/$1.begin" "${repeated%.}"
  for _ in 1 2; do
    jq -n --arg endpoint "127.0.0.1:$port" --arg id "$1" \
      '{id: $id, service: "endless", endpoint: $endpoint, incarnation: "1", slots: 12, draining: false}' |
      curl -s -o /dev/null --max-time 2 -X POST --data @- "http://127.0.0.1:$(site_admin_port 1)/announce"
    sleep 0.2
    for _ in 1 2 3 4 5 6 7 8 9 10 11 12; do
      status_of "http://127.0.0.1:$(site_caller_port 1)/endless/$1-$((++number))" >>"$dir/$1.statuses" &
      callers+=($!)
    done
    sleep 0.8
  done
  wait "${callers[@]}"
  echo "$1: $(grep -o ... "$dir/$1.statuses" | sort | uniq -c | tr '\n' ' ')"
  expect "the endless upstream was called ($1)" \
    "$(curl -s "http://127.0.0.1:$(site_admin_port 1)/metrics" | grep -c "upstream_runs_total.*upstream=\"$1\"")" -ge 1
  site_kill "$1"
  wait "${site_pids[$1]}" 2>/dev/null
  unset "site_pids[$1]"
}

ok='HTTP/1.1 200 OK\r\n'
endless nothing 'x' 'x'
endless fields "$ok" 'X-Field: value\r\n'
endless field "${ok}X-Field: " 'x'
endless interim 'HTTP/1.1 103 Early Hints\r\n\r\n' 'HTTP/1.1 103 Early Hints\r\n\r\n'
endless length "${ok}Content-Length: 1000000000000\r\n\r\n" 'x'
endless until-close "$ok\r\n" 'x'
endless chunks "${ok}Transfer-Encoding: chunked\r\n\r\n" '8\r\nxxxxxxxx\r\n'
site_start crowd sleep 60
check_crowd
finish
