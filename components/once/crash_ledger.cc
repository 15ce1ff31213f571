#include "components/once/crash_ledger.h"

#include <algorithm>

namespace kingcupstair::once {

CrashLedger::CrashLedger(Options options) : options(options) {}

// Evidence and clearances keep the time at which they were first heard of.
// Otherwise hosts would renew them for each other and they would never expire.
bool CrashLedger::Add(const CrashEvidence& evidence, Instant at, Instant now) {
  const bool expired = at + this->options.lifetime <= now;
  if (expired || this->clearance_times.count(evidence) > 0) {
    return false;
  }
  return this->crash_times.emplace(evidence, at).second;
}

// A clearance names the evidence that it covers. Whether a crash came before a
// success can't be decided by time: each host calculates both times from the
// ages in messages that were under way for unlike times.
bool CrashLedger::Clear(Fingerprint fingerprint, Instant at) {
  return std::erase_if(this->crash_times, [&](const auto& entry) {
           const bool covered = entry.first.fingerprint == fingerprint;
           if (covered) {
             this->clearance_times.emplace(entry.first, at);
           }
           return covered;
         }) > 0;
}

void CrashLedger::AddClearance(const CrashEvidence& evidence,
                               Instant at,
                               Instant now) {
  if (at + this->options.lifetime > now) {
    this->crash_times.erase(evidence);
    this->clearance_times.emplace(evidence, at);
  }
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
  return this->NewestFirst(this->crash_times, now);
}

std::vector<AgedEvidence> CrashLedger::Clearances(Instant now) const {
  return this->NewestFirst(this->clearance_times, now);
}

std::vector<AgedEvidence> CrashLedger::NewestFirst(const EvidenceTimes& times,
                                                   Instant now) const {
  std::vector<AgedEvidence> current;
  for (const auto& [evidence, at] : times) {
    if (at + this->options.lifetime > now) {
      current.push_back({.evidence = evidence, .age = now - at});
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
  std::erase_if(this->clearance_times, expired);
}

}  // namespace kingcupstair::once
