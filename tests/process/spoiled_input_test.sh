#!/usr/bin/env bash
# Bytes that can't be read, from callers, upstreams, operators, peers or the store,
# end a process.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 16250
seed="${SEED:-1}"
count="${COUNT:-80}"
client="$(dirname "$site_bin")/tests/spoiled_client"
rules_with "callers header-bytes 131072 # asked by: test" \
  "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
site_store
site_host 1 aqp-1 --ready-listen "127.0.0.1:$((site_base + 13))" \
  --metrics-listen "127.0.0.1:$((site_base + 14))"
site_host 2 aqp-1
for number in 1 2; do site_upstream "lote-$number" lote "$number" --slots 7 --run-log "$dir/runs.log"; done
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 1 1 2
wait_shares 2

# Exceptions that ended a step of both processes.
exceptions() {
  cat "$dir"/host?.log | grep -c "a step failed with an exception"
}

# check FACE: both processes live and an ordinary request is served.
check() {
  local number status try
  for number in 1 2; do
    expect "host $number lives ($1)" "$(kill -0 "${site_pids[host$number]}" 2>/dev/null && echo yes)" = yes
  done
  for try in 1 2 3; do
    status=$(status_of -H 'Authorization: Bearer grower-key' "http://127.0.0.1:$(site_caller_port 1)/lote/status/1")
    [ "$status" = 200 ] && break
    sleep 1
  done
  expect "an ordinary request is served ($1)" "$status" = 200
}

# spoil FACE PORT TEMPLATE: sends spoiled copies of a message.
spoil() {
  printf "$3" >"$dir/$1.message"
  echo "$1: $("$client" send "127.0.0.1:$2" "$dir/$1.message" "$seed" "$count" | tr -d '\0' | tr '\n' ' ')"
  check "$1"
}

body='{"id":"lote-9","service":"lote","version":"v1","endpoint":"127.0.0.1:9","incarnation":"1","slots":4,"draining":true}'
caller_head='Host: site\r\nAuthorization: Bearer grower-key\r\nX-Order: a\r\n'
spoil caller "$(site_caller_port 1)" "POST /lote/dispatch/1 HTTP/1.1\r\n${caller_head}Content-Length: 2\r\n\r\nab"
spoil chunks "$(site_caller_port 1)" "POST /lote/dispatch/1 HTTP/1.1\r\n${caller_head}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Last: b\r\n\r\n"
spoil trace "$(site_caller_port 1)" "TRACE /lote/status/1 HTTP/1.1\r\n${caller_head}Content-Length: 2\r\n\r\nab"
spoil announcement "$(site_admin_port 1)" "POST /announce HTTP/1.1\r\nHost: h\r\nContent-Length: ${#body}\r\n\r\n$body"
spoil pages "$(site_admin_port 1)" "GET /place?host=a&method=GET&path=/lote/status/1&body-bytes=7&organisation=growers HTTP/1.1\r\nHost: h\r\n\r\n"
spoil readiness "$((site_base + 13))" "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"
spoil metrics "$((site_base + 14))" "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
spoil peer "$(site_peer_port 1)" '\0\0\0\0\4\0\0\0\0\0\0\0\1\0\1\0\10\0\0\0\0\0\0\0\0\0\0\0\0\0\1\0\0\0\0\0\0\0\0\0'

# The messages of the review that are rare among those of a seed.
long=$(head -c 70000 /dev/zero | tr '\0' x)
for field in "X-Long: $long" "$long: v"; do
  printf 'GET /lote/status/1 HTTP/1.1\r\nHost: site\r\n%s\r\n\r\n' "$field" >"$dir/long"
  timeout 5 curl -s --max-time 3 "telnet://127.0.0.1:$(site_caller_port 1)" <"$dir/long" >/dev/null
  check "a field of 70,000 bytes"
done
status_of -X TRACE -H 'Authorization: Bearer grower-key' --data ab \
  "http://127.0.0.1:$(site_caller_port 1)/lote/status/1" >/dev/null
check "TRACE with a body"

# Answers of an upstream. It announces itself like another one, for as long as it is called.
printf 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nKeep-Alive: timeout=5\r\nContent-Length: 5\r\n\r\nhello' >"$dir/answer"
site_start spoiler "$client" answer "127.0.0.1:$((site_base + 600))" "$dir/answer" "$seed"
for ((i = 0; i < count; i++)); do
  [ $((i % 10)) = 0 ] && jq -n --arg endpoint "127.0.0.1:$((site_base + 600))" \
    '{id: "spoiler", service: "lote", endpoint: $endpoint, incarnation: "1", slots: 7, draining: false}' |
    curl -s -o /dev/null --max-time 2 -X POST --data @- "http://127.0.0.1:$(site_admin_port 1)/announce"
  status_of -H 'Authorization: Bearer grower-key' "http://127.0.0.1:$(site_caller_port 2)/lote/status/$i" >/dev/null
done
site_kill spoiler
check "answers of an upstream"

# Records of the store, which the next start of a host reads.
host="127.0.0.1:$(site_peer_port 2)"
put() {
  printf "$2" | curl -s -o /dev/null --max-time 2 -X PUT --data-binary @- "http://$site_store_address/v1/kv/$1"
}
put "kingcupstair/departures/$host" '["lote-2/@1","\\u00ff\\u0000/x","/","x",""]'
put kingcupstair/crashes '{"crashes":[{"fingerprint":1e99,"upstream":"\\ud800"}],"clearances":[7,"\xff"]}'
put kingcupstair/shares '{"hosts":{"\xff":[]}}'
site_kill host2 KILL
wait "${site_pids[host2]}" 2>/dev/null
site_host 2 aqp-1
sleep 2
check "records of the store"
echo "exceptions: $(exceptions)"
[ "$(exceptions)" = 0 ] || grep -h "a step failed with an exception" "$dir"/host?.log | head -n 5
finish
