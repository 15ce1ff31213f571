#!/usr/bin/env bash
# A randomized soak: the real programs as separate processes, faults from
# outside them in overlapping series, promises checked from what callers and
# upstreams see. One seed gives one plan.
#
#   soak/soak.sh SEED [SECONDS] [HOSTS] [BASE-PORT]
set -u
seed="$1"
seconds="${2:-20}"
hosts="${3:-4}"
base="${4:-11000}"
# Sourcing the library goes to the repository's root.
. "$(dirname "$0")/../tests/process/lib.sh"
. soak/faults.sh

# The rate of the organisation that asks for three times as much, and what may
# run of it in any window: the wait for a slot can press a second more into it.
capped_rate=30
capped_burst=20
window_ms=5000
most_in_window=$((capped_rate * (window_ms / 1000 + 1) + capped_burst))
# After the last fault: a suspect host takes 3 s to be found dead, an ejected
# upstream up to 4 s to get its trial.
recovery_s=8

RANDOM=$seed
make_plan "$seconds" "$hosts" >"$dir/plan"

site_begin "$dir" "$base"
rules_with "$(organisation packers 2000 2000 packer-key)" \
  "$(organisation capped $capped_rate $capped_burst capped-key)" >"$dir/rules"
site_store
for ((number = 1; number <= hosts; number++)); do start_host "$number"; done
for ((number = 1; number <= hosts; number++)); do start_upstream "$number"; done
site_ctl apply "$dir/rules" >/dev/null
# shellcheck disable=SC2046
site_wait_revision 1 $(seq "$hosts")
site_wait_upstreams 1 "$hosts"
expect "all hosts know of each other" $? = 0
wait_shares "$hosts"

# Callers keep their connections until the process at the other end is gone.
all_hosts="$(site_hosts $(seq "$hosts"))"
call() {
  local name="$1" key="$2" rate="$3" length="$4"
  site_call --hosts "$all_hosts" --method POST --target /lote/dispatch --key "$key" \
    --rate "$rate" --length-ms "$length" --order-prefix "$name" \
    --outcomes-file "$dir/outcomes.$name" >"$dir/$name.json"
}
call orders packer-key 60 $((seconds * 1000)) &
callers=$!
call capped capped-key $((capped_rate * 3)) $((seconds * 1000)) &
callers="$callers $!"
begun=$(now_ms)
while read -r at action target detail; do
  pause=$((begun + at - $(now_ms)))
  [ "$pause" -gt 0 ] && sleep "$(printf '%d.%03d' $((pause / 1000)) $((pause % 1000)))"
  echo "$(($(now_ms) - begun)) $action $target $detail" >>"$dir/done"
  "$action" "$target" "$detail"
  check_no_double || break
done <"$dir/plan"
wait $callers
sleep "$recovery_s"
call after packer-key 60 3000

check_orders "$dir"/outcomes.*
expect "no order was run twice" "$doubled" = 0
expect "no order said to be not run was run" "$false_not_run" = 0
expect "each order said to be run was run" "$false_ran" = 0
expect "no window of $window_ms ms above $most_in_window runs at the rate of $capped_rate" \
  "$(busiest_window capped "$window_ms")" -le "$most_in_window"
late=$(late_crash_runs crash.)
expect "a request that crashes upstreams runs at most three times later than 3 s after the third ($late)" "$late" -le 3
expect "something was served meanwhile" "$(jq '.status["200"] // 0' "$dir/orders.json")" -gt 0
served=$(jq '.status["200"] // 0' "$dir/after.json")
sent=$(jq .sent "$dir/after.json")
expect "after the faults nearly all is served ($served of $sent)" $((served * 20)) -ge $((sent * 19))
echo "seed $seed: $([ "$failures" = 0 ] && echo ok || echo FAILED), $(wc -l <"$dir/plan") steps," \
  "orders $(jq -c .status "$dir/orders.json")"
finish
