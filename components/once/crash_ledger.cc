#include "components/once/crash_ledger.h"

#include <algorithm>

namespace kingcupstair::once {

CrashLedger::CrashLedger(Options options) : options(options) {}

// Evidence keeps the time of its crash when it is passed on between hosts.
// Otherwise hosts would renew the evidence for each other and it would never
// expire.
bool CrashLedger::Add(const CrashEvidence& evidence, Instant at, Instant now) {
  const bool expired = at + this->options.lifetime <= now;
  if (expired || this->cleared.contains(evidence.fingerprint)) {
    return false;
  }
  return this->crash_times.emplace(evidence, at).second;
}

bool CrashLedger::Clear(Fingerprint fingerprint, Instant now) {
  const size_t removed =
      std::erase_if(this->crash_times, [&](const auto& entry) {
        return entry.first.fingerprint == fingerprint;
      });
  if (removed > 0) {
    this->cleared[fingerprint] = now;
  }
  return removed > 0;
}

std::vector<Instant> CrashLedger::ExpiryTimes(Fingerprint fingerprint,
                                              Instant now) const {
  std::vector<Instant> ends;
  const CrashEvidence first{.fingerprint = fingerprint, .upstream = ""};
  for (auto at = this->crash_times.lower_bound(first);
       at != this->crash_times.end() && at->first.fingerprint == fingerprint;
       ++at) {
    ends.push_back(at->second + this->options.lifetime);
  }
  std::erase_if(ends, [&](Instant end) { return end <= now; });
  return ends;
}

size_t CrashLedger::CountCrashes(Fingerprint fingerprint, Instant now) const {
  return this->ExpiryTimes(fingerprint, now).size();
}

Duration CrashLedger::RefusedFor(Fingerprint fingerprint, Instant now) const {
  std::vector<Instant> ends = this->ExpiryTimes(fingerprint, now);
  if (ends.size() < this->options.crashes_to_refuse) {
    return {};
  }
  std::sort(ends.begin(), ends.end(), std::greater<>());
  return ends[this->options.crashes_to_refuse - 1] - now;
}

std::vector<AgedEvidence> CrashLedger::Current(Instant now) const {
  std::vector<AgedEvidence> current;
  for (const auto& [evidence, at] : this->crash_times) {
    if (at + this->options.lifetime > now) {
      current.push_back({.evidence = evidence, .age = now - at});
    }
  }
  return current;
}

void CrashLedger::Expire(Instant now) {
  const auto expired = [&](const auto& entry) {
    return entry.second + this->options.lifetime <= now;
  };
  std::erase_if(this->crash_times, expired);
  std::erase_if(this->cleared, expired);
}

}  // namespace kingcupstair::once
