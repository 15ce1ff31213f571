#include "components/guard/crash_suspects.h"

#include <utility>

namespace kingcupstair::guard {

void CrashSuspects::OnStart(uint64_t ticket, once::Fingerprint fingerprint) {
  this->running[ticket] = fingerprint;
}

void CrashSuspects::OnEnd(uint64_t ticket, RunReply reply, Instant now) {
  const auto run = this->running.extract(ticket);
  if (!run.empty() && reply == RunReply::kNone) {
    this->unanswered.push_back({.fingerprint = run.mapped(), .at = now});
  }
}

std::vector<CrashSuspect> CrashSuspects::TakeEnded() {
  return std::exchange(this->unanswered, {});
}

std::vector<CrashSuspect> CrashSuspects::TakeAll(Instant now) {
  std::vector<CrashSuspect> suspects = this->TakeEnded();
  for (const auto& [ticket, fingerprint] : std::exchange(this->running, {})) {
    suspects.push_back({.fingerprint = fingerprint, .at = now});
  }
  return suspects;
}

}  // namespace kingcupstair::guard
