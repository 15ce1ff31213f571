#include "components/once/crash_ledger.h"

#include <algorithm>

namespace kingcupstair::once {

CrashLedger::CrashLedger(Options options) : options(options) {}

// Evidence keeps the time of its crash on its way through the fleet; otherwise
// hosts would renew it for each other for ever.
bool CrashLedger::Add(const CrashEvidence& evidence, Instant at, Instant now) {
  const bool past = at + this->options.memory <= now;
  if (past || this->cleared.contains(evidence.fingerprint)) {
    return false;
  }
  return this->seen.emplace(evidence, at).second;
}

void CrashLedger::Clear(Fingerprint fingerprint, Instant now) {
  const size_t dropped = std::erase_if(this->seen, [&](const auto& entry) {
    return entry.first.fingerprint == fingerprint;
  });
  if (dropped > 0) {
    this->cleared[fingerprint] = now;
  }
}

Duration CrashLedger::RefusedFor(Fingerprint fingerprint, Instant now) const {
  std::vector<Instant> ends;
  const CrashEvidence first{.fingerprint = fingerprint, .upstream = ""};
  for (auto at = this->seen.lower_bound(first);
       at != this->seen.end() && at->first.fingerprint == fingerprint; ++at) {
    ends.push_back(at->second + this->options.memory);
  }
  std::erase_if(ends, [&](Instant end) { return end <= now; });
  if (ends.size() < this->options.crashes_to_refuse) {
    return {};
  }
  std::sort(ends.begin(), ends.end(), std::greater<>());
  return ends[this->options.crashes_to_refuse - 1] - now;
}

std::vector<AgedEvidence> CrashLedger::Current(Instant now) const {
  std::vector<AgedEvidence> current;
  for (const auto& [evidence, at] : this->seen) {
    if (at + this->options.memory > now) {
      current.push_back({.evidence = evidence, .age = now - at});
    }
  }
  return current;
}

void CrashLedger::Expire(Instant now) {
  const auto past = [&](const auto& entry) {
    return entry.second + this->options.memory <= now;
  };
  std::erase_if(this->seen, past);
  std::erase_if(this->cleared, past);
}

}  // namespace kingcupstair::once
