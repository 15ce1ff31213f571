#ifndef COMPONENTS_GUARD_SHARED_CRASH_LEDGER_H_
#define COMPONENTS_GUARD_SHARED_CRASH_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <utility>
#include <vector>

#include "components/once/crash_ledger.h"
#include "components/once/kept_evidence.h"

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

  /// Adds evidence of a crash that was found by this host.
  bool AddOwn(const once::CrashEvidence& evidence, Duration age, Instant now) {
    const std::lock_guard lock(this->mutex);
    const bool is_new = this->ledger.Add(evidence, now - age, now);
    if (is_new) {
      this->has_news = true;
      this->kept.OnNews(evidence.fingerprint, now);
    }
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
    const bool cleared = this->ledger.Clear(fingerprint, now);
    if (cleared) {
      this->kept.OnNews(fingerprint, now);
    }
    return cleared;
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
    this->kept.Expire(now);
  }

  /// Returns the evidence that is to be in the store.
  once::EvidenceContent SelectForStore(Instant now, size_t max_pieces) const {
    const std::lock_guard lock(this->mutex);
    return once::SelectEvidence(this->ledger, now, max_pieces);
  }

  /// Returns false if this host has evidence or a clearance about the request
  /// that is not in the store.
  bool IsKept(once::Fingerprint fingerprint) const {
    const std::lock_guard lock(this->mutex);
    return this->kept.IsKept(fingerprint);
  }

  /// Returns true if this host has news that is not in the store.
  bool IsWriteDue() const {
    const std::lock_guard lock(this->mutex);
    return this->kept.IsWriteDue();
  }

  /// Returns the number of the latest news of this host.
  uint64_t LatestNews() const {
    const std::lock_guard lock(this->mutex);
    return this->kept.LatestNews();
  }

  /// Records that the store has the news of this host up to this number.
  void OnKept(uint64_t news) {
    const std::lock_guard lock(this->mutex);
    this->kept.OnKept(news);
  }

  /// Records that the store may have lost what was written to it.
  void OnStoreRestored() {
    const std::lock_guard lock(this->mutex);
    this->kept.OnStoreRestored();
  }

 private:
  mutable std::mutex mutex;
  once::CrashLedger ledger{{}};
  once::KeptEvidence kept{once::CrashLedger::Options{}.lifetime};
  bool has_news = false;
};

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_SHARED_CRASH_LEDGER_H_
