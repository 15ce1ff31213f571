#ifndef COMPONENTS_GUARD_CRASH_WATCH_H_
#define COMPONENTS_GUARD_CRASH_WATCH_H_

#include <mutex>
#include <vector>

#include "components/once/crash_ledger.h"

namespace kingcupstair::guard {

/// The crash ledger of this process, shared by its roles. Safe to use from
/// several threads.
class CrashWatch {
 public:
  bool Add(const once::CrashEvidence& evidence, Duration age, Instant now) {
    const std::lock_guard lock(this->mutex);
    return this->ledger.Add(evidence, now - age, now);
  }

  void Clear(once::Fingerprint fingerprint, Instant now) {
    const std::lock_guard lock(this->mutex);
    this->ledger.Clear(fingerprint, now);
  }

  Duration RefusedFor(once::Fingerprint fingerprint, Instant now) const {
    const std::lock_guard lock(this->mutex);
    return this->ledger.RefusedFor(fingerprint, now);
  }

  std::vector<once::AgedEvidence> Current(Instant now) const {
    const std::lock_guard lock(this->mutex);
    return this->ledger.Current(now);
  }

  void Expire(Instant now) {
    const std::lock_guard lock(this->mutex);
    this->ledger.Expire(now);
  }

 private:
  mutable std::mutex mutex;
  once::CrashLedger ledger{{}};
};

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_CRASH_WATCH_H_
