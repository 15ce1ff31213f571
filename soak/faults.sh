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
host_term() { kill -TERM "${site_pids[host$1]:-0}" 2>/dev/null || true; }
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
change_rules() {
  { cat "$dir/rules"; organisation "guest$2" 10 10 "guest-key-$2"; } >"$dir/rules.$2"
  site_ctl apply "$dir/rules.$2" >>"$dir/ctl.log" 2>&1 || true
}

# The steps that one fault takes: begins at $1 ms, lasts $2 ms, at host $3.
fault_steps() {
  local at="$1" until=$(($1 + $2)) host="$3"
  case "$4" in
    kill) echo "$at host_kill $host" && echo "$until host_back $host" ;;
    term) echo "$at host_term $host" && echo "$((until + 4000)) host_back $host" ;;
    pause) echo "$at pause_process host$host" && echo "$until resume_process host$host" ;;
    pause_relay) echo "$at pause_process relay$host" && echo "$until resume_process relay$host" ;;
    cut_in) echo "$at path_fault $host {\"drop_to_server\":true}" && echo "$until path_fault $host {}" ;;
    cut_out) echo "$at path_fault $host {\"drop_to_client\":true}" && echo "$until path_fault $host {}" ;;
    refuse) echo "$at path_fault $host {\"refuse\":true,\"reset_open\":true}" && echo "$until path_fault $host {}" ;;
    silence) echo "$at path_fault $host {\"silence_open\":true}" ;;
    reset) echo "$at path_fault $host {\"reset_open\":true}" ;;
    delay) echo "$at path_fault $host {\"delay_ms\":150}" && echo "$until path_fault $host {}" ;;
    upstream_kill) echo "$at upstream_kill $host" && echo "$until upstream_back $host" ;;
    upstream_pause) echo "$at pause_process lote-$host" && echo "$until resume_process lote-$host" ;;
    upstream_hang) echo "$at upstream_fault $host {\"hang\":true}" && echo "$until upstream_fault $host {}" ;;
    upstream_fail) echo "$at upstream_fault $host {\"error_share\":0.6}" && echo "$until upstream_fault $host {}" ;;
    upstream_cut) echo "$at upstream_fault $host {\"cut\":true}" && echo "$until upstream_fault $host {}" ;;
    store_down) echo "$at store_fault - {\"down\":true}" && echo "$until store_fault - {}" ;;
    store_slow) echo "$at store_fault - {\"delay_ms\":400}" && echo "$until store_fault - {}" ;;
    store_loses) echo "$at store_fault - {\"lose_answers\":6}" ;;
    store_pause) echo "$at pause_process store" && echo "$until resume_process store" ;;
    rules) echo "$at change_rules - $at" ;;
  esac
}

# make_plan SECONDS HOSTS: lines of "MS ACTION TARGET DETAIL", by time. All that
# is begun ends two seconds before the callers do.
make_plan() {
  local kinds=(kill term pause pause_relay cut_in cut_out refuse silence reset delay
    upstream_kill upstream_pause upstream_hang upstream_fail upstream_cut
    store_down store_slow store_loses store_pause rules)
  local latest=$(($1 * 1000 - 8500)) count=$(($1 / 2)) i at length
  for ((i = 0; i < count; i++)); do
    at=$((500 + RANDOM % latest))
    length=$((200 + RANDOM % 2800))
    fault_steps "$at" "$length" $((1 + RANDOM % $2)) "${kinds[RANDOM % ${#kinds[@]}]}"
  done | sort -n
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
