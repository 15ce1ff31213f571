# Starts and stops a small site of separate processes on loopback. Sourced by
# the demo, the measurements and the tests with real processes.
#
#   site_begin DIR BASE_PORT    sets the ports; everything is written to DIR
#   site_store [flags]          starts the stand-in for the store
#   site_host N ZONE            starts the daemon of host N, from 1
#   site_upstream ID SERVICE N [flags]   starts an upstream on host N
#   site_ctl WORDS...           calls the operators' tool
#   site_end                    stops all that was started

site_bin="$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)/build/apps"
declare -A site_pids=()
declare -A site_upstream_ports=()

# Ports of one site, from its base port on.
site_port_span=700

site_begin() {
  site_dir="$1"
  site_base="$2"
  local first_ephemeral
  read -r first_ephemeral _ </proc/sys/net/ipv4/ip_local_port_range
  if [ $((site_base + site_port_span)) -gt "$first_ephemeral" ]; then
    echo "site_begin: ports from $site_base on: those from $first_ephemeral on are ephemeral" >&2
    exit 2
  fi
  mkdir -p "$site_dir"
  site_store_port=$((site_base))
  site_store_address="127.0.0.1:$site_store_port"
  site_next_upstream=$((site_base + 500))
  export KINGCUPSTAIR_STORE="$site_store_address"
  export KINGCUPSTAIR_FLEET_KEY="${KINGCUPSTAIR_FLEET_KEY:-a-fleet-key-for-one-site}"
  trap site_end EXIT
}

site_caller_port() { echo $((site_base + 10 * $1)); }
site_peer_port() { echo $((site_base + 10 * $1 + 1)); }
site_admin_port() { echo $((site_base + 10 * $1 + 2)); }

site_start() {
  local name="$1"
  shift
  "$@" >>"$site_dir/$name.log" 2>&1 &
  site_pids[$name]=$!
}

site_wait_http() {
  local url="$1" i
  for ((i = 0; i < 200; i++)); do
    curl -s -o /dev/null --max-time 1 "$url" && return 0
    sleep 0.05
  done
  echo "no answer from $url" >&2
  return 1
}

site_store() {
  site_start store "$site_bin/store-standin" --listen "$site_store_address" "$@"
  site_wait_http "http://$site_store_address/v1/counts"
}

site_host() {
  local number="$1" zone="$2"
  shift 2
  site_start "host$number" "$site_bin/kingcupstaird" \
    --listen "127.0.0.1:$(site_caller_port "$number")" \
    --peer-listen "127.0.0.1:$(site_peer_port "$number")" \
    --admin-listen "127.0.0.1:$(site_admin_port "$number")" \
    --zone "$zone" --seeds "127.0.0.1:$(site_peer_port 1),127.0.0.1:$(site_peer_port 2)" "$@"
  site_wait_http "http://127.0.0.1:$(site_admin_port "$number")/status"
}

site_upstream() {
  local id="$1" service="$2" host="$3" port
  shift 3
  port="${site_upstream_ports[$id]:-$((site_next_upstream++))}"
  site_upstream_ports[$id]=$port
  site_start "$id" "$site_bin/upstream-standin" --listen "127.0.0.1:$port" \
    --daemon "127.0.0.1:$(site_admin_port "$host")" --id "$id" \
    --service "$service" "$@"
}

# Sets the faults of a stand-in at an address.
site_set_faults() {
  curl -sf -o /dev/null --max-time 1 -X POST --data "$2" "http://$1/faults" && return 0
  echo "the faults at $1 were not set: $2" >&2
  return 1
}
site_faults() { site_set_faults "127.0.0.1:${site_upstream_ports[$1]}" "$2"; }
site_counts() { curl -s --max-time 5 "http://127.0.0.1:${site_upstream_ports[$1]}/counts"; }
site_store_faults() { site_set_faults "$site_store_address/v1" "$1"; }
site_ctl() { "$site_bin/kingcupstairctl" --author "${SITE_AUTHOR:-operator}" "$@"; }
site_status() { curl -s --max-time 2 "http://127.0.0.1:$(site_admin_port "$1")/status"; }

# Waits until every host given has this revision in force.
site_wait_revision() {
  local revision="$1" host i
  shift
  for host in "$@"; do
    for ((i = 0; i < 200; i++)); do
      [ "$(site_status "$host" | jq -r .revision)" -ge "$revision" ] 2>/dev/null && break
      sleep 0.05
    done
    [ "$(site_status "$host" | jq -r .revision)" -ge "$revision" ] || return 1
  done
}

# Waits until host $1 knows $2 upstreams in all.
site_wait_upstreams() {
  local i
  for ((i = 0; i < 200; i++)); do
    [ "$(site_status "$1" | jq '[.hosts[].upstreams] | add')" = "$2" ] && return 0
    sleep 0.05
  done
  echo "host $1 does not know $2 upstreams" >&2
  return 1
}

site_kill() {
  local name="$1" signal="${2:-KILL}"
  kill -"$signal" "${site_pids[$name]}"
}

site_stop() {
  local name="$1"
  kill -TERM "${site_pids[$name]}" 2>/dev/null || true
  wait "${site_pids[$name]}" 2>/dev/null || true
  unset "site_pids[$name]"
}

site_end() {
  local name
  for name in "${!site_pids[@]}"; do
    kill -CONT "${site_pids[$name]}" 2>/dev/null || true
    kill -KILL "${site_pids[$name]}" 2>/dev/null || true
  done
  for name in "${!site_pids[@]}"; do
    wait "${site_pids[$name]}" 2>/dev/null || true
  done
  site_pids=()
}

site_key_digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

# site_relayed_host N ZONE: a host whose peers reach it through a relay.
site_relayed_host() {
  local number="$1" zone="$2" relay
  relay=$(site_relay_address "$1")
  shift 2
  site_start "relay$number" "$site_bin/relay-standin" \
    --listen "$relay" --control "127.0.0.1:$((site_base + 10 * number + 6))" \
    --server "127.0.0.1:$(site_peer_port "$number")"
  site_host "$number" "$zone" --peer-address "$relay" "$@"
}

site_relay_faults() { site_set_faults "127.0.0.1:$((site_base + 10 * $1 + 6))" "$2"; }

site_hosts() {
  local number list=""
  for number in "$@"; do list="$list,127.0.0.1:$(site_caller_port "$number")"; done
  echo "${list#,}"
}

site_call() { "$site_bin/kingcupstair-caller" "$@"; }

site_relay_address() { echo "127.0.0.1:$((site_base + 10 * $1 + 5))"; }
site_store_relay_address() { echo "127.0.0.1:$((site_base + 10 * $1 + 7))"; }

# Starts the relay through which host N reaches the store.
site_store_relay() {
  site_start "store_relay$1" "$site_bin/relay-standin" \
    --listen "$(site_store_relay_address "$1")" \
    --control "127.0.0.1:$((site_base + 10 * $1 + 8))" --server "$site_store_address"
}

# site_store_relayed_host N ZONE: a host that reaches the store through a relay.
site_store_relayed_host() {
  site_store_relay "$1"
  site_host "$@" --store "$(site_store_relay_address "$1")"
}

site_store_relay_faults() { site_set_faults "127.0.0.1:$((site_base + 10 * $1 + 8))" "$2"; }
