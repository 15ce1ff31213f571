#!/usr/bin/env bash
# Measures what the control plane costs at several sizes: its modules alone, and
# fleets of idle daemons on loopback. Prints "slope NAME SIZE VALUE UNIT".
#
#   scripts/slopes.sh [SIZES]     sizes of the fleets, by default "4 8 16 32 64"
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh module_slopes kingcupstaird kingcupstairctl store-standin
. scripts/lib/site.sh
[ "${SLOPES_FLEETS_ONLY:-0}" = 1 ] || build/tests/module_slopes

seconds=15
lo_bytes() { awk '/lo:/ { print $2 }' /proc/net/dev; }
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
store_calls() { curl -s "http://$site_store_address/v1/counts" | jq '[.[]] | add'; }
all() { local name sum=0; for name in "${!site_pids[@]}"; do case $name in host*) sum=$((sum + $("$1" "${site_pids[$name]}"))) ;; esac; done; echo "$sum"; }

measure_fleet() {
  local hosts="$1" number dir
  dir=$(mktemp -d)
  site_begin "$dir" 10000
  site_store
  for ((number = 1; number <= hosts; number++)); do
    site_host "$number" "zone-$((number % 3))" --threads 1 --region "region-$((number % 3))"
  done
  site_ctl apply examples/small-site.rules >/dev/null
  for ((number = 1; number <= hosts; number++)); do site_wait_revision 1 "$number"; done
  # Until the changes of the start are no longer told of in probes.
  sleep 35
  local bytes ticks calls
  bytes=$(lo_bytes) ticks=$(all cpu_ticks) calls=$(store_calls)
  sleep "$seconds"
  bytes=$(($(lo_bytes) - bytes)) ticks=$(($(all cpu_ticks) - ticks)) calls=$(($(store_calls) - calls))
  # Each byte on the loopback device was sent by one process and received by
  # another; both count.
  echo "slope fleet.bytes_per_host $hosts $((bytes * 2 / seconds / hosts)) bytes_per_second"
  echo "slope fleet.cpu_per_host $hosts $(jq -n "$ticks / $seconds / $hosts * 100 / $(getconf CLK_TCK) | . * 1000 | round / 1000") percent_of_core"
  echo "slope fleet.memory_per_host $hosts $(($(all rss_kb) / hosts)) kb"
  echo "slope fleet.store_calls $hosts $(jq -n "$calls / $seconds") per_second"
  local begun last
  begun=$(date +%s%3N)
  site_ctl zone out nowhere >/dev/null
  for ((number = 1; number <= hosts; number++)); do site_wait_revision 2 "$number"; done
  last=$(site_ctl timeline --kind configuration_in_force 2>/dev/null | grep ' r2 ' | tail -n 1 | cut -d' ' -f1)
  echo "slope fleet.change_in_force $hosts $(($(date -d "$last" +%s%3N) - begun)) ms"
  site_end
}

for size in ${1:-4 8 16 32 64}; do measure_fleet "$size"; done
