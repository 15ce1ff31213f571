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
// crashed by that run.
void CrashSuspects::OnEnd(uint64_t ticket, RunReply reply, Instant now) {
  const auto run = this->running.extract(ticket);
  if (run.empty()) {
    return;
  }
  if (reply == RunReply::kAnswered) {
    std::erase_if(this->unanswered, [&](const CrashSuspect& suspect) {
      return suspect.at < run.mapped().started;
    });
  } else if (reply == RunReply::kNone) {
    this->ForgetOld(now);
    this->unanswered.push_back(
        {.fingerprint = run.mapped().fingerprint, .at = now});
  }
}

void CrashSuspects::ForgetOld(Instant now) {
  std::erase_if(this->unanswered, [&](const CrashSuspect& suspect) {
    return now - suspect.at > this->options.detection_time;
  });
}

std::vector<CrashSuspect> CrashSuspects::TakeEnded(Instant now) {
  this->ForgetOld(now);
  return std::exchange(this->unanswered, {});
}

std::vector<CrashSuspect> CrashSuspects::TakeAll(Instant now) {
  std::vector<CrashSuspect> suspects = this->TakeEnded(now);
  for (const auto& [ticket, run] : std::exchange(this->running, {})) {
    suspects.push_back({.fingerprint = run.fingerprint, .at = now});
  }
  return suspects;
}

}  // namespace kingcupstair::guard
