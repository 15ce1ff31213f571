#include "components/guard/crash_suspects.h"

#include <utility>

namespace kingcupstair::guard {

CrashSuspects::CrashSuspects(Options options) : options(options) {}

void CrashSuspects::OnStart(uint64_t ticket,
                            once::Fingerprint fingerprint,
                            Instant now) {
  this->running[ticket] = {.fingerprint = fingerprint, .started = now};
}

// An upstream that answers a request sent after another run ended was not
// crashed by that run, unless it is the next start of the upstream that
// answers. The announcement that follows tells which start it was.
void CrashSuspects::OnEnd(uint64_t ticket, RunReply reply, Instant now) {
  const auto run = this->running.extract(ticket);
  if (run.empty()) {
    return;
  }
  if (reply == RunReply::kAnswered) {
    for (UnansweredRun& each : this->unanswered) {
      each.later_run_answered =
          each.later_run_answered || each.suspect.at < run.mapped().started;
    }
  } else if (reply == RunReply::kNone) {
    this->ForgetOld(now);
    this->unanswered.push_back(
        {.suspect = {.fingerprint = run.mapped().fingerprint, .at = now}});
  }
}

void CrashSuspects::OnAnnounced() {
  std::erase_if(this->unanswered, [](const UnansweredRun& each) {
    return each.later_run_answered;
  });
}

void CrashSuspects::ForgetOld(Instant now) {
  std::erase_if(this->unanswered, [&](const UnansweredRun& each) {
    return now - each.suspect.at > this->options.detection_time;
  });
}

std::vector<CrashSuspect> CrashSuspects::TakeEnded(Instant now) {
  this->ForgetOld(now);
  std::vector<CrashSuspect> suspects;
  for (const UnansweredRun& each : std::exchange(this->unanswered, {})) {
    suspects.push_back(each.suspect);
  }
  return suspects;
}

std::vector<CrashSuspect> CrashSuspects::TakeAll(Instant now) {
  std::vector<CrashSuspect> suspects = this->TakeEnded(now);
  for (const auto& [ticket, run] : std::exchange(this->running, {})) {
    suspects.push_back({.fingerprint = run.fingerprint, .at = now});
  }
  return suspects;
}

}  // namespace kingcupstair::guard
