# For the tests with real processes. Sourced.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
. scripts/lib/site.sh
failures=0
dir=$(mktemp -d)

# expect WHAT CONDITION...: CONDITION is a test(1) expression.
expect() {
  local what="$1"
  shift
  if [ "$@" ]; then
    echo "ok: $what"
  else
    echo "FAILED: $what ([ $* ])"
    failures=$((failures + 1))
  fi
}

finish() {
  site_end
  if [ "$failures" = 0 ]; then rm -rf "$dir"; else echo "logs are in $dir"; fi
  [ "$failures" = 0 ]
  exit
}

now_ms() { date +%s%3N; }

# A site of three hosts in two zones with upstreams lote-1..3, one a host; the
# rules are those of the file $1.
small_site() {
  site_store
  site_host 1 aqp-1
  site_host 2 aqp-1
  site_host 3 aqp-2
  local number
  for number in 1 2 3; do
    site_upstream "lote-$number" lote "$number" --slots 7 --run-log "$dir/runs.log" --linger-ms 8000
  done
  site_ctl apply "$1" >/dev/null
  site_wait_revision 1 1 2 3
  for number in 1 2 3; do site_wait_upstreams "$number" 3; done
  wait_shares 3
}

# Waits until $1 hosts hold about equal shares and have lent them.
wait_shares() {
  local hosts="$1" number i
  for ((i = 0; i < 300; i++)); do
    local settled=1
    for ((number = 1; number <= hosts; number++)); do
      [ "$(site_status "$number" | jq "(.share * $hosts - 1 | fabs) < 0.2")" = true ] || settled=0
    done
    [ "$settled" = 1 ] && break
    sleep 0.1
  done
  sleep 2.5
}

# rules_with ORGANISATION-LINES: rules of the service lote and organisations.
rules_with() {
  cat <<EOF
service lote floor 0.5 slots 7 # asked by: test
route GET /lote/status service lote idempotent keyed deadline 3s # asked by: test
route POST /lote/dispatch service lote once keyed deadline 5s # asked by: test
route GET /lote/open service lote idempotent open deadline 2s # asked by: test
EOF
  printf '%s\n' "$@"
}

organisation() {
  echo "organisation $1 rate $2 burst $3 key sha256:$(site_key_digest "$4") # asked by: test"
}

status_of() {
  curl -s -o /dev/null -w '%{http_code}' --max-time 10 "$@"
}

# How many lines of run log $1 are later than the time $2 and of upstream $3.
runs_after() {
  awk -v t="$2" -v id="$3" '$1 > t && $2 == id' "$1" | wc -l
}

# check_orders OUTCOMES...: no order was run twice, what was said of each is
# true. Sets doubled, false_not_run and false_ran.
check_orders() {
  sort "$@" | awk '{print $2, $4}' | sort >"$dir/said"
  awk '{print $3}' "$dir/runs.log" | sort | uniq -c | awk '{print $2, $1}' | sort >"$dir/ran"
  join -a 1 -e 0 -o 1.1,1.2,2.2 "$dir/said" "$dir/ran" >"$dir/joined"
  doubled=$(awk '$3 > 1' "$dir/joined" | wc -l)
  false_not_run=$(awk '$2 == "not-run" && $3 > 0' "$dir/joined" | wc -l)
  false_ran=$(awk '$2 == "ran" && $3 != 1' "$dir/joined" | wc -l)
}

# late_crash_runs PREFIX: the runs of such orders, of a request that crashes
# upstreams, later than 3 s after the third.
late_crash_runs() {
  awk -v p="$1" 'index($3, p) == 1 {print $1}' "$dir/runs.log" | sort -n |
    awk 'NR == 3 {third = $1} NR > 3 && $1 > third + 3000 {late++} END {print late + 0}'
}

# announce DRAINING [INCARNATION]: announces lote-1 to host 1 and prints the status.
announce() {
  jq -n --arg endpoint "127.0.0.1:${site_upstream_ports[lote-1]}" --argjson draining "$1" \
    --arg incarnation "${2:-1}" \
    '{id: "lote-1", service: "lote", endpoint: $endpoint, incarnation: $incarnation, slots: 7, draining: $draining}' |
    curl -s -o /dev/null -w '%{http_code}' --max-time 2 -X POST --data @- \
      "http://127.0.0.1:$(site_admin_port 1)/announce"
}

# A site of two hosts, each with an upstream. lote-1 serves and announces itself to
# nobody, so that the test does it for it.
site_with_announced_upstream() {
  rules_with "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
  site_store
  site_host 1 aqp-1
  site_host 2 aqp-1
  site_upstream lote-1 lote 1 --slots 7 --run-log "$dir/runs.log" --daemon 127.0.0.1:1
  site_upstream lote-2 lote 2 --slots 7 --run-log "$dir/runs.log"
  site_ctl apply "$dir/rules" >/dev/null
  site_wait_revision 1 1 2
}

# Two seconds of requests through host 2 of that site.
load() {
  site_call --key grower-key --hosts "$(site_hosts 2)" --rate 60 --length-ms 2000 \
    --target /lote/status/1 >"$dir/load.json"
}
