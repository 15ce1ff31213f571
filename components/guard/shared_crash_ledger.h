#ifndef COMPONENTS_GUARD_SHARED_CRASH_LEDGER_H_
#define COMPONENTS_GUARD_SHARED_CRASH_LEDGER_H_

#include <mutex>
#include <utility>
#include <vector>

#include "components/once/crash_ledger.h"

namespace kingcupstair::guard {

/// Crash ledger that all roles of this process share. Safe to use from several
/// threads.
class SharedCrashLedger {
 public:
  /// Adds evidence of a crash that happened `age` before `now`. Returns false
  /// if the evidence is already known or no longer counts.
  bool Add(const once::CrashEvidence& evidence, Duration age, Instant now) {
    const std::lock_guard lock(this->mutex);
    const bool is_new = this->ledger.Add(evidence, now - age, now);
    this->has_news = this->has_news || is_new;
    return is_new;
  }

  /// Returns whether evidence was added since the last call.
  bool TakeNews() {
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->has_news, false);
  }

  /// Clears a request that an upstream has just run successfully. Returns true
  /// if there was evidence about it.
  bool Clear(once::Fingerprint fingerprint, Instant now) {
    const std::lock_guard lock(this->mutex);
    return this->ledger.Clear(fingerprint, now);
  }

  /// Records that a peer cleared this evidence `age` before `now`.
  void AddClearance(const once::CrashEvidence& evidence,
                    Duration age,
                    Instant now) {
    const std::lock_guard lock(this->mutex);
    this->ledger.AddClearance(evidence, now - age, now);
  }

  /// Returns on how many upstreams that crashed the request was running.
  size_t CountCrashes(once::Fingerprint fingerprint, Instant now) const {
    const std::lock_guard lock(this->mutex);
    return this->ledger.CountCrashes(fingerprint, now);
  }

  /// Returns how long the request is still refused; zero if it may run.
  Duration RefusedFor(once::Fingerprint fingerprint, Instant now) const {
    const std::lock_guard lock(this->mutex);
    return this->ledger.RefusedFor(fingerprint, now);
  }

  /// Returns the evidence that still counts, with its age.
  std::vector<once::AgedEvidence> Current(Instant now) const {
    const std::lock_guard lock(this->mutex);
    return this->ledger.Current(now);
  }

  /// Returns the evidence that was cleared, with the age of the clearance.
  std::vector<once::AgedEvidence> Clearances(Instant now) const {
    const std::lock_guard lock(this->mutex);
    return this->ledger.Clearances(now);
  }

  /// Removes evidence that no longer counts.
  void Expire(Instant now) {
    const std::lock_guard lock(this->mutex);
    this->ledger.Expire(now);
  }

 private:
  mutable std::mutex mutex;
  once::CrashLedger ledger{{}};
  bool has_news = false;
};

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_SHARED_CRASH_LEDGER_H_
