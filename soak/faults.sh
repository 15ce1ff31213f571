# The faults of the soak: what they do, and the plan of when. Sourced.

start_host() { site_relayed_host "$1" "zone-$(($1 % 2))"; }
start_upstream() {
  site_upstream "lote-$1" lote "$1" --slots 7 --work-ms 30 --run-log "$dir/runs.log"
}

# Ends a process of this soak, by its id, in whatever state it is.
end_process() {
  local pid="${site_pids[$1]:-}"
  [ -n "$pid" ] || return 0
  kill -KILL "$pid" 2>/dev/null
  kill -CONT "$pid" 2>/dev/null
  wait "$pid" 2>/dev/null
  unset "site_pids[$1]"
}

host_kill() { end_process "host$1"; }
host_term() { [ -n "${site_pids[host$1]:-}" ] && kill -TERM "${site_pids[host$1]}" 2>/dev/null || true; }
host_back() {
  end_process "host$1"
  end_process "relay$1"
  start_host "$1"
}
pause_process() { [ -n "${site_pids[$1]:-}" ] && kill -STOP "${site_pids[$1]}" 2>/dev/null || true; }
resume_process() { [ -n "${site_pids[$1]:-}" ] && kill -CONT "${site_pids[$1]}" 2>/dev/null || true; }
upstream_kill() { end_process "lote-$1"; }
upstream_back() {
  end_process "lote-$1"
  start_upstream "$1"
}
upstream_fault() { site_faults "lote-$1" "$2"; }
path_fault() { site_relay_faults "$1" "$2"; }
store_fault() { site_store_faults "$2"; }
# Sends the request that crashes upstreams to host $1. $2 makes its order known.
crash_request() {
  curl -s -o /dev/null --max-time 4 -X POST -H 'Authorization: Bearer packer-key' \
    -H 'X-Crash: exit' -H "X-Order: crash.$2" \
    "http://127.0.0.1:$(site_caller_port "$1")/lote/dispatch/crash" &
}
restart_crashed() {
  local number
  for ((number = 1; number <= hosts; number++)); do
    [ -n "${site_pids[lote-$number]:-}" ] || continue
    kill -0 "${site_pids[lote-$number]}" 2>/dev/null || upstream_back "$number"
  done
}
change_rules() {
  { cat "$dir/rules"; organisation "guest$2" 10 10 "guest-key-$2"; } >"$dir/rules.$2"
  site_ctl apply "$dir/rules.$2" >>"$dir/ctl.log" 2>&1 || true
}

# A fault of $1 at $2, from $at to $until, that is set as $3 and cleared as {}.
set_and_clear() {
  echo "$at $1 $2 $3"
  echo "$until $1 $2 {}"
}

# Two actions at $3, one at $at and the other at $until.
first_and_then() {
  echo "$at $1 $3"
  echo "$until $2 $3"
}

# The steps that one fault takes: begins at $1 ms, lasts $2 ms, at host $3.
fault_steps() {
  local at="$1" until=$(($1 + $2)) host="$3"
  case "$4" in
    kill) first_and_then host_kill host_back "$host" ;;
    term)
      # The process may take some seconds to end.
      until=$((until + 4000))
      first_and_then host_term host_back "$host"
      ;;
    pause) first_and_then pause_process resume_process "host$host" ;;
    pause_relay) first_and_then pause_process resume_process "relay$host" ;;
    cut_in) set_and_clear path_fault "$host" '{"drop_to_server":true}' ;;
    cut_out) set_and_clear path_fault "$host" '{"drop_to_client":true}' ;;
    refuse) set_and_clear path_fault "$host" '{"refuse":true,"reset_open":true}' ;;
    silence) echo "$at path_fault $host {\"silence_open\":true}" ;;
    reset) echo "$at path_fault $host {\"reset_open\":true}" ;;
    delay) set_and_clear path_fault "$host" '{"delay_ms":150}' ;;
    upstream_kill) first_and_then upstream_kill upstream_back "$host" ;;
    upstream_pause) first_and_then pause_process resume_process "lote-$host" ;;
    upstream_hang) set_and_clear upstream_fault "$host" '{"hang":true}' ;;
    upstream_fail) set_and_clear upstream_fault "$host" '{"error_share":0.6}' ;;
    upstream_cut) set_and_clear upstream_fault "$host" '{"cut":true}' ;;
    store_down) set_and_clear store_fault - '{"down":true}' ;;
    store_slow) set_and_clear store_fault - '{"delay_ms":400}' ;;
    store_loses) echo "$at store_fault - {\"lose_answers\":6}" ;;
    store_pause) first_and_then pause_process resume_process store ;;
    rules) echo "$at change_rules - $at" ;;
  esac
}

# crash_steps FROM UNTIL HOSTS: a request that crashes upstreams comes to one host
# after the other, and upstreams reject it for a while.
crash_steps() {
  local at host=0 until=$((($1 + $2) / 2))
  for ((at = $1; host < $3; at += 100)); do
    host=$((host + 1))
    set_and_clear upstream_fault "$host" '{"reject_share":0.7,"lie":true}'
  done
  host=0
  for ((at = $1; at < $2; at += 400)); do
    host=$((host % $3 + 1))
    echo "$at crash_request $host $at"
    echo "$((at + 1000)) restart_crashed -"
  done
}

# make_plan SECONDS HOSTS: lines of "MS ACTION TARGET DETAIL", by time, of the
# state of RANDOM. All that
# is begun ends a second or more before the callers do.
make_plan() {
  local kinds=(kill term pause pause_relay cut_in cut_out refuse silence reset delay
    upstream_kill upstream_pause upstream_hang upstream_fail upstream_cut
    store_down store_slow store_loses store_pause rules)
  local latest=$(($1 * 1000 - 8500)) count=$(($1 / 2)) i at length host kind steps=""
  # Drawn in this shell: bash seeds RANDOM anew in each subshell.
  for ((i = 0; i < count; i++)); do
    at=$((500 + RANDOM % latest))
    length=$((200 + RANDOM % 2800))
    host=$((1 + RANDOM % $2))
    kind="${kinds[RANDOM % ${#kinds[@]}]}"
    steps+="$(fault_steps "$at" "$length" "$host" "$kind")"$'\n'
  done
  steps+="$(crash_steps $((latest / 4)) "$latest" "$2")"$'\n'
  sort -n <<<"${steps%$'\n'}"
}

check_no_double() {
  local double
  double=$(awk '{print $3}' "$dir/runs.log" 2>/dev/null | sort | uniq -d | head -n 1)
  [ -z "$double" ] && return 0
  echo "FAILED: order $double was run twice"
  failures=$((failures + 1))
  return 1
}

# busiest_window PREFIX MS: the most runs of such orders in any window.
busiest_window() {
  awk -v p="$1" 'index($3, p) == 1 {print $1}' "$dir/runs.log" | sort -n |
    awk -v w="$2" '{t[NR] = $1; while (t[NR] - t[first + 1] >= w) first++
                    if (NR - first > most) most = NR - first} END {print most + 0}'
}
