#!/usr/bin/env bash
# A request that was being received when a stopping host closed its port, and
# is complete a moment later, is answered or not run.
. "$(dirname "$0")/lib.sh"
export KINGCUPSTAIR_STOP_GRACE_MS=6000
site_begin "$dir" 16000
rules_with "$(organisation growers 5000 5000 grower-key)" >"$dir/rules"
cat >>"$dir/rules" <<RULES
service quay floor 0.5 slots 20 # asked by: test
route POST /quay/dispatch service quay once open deadline 10s # asked by: test
RULES
site_store
for number in 1 2 3 4; do site_host "$number" aqp-1; done
site_upstream quay-4 quay 4 --slots 20 --run-log "$dir/runs.log" --work-ms 600
site_ctl apply "$dir/rules" >/dev/null
site_wait_revision 1 1 2 3 4
for number in 1 2 3 4; do site_wait_upstreams "$number" 1; done

# The port closes 2 s after the signal.
declare -A complete_after=([1]=2.04 [2]=2.07 [3]=2.10)
declare -A sockets=()
for number in 1 2 3; do
  exec {socket}<>"/dev/tcp/127.0.0.1/$(site_caller_port "$number")"
  sockets[$number]=$socket
  printf 'POST /quay/dispatch HTTP/1.1\r\nHost: lote\r\nX-Order: upload-%s\r\nContent-Length: 10\r\n\r\n12345' "$number" >&"$socket"
  timeout 9 cat <&"$socket" >"$dir/answer-$number" 2>/dev/null &
done
sleep 0.5
for number in 1 2 3; do
  kill -TERM "${site_pids[host$number]}"
  (
    sleep "${complete_after[$number]}"
    printf 67890 >&"${sockets[$number]}"
  ) 2>/dev/null &
done
for number in 1 2 3; do
  wait "${site_pids[host$number]}"
  unset "site_pids[host$number]"
done
# Runs in progress are logged when they end.
sleep 1
for number in 1 2 3; do
  runs="$(awk -v o="upload-$number" '$3 == o' "$dir/runs.log" 2>/dev/null | wc -l)"
  answers="$(grep -c '^HTTP/1.1' "$dir/answer-$number")"
  echo "complete ${complete_after[$number]} s after the signal: runs $runs, responses $answers"
  expect "upload-$number is answered or not run" "$answers" = 1 -o "$runs" = 0
done
finish
