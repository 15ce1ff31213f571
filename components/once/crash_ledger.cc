#include "components/once/crash_ledger.h"

#include <algorithm>

namespace kingcupstair::once {

CrashLedger::CrashLedger(Options options) : options(options) {}

// Evidence keeps the time of its crash when it is passed on between hosts.
// Otherwise hosts would renew the evidence for each other and it would never
// expire.
bool CrashLedger::Add(const CrashEvidence& evidence, Instant at, Instant now) {
  const auto clearance = this->cleared.find(evidence.fingerprint);
  const bool expired = at + this->options.lifetime <= now;
  const bool cleared =
      clearance != this->cleared.end() && at <= clearance->second;
  if (expired || cleared) {
    return false;
  }
  return this->crash_times.emplace(evidence, at).second;
}

// A request without evidence needs no clearance: requests that succeed are
// many, and the ledger stays small.
bool CrashLedger::Clear(Fingerprint fingerprint, Instant at) {
  const bool removed = this->RemoveEvidence(fingerprint, at);
  if (removed) {
    this->RecordClearance(fingerprint, at);
  }
  return removed;
}

// Recorded also without evidence here: it may still arrive from another peer.
void CrashLedger::AddClearance(Fingerprint fingerprint,
                               Instant at,
                               Instant now) {
  if (at + this->options.lifetime > now) {
    this->RemoveEvidence(fingerprint, at);
    this->RecordClearance(fingerprint, at);
  }
}

bool CrashLedger::RemoveEvidence(Fingerprint fingerprint, Instant at) {
  return std::erase_if(this->crash_times, [&](const auto& entry) {
           return entry.first.fingerprint == fingerprint && entry.second <= at;
         }) > 0;
}

void CrashLedger::RecordClearance(Fingerprint fingerprint, Instant at) {
  Instant& clearance = this->cleared.emplace(fingerprint, at).first->second;
  clearance = std::max(clearance, at);
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
  std::stable_sort(current.begin(), current.end(),
                   [](const auto& a, const auto& b) { return a.age < b.age; });
  return current;
}

std::vector<AgedClearance> CrashLedger::Clearances(Instant now) const {
  std::vector<AgedClearance> current;
  for (const auto& [fingerprint, at] : this->cleared) {
    if (at + this->options.lifetime > now) {
      current.push_back({.fingerprint = fingerprint, .age = now - at});
    }
  }
  std::stable_sort(current.begin(), current.end(),
                   [](const auto& a, const auto& b) { return a.age < b.age; });
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
