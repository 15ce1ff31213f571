#!/usr/bin/env bash
# A withdrawn key stops on open connections within 5 s on every host; no
# upstream sees a key; an isolated host and one that starts during an outage of
# the store do not bring a withdrawn key back.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 26000
both="$(organisation growers 1000 1000 grower-key)
$(organisation packers 1000 1000 packer-key)"
rules_with "$both" >"$dir/rules"
rules_with "$(organisation packers 1000 1000 packer-key)" >"$dir/rules.withdrawn"
small_site "$dir/rules"

# One connection to host 2 that stays open over the withdrawal.
exec 7<>"/dev/tcp/127.0.0.1/$(site_caller_port 2)"
ask_open() {
  local line length=0 status
  printf 'GET /lote/status/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer grower-key\r\n\r\n' >&7
  read -r -t 5 _ status _ <&7
  while read -r -t 5 line <&7; do
    line="${line%$'\r'}"
    [ -z "$line" ] && break
    case "${line,,}" in content-length:*) length="${line#*: }" ;; esac
  done
  read -r -t 5 -N "$length" _ <&7
  echo "$status"
}
ask() { status_of -H "Authorization: Bearer $2" "http://127.0.0.1:$(site_caller_port "$1")/lote/status/1"; }

expect "the key works on the open connection" "$(ask_open)" = 200
expect "no key, no service" "$(status_of "http://127.0.0.1:$(site_caller_port 1)/lote/status/1")" = 401
expect "a wrong key, no service" "$(ask 1 other)" = 401
expect "an open route needs no key" "$(status_of "http://127.0.0.1:$(site_caller_port 1)/lote/open/1")" = 200
expect "the name of an organisation can't be claimed" "$(status_of -H 'Kingcupstair-Organisation: growers' "http://127.0.0.1:$(site_caller_port 1)/lote/status/1")" = 401

site_ctl apply "$dir/rules.withdrawn" >/dev/null
withdrawn=$(now_ms)
sleep 4.5
expect "the withdrawn key is refused on the open connection" "$(ask_open)" = 401
for host in 1 2 3; do
  expect "host $host refuses the withdrawn key" "$(ask $host grower-key)" = 401
  expect "host $host serves the other organisation" "$(ask $host packer-key)" = 200
done
expect "that was within 5 s" $(($(now_ms) - withdrawn)) -lt 6000

site_store_faults '{"down":true}'
site_kill host3 KILL
sleep 0.5
site_host 3 aqp-2
sleep 3
expect "a host started during the outage refuses the key" "$(ask 3 grower-key)" = 401
expect "and serves the other organisation" "$(ask 3 packer-key)" = 200

kill -STOP "${site_pids[host1]}" "${site_pids[host2]}"
sleep 5.5
expect "a host that hears nobody takes no new work" "$(ask 3 packer-key)" = 503
kill -CONT "${site_pids[host1]}" "${site_pids[host2]}"
sleep 2
expect "and serves again when it hears somebody" "$(ask 3 packer-key)" = 200

keys_seen=0
for id in lote-1 lote-2 lote-3; do
  keys_seen=$((keys_seen + $(site_counts "$id" | jq .keys_seen)))
done
expect "no upstream saw a key" "$keys_seen" = 0
expect "no key is in a log or event" "$(cat "$dir"/host*.log <(site_ctl --hosts "127.0.0.1:$(site_admin_port 1)" timeline) | grep -c -e grower-key -e packer-key)" = 0
finish
