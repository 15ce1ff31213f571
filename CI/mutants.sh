#!/usr/bin/env bash
# Takes one mechanism after the other out of a copy of the sources and checks
# that the proof of its promise fails then. Prints a line each.
#
#   CI/mutants.sh [NAME...]     only these
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git archive HEAD | tar -x -C "$copy"
cd "$copy"
cmake -S . -B build -G Ninja >/dev/null
missed=0

targets_of() {
  case "$1" in
    unit) echo unit_tests ;;
    io) echo io_tests ;;
    scenario) echo scenarios ;;
    *) echo all ;;
  esac
}

# mutant NAME FILE SED-EXPRESSION PROOF...
mutant() {
  local name="$1" file="$2" expression="$3" log
  shift 3
  if [ "${#only[@]}" -gt 0 ] && [[ ! " ${only[*]} " == *" $name "* ]]; then return 0; fi
  cp "$file" "$copy/saved"
  sed -i -e "$expression" "$file"
  if cmp -s "$file" "$copy/saved"; then
    echo "mutant $name: the expression changes nothing in $file"
    missed=1
    return 0
  fi
  log="$copy/mutant.log"
  # shellcheck disable=SC2046
  if ! ninja -C build $(targets_of "$1") >"$log" 2>&1; then
    echo "mutant $name: does not build"
    tail -n 5 "$log"
    missed=1
  elif "$@" >"$log" 2>&1; then
    echo "mutant $name: NOT NOTICED by $*"
    missed=1
  else
    echo "mutant $name: noticed by $*: $(grep -m 1 -e 'FAILED' -e 'error: Failure' -e 'Falsifiable' "$log" | sed 's/.*error: //')"
  fi
  cp "$copy/saved" "$file"
}
only=("$@")

unit() { build/tests/unit_tests -sg "$1"; }
io() { build/tests/io_tests ${1:+-sg "$1"}; }
scenario() { build/tests/scenarios "tests/scenario/scripts/$1.lua"; }
process() { "tests/process/$1_test.sh"; }

mutant floor components/health/ejection_planner.cc 's/if (this->ejected.size() >= allowed)/if (this->ejected.size() >= allowed + 9)/' unit EjectionPlanner
mutant key_stripped components/ingress/ingress.cc 's/{"Authorization", "Proxy-Authorization", "X-Api-Key",/{/' process keys
mutant isolation components/membership/isolation.cc 's/return hosts_known > 1 \&\&/return false \&\&/' process keys
mutant loan_exclusive components/limits/share_lender.cc 's/const bool taken = .*/const bool taken = false;/' unit RateLimitSimulation
mutant permits_counted components/limits/rate_pool.cc 's/bucket->outstanding_count += granted;/;/; s/bucket.outstanding_count += granted;/;/' unit RateLimitSimulation
mutant restart_holds_back components/limits/share_lender.cc 's/.expires = until + this->options.margin/.expires = until - std::chrono::hours(1)/' unit RateLimitSimulation
mutant sweep_drops components/limits/rate_pool.cc 's/loans.erase(lender) > 0) {/loans.count(lender) > 99) {/' unit RateLimitSimulation
mutant sweep_late_loans components/limits/rate_pool.cc 's/ || requested_at <= this->IgnoredUpTo(shard, lender)//' unit RateLimitSimulation
mutant sweep_by_all components/limits/loan_sweep.cc 's/      !this->unconfirmed.empty()) {/      false) {/' unit LoanSweep
mutant sweep_token components/limits/share_lender.cc 's/token == 0 || token != this->block.token/token == 0/' unit RateLimitSimulation
mutant sweep_margin components/limits/share_lender.cc '/void ShareLender::EndBlock/,/^}/s/now + this->options.margin/now/' unit RateLimitSimulation
mutant known_borrowers components/limits/share_lender.cc 's/this->eligible_borrowers.contains(borrower)/true/' unit RateLimitSimulation
mutant join_fence components/limits/join_fence.h 's/return read.version > /return read.version >= /' unit JoinFence
mutant warm_up components/admission/concurrency_limit.cc 's/1 \/ (kAnswersPerStep \* this->value)/100/' scenario warm_up
mutant zone_at_guard components/guard/guard.cc 's/return current->IsZoneOutOfService(this->options.zone) ||/return false \&\&/' process zone
mutant drain_at_guard components/guard/guard.cc 's/return found->second.announcement.draining ?/return false ?/' process zone
mutant whole_answer components/http/client.cc 's/if (read.error) {/if (false) {/' io
mutant endless_framing components/http/response_reader.cc 's/return this->framing_bytes > allowed/return this->framing_bytes > allowed + (size_t{1} << 40)/' io
mutant endless_bodies components/http/response_memory.cc 's/growth == 0 || this->used + growth <= this->options.pool_bytes/true/' io
mutant late_answer components/http/client.cc 's/connection->buffer.size() == 0;/true;/' io
mutant fence components/once/run_ledger.cc 's/    at->second = Fence{};/    ;/' unit RunLedger
mutant once_retry components/retry/retry_policy.cc 's/return this->result.idempotency == config::Idempotency::kIdempotent \&\&/return true \&\&/' process once
mutant retry_calls components/retry/retry_budget.cc 's/-= calls.count - paid;/-= 0;/' unit Retry
mutant crash_refusal components/once/crash_ledger.cc 's/if (ends.size() < this->options.crashes_to_refuse)/if (true)/' process crash_request
mutant crash_clearance components/guard/guarded_upstream.cc 's/return ran != nullptr \&\& ran->response.status < kFirstError;/return ran != nullptr;/' io
mutant crash_silence components/guard/crash_suspects.cc 's/} else if (reply == RunReply::kNone) {/} else if (false) {/' unit CrashSuspects
mutant crash_at_guard components/guard/guard.cc 's/      refused_for > Duration{}) {/      false) {/' io
mutant crash_rumors components/once/rumor_selection.h 's/(round \* (room - newest) + i)/(0 * round + i)/' unit RumorSelection
mutant crash_kept components/store/crash_evidence.cc 's/stored.content = std::move(content);/;/' process crash_evidence_outlives_all_hosts
mutant leave_time apps/kingcupstaird/daemon.cc 's/std::this_thread::sleep_for(schedule.accept_until - MonotonicNow());/;/' process shutdown
mutant respond_by components/ingress/request_run.cc 's/return std::min(this->admitted.deadline, this->context.respond_by());/return this->admitted.deadline;/' io StoppingIngress
mutant end_runs components/guard/guard.cc 's/  for (const CancellationPtr\& call : calls) {/  for (const CancellationPtr\& call : std::vector<CancellationPtr>()) {/' io StoppingIngress
mutant hedge_at_stop components/retry/hedge_time.cc 's/return std::min(started + delay, .*/return std::max(started + delay, std::min(earliest, latest));/' unit HedgeTime
mutant pipelined_at_stop components/http/server_connection.cc 's/ \&\& !this->server->stopping ? kMaxPipelined/ ? kMaxPipelined/' io HttpServer
mutant never_reverts components/config/replica.cc 's/if (offered.revision <= this->head.revision)/if (false)/; s/candidate.revision <= this->head.revision ||/false ||/' unit Replica
mutant write_id components/store/publisher.cc 's/if (current->head.write_id == head.write_id)/if (false)/' process config
mutant era_revision components/store/publisher.cc 's/next.era = std::max(next.era, era);/;/' process store_restore
mutant version_held_back components/ingress/rollout_board.cc 's/!rollout.has_other_version \&\& !rollout.judge.is_rolled_back() \&\&/true || !rollout.has_other_version ||/' unit RolloutChoice
mutant fair_queue components/admission/fair_queue.cc 's/best->virtual_finish = best_finish;/;/' unit UpstreamGate
exit "$missed"
