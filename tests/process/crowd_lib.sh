# For the tests with a crowd of clients that nobody controls. Sourced.
. "$(dirname "$0")/lib.sh"

# Memory of the process in these tests, and its bound, in millions of bytes.
crowd_memory_mb=96
# Limit on the descriptors of the process, if a test sets one.
crowd_descriptors=""

# Process that samples memory, if a test has one.
crowd_watch=""

# One host with an upstream, whose memory is known to it.
crowd_site() {
  export KINGCUPSTAIR_MEMORY_MB="$crowd_memory_mb"
  rules_with "callers body-bytes 8388608 # asked by: test" \
    "$(organisation growers 10000 10000 grower-key)" >"$dir/rules"
  site_store
  local former
  former=$(ulimit -Sn)
  ulimit -Sn "${crowd_descriptors:-4000}"
  site_host 1 aqp-1
  ulimit -Sn "$former"
  site_upstream lote-1 lote 1 --slots 40 --run-log "$dir/runs.log"
  site_ctl apply "$dir/rules" >/dev/null
  site_wait_revision 1 1
  site_wait_upstreams 1 1
  wait_shares 1
}

# crowd ARGUMENTS...: starts a crowd at host 1 and waits until it has sent what
# the host takes. The connections stay open.
crowd() {
  local i
  site_start crowd "$(dirname "$site_bin")/tests/crowd_client" "port=$(site_caller_port 1)" "$@"
  for ((i = 0; i < 400; i++)); do
    grep -q '^crowd:' "$dir/crowd.log" && break
    sleep 0.1
  done
}

# watch_memory HOST: samples the memory of a host until the test ends: the resident
# bytes, and what the kernel holds of callers' bytes that were not read.
watch_memory() {
  local pid="${site_pids[host$1]}" port
  port=$(printf '%04X' "$(site_caller_port "$1")")
  (
    while kill -0 "$pid" 2>/dev/null; do
      awk '/VmRSS/ {print $2 * 1024}' "/proc/$pid/status" 2>/dev/null |
        awk -v port="$port" '
          function number(hex, i, sum) {
            for (i = 1; i <= length(hex); i++) {
              sum = sum * 16 + index("0123456789ABCDEF", substr(hex, i, 1)) - 1
            }
            return sum
          }
          NR == FNR {resident = $1; next}
          substr($2, 10) == port {
            split($5, queues, ":"); unread += number(queues[2])
          }
          END {print resident + unread, resident, unread}' - /proc/net/tcp
      sleep 0.05
    done >"$dir/memory"
  ) &
  crowd_watch=$!
}

# Sends an ordinary request up to three times, as a caller that was refused does.
# Sets status and try.
ordinary_request() {
  for try in 1 2 3; do
    status=$(status_of -H 'Authorization: Bearer grower-key' \
      "http://127.0.0.1:$(site_caller_port 1)/lote/status/1")
    [ "$status" = 200 ] && break
    sleep 1
  done
}

# Checks what has to hold while the crowd is there, whatever it did.
check_crowd() {
  local status="" try peak descriptors
  ordinary_request
  descriptors=$(ls "/proc/${site_pids[host1]}/fd" 2>/dev/null | wc -l)
  site_stop crowd
  if [ -n "$crowd_watch" ]; then
    kill "$crowd_watch"
    sort -n "$dir/memory" | tail -n 1 | awk '{print "with unread bytes at most", $1, "resident", $2, "unread", $3}'
    expect "memory with unread bytes stays under the bound" \
      "$(sort -n "$dir/memory" | tail -n 1 | cut -d ' ' -f 1)" -le $((crowd_memory_mb * 1000000))
  fi
  peak=$(awk '/VmHWM/ {print $2 * 1024}' "/proc/${site_pids[host1]}/status" 2>/dev/null)
  cat "$dir/crowd.log"
  echo "peak memory ${peak:-unknown} bytes, $descriptors descriptors, ordinary request: $status in try $try"
  expect "the process lives" "$(kill -0 "${site_pids[host1]}" 2>/dev/null && echo yes)" = yes
  expect "memory stays under the bound" "${peak:-999999999999}" -le $((crowd_memory_mb * 1000000))
  expect "descriptors stay under the bound" "$descriptors" -le "${crowd_descriptors:-4000}"
  expect "an ordinary request is served while the crowd is there" "$status" = 200
}
