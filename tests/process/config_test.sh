#!/usr/bin/env bash
# An accepted configuration is in force everywhere within 5 s and never
# reverts: racing operators, lost answers, outages of the store, restarts.
. "$(dirname "$0")/lib.sh"
site_begin "$dir" 27000
rules_with "$(organisation growers 1000 1000 grower-key)" >"$dir/rules"
small_site "$dir/rules"
revision() { site_status "$1" | jq -r .revision; }

# Watches that no host's revision falls.
(
  while sleep 0.05; do
    for host in 1 2 3; do echo "$host $(revision $host 2>/dev/null)"; done
  done >"$dir/revisions"
) &
watcher=$!

begun=$(now_ms)
site_ctl zone out nowhere >"$dir/out"
number=$(sed -n 's/revision //p' "$dir/out")
site_wait_revision "$number" 1 2 3
expect "in force everywhere within 5 s" $(($(now_ms) - begun)) -lt 5000

cp "$dir/rules" "$dir/rules.a"
cp "$dir/rules" "$dir/rules.b"
echo 'zone a out # asked by: Ana' >>"$dir/rules.a"
echo 'zone b out # asked by: Bea' >>"$dir/rules.b"
# The store is slow, so both read the same base.
site_store_faults '{"delay_ms":100}'
SITE_AUTHOR=Ana site_ctl apply "$dir/rules.a" >"$dir/race.a" 2>&1 & ana=$!
SITE_AUTHOR=Bea site_ctl apply "$dir/rules.b" >"$dir/race.b" 2>&1 & bea=$!
won=0
wait $ana && won=$((won + 1))
wait $bea && won=$((won + 1))
site_store_faults '{}'
expect "one of two racing operators wins" "$won" = 1
expect "the loser is told who came first" "$(cat "$dir"/race.? | grep -c 'came first')" = 1
site_ctl show >"$dir/shown"
expect "nothing of the loser is in force" "$(grep -c -e '^zone a' -e '^zone b' "$dir/shown")" = 1

before=$(sed -n 's/# revision \([0-9]*\).*/\1/p' "$dir/shown")
site_store_faults '{"lose_answers":1}'
site_ctl zone out lost-answer >"$dir/lost" 2>&1
expect "a lost answer is found out to be a write" "$(cat "$dir/lost")" = "revision $((before + 1))"
expect "and is in force once" "$(site_ctl show | grep -c 'zone lost-answer')" = 1

site_ctl apply /dev/stdin <<<'nonsense' >"$dir/bad" 2>&1
expect "a bad file is refused" "$?" = 1
expect "with its line and reason" "$(grep -c 'line 1, column' "$dir/bad")" = 1
expect "and nothing changes" "$(site_ctl show | sed -n 's/# revision \([0-9]*\).*/\1/p')" = "$((before + 1))"

site_wait_revision $((before + 1)) 1 2 3
site_store_faults '{"down":true}'
site_ctl zone out never >"$dir/down" 2>&1
expect "during an outage the change is refused" "$?" = 1
site_kill host2 KILL
sleep 0.5
site_host 2 aqp-1
site_wait_revision $((before + 1)) 2
expect "a host started during the outage learns from its peers" "$(revision 2)" = "$((before + 1))"
expect "and serves" "$(status_of -H 'Authorization: Bearer grower-key' "http://127.0.0.1:$(site_caller_port 2)/lote/status/1")" = 200
site_store_faults '{}'
begun=$(now_ms)
site_ctl zone in lost-answer >/dev/null
site_wait_revision $((before + 2)) 1 2 3
expect "after the outage changes are in force within 5 s" $(($(now_ms) - begun)) -lt 5000
kill $watcher
wait $watcher 2>/dev/null
# A host that has just started may stand at 0 until it has learnt.
falls=$(awk '$2 != "" && $2 > 0 { if ($2 < last[$1]) n++; last[$1] = $2 } END { print n + 0 }' "$dir/revisions")
expect "no revision fell" "$falls" = 0
finish
