#ifndef COMPONENTS_ONCE_CRASH_LEDGER_H_
#define COMPONENTS_ONCE_CRASH_LEDGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "components/base/time.h"

namespace kingcupstair::once {

/// Hash of organisation, method, target and body. Requests with the same
/// fingerprint are the same request to an upstream.
using Fingerprint = uint64_t;

/// Crash evidence: a request with this fingerprint was running on an upstream
/// when that upstream crashed.
struct CrashEvidence {
  Fingerprint fingerprint = 0;
  std::string upstream;

  auto operator<=>(const CrashEvidence&) const = default;
};

/// Crash evidence with the time since the crash, from which a peer calculates
/// the time of the crash on its own clock.
struct AgedEvidence {
  CrashEvidence evidence;
  Duration age{};

  bool operator==(const AgedEvidence&) const = default;
};

/// Clearance of a request with the time since then.
struct AgedClearance {
  Fingerprint fingerprint = 0;
  Duration age{};

  bool operator==(const AgedClearance&) const = default;
};

/// Record of crash evidence. Distinguishes requests that crash the upstreams
/// that run them from requests that were only running at the same time.
class CrashLedger {
 public:
  struct Options {
    /// Time for which evidence and clearances count.
    Duration lifetime{std::chrono::minutes(10)};
    /// Number of different upstreams whose crashes are attributed to a request
    /// before the request is refused.
    size_t crashes_to_refuse = 2;
  };

  explicit CrashLedger(Options options);

  /// Adds evidence of a crash at time `at`, from this host or from a peer.
  /// Returns false if the evidence is already recorded, has expired, or is
  /// older than a clearance of the request.
  bool Add(const CrashEvidence& evidence, Instant at, Instant now);

  /// Records that an upstream ran the request successfully until `at`. This
  /// clears the request of all crashes up to then; later crashes count. Returns
  /// true if evidence was removed.
  bool Clear(Fingerprint fingerprint, Instant at);

  /// Records a clearance at time `at` that a peer told of.
  void AddClearance(Fingerprint fingerprint, Instant at, Instant now);

  /// Returns on how many upstreams that crashed the request was running.
  size_t CountCrashes(Fingerprint fingerprint, Instant now) const;

  /// Returns the time for which the request is still refused, or zero if the
  /// request may run.
  Duration RefusedFor(Fingerprint fingerprint, Instant now) const;

  /// Returns the evidence that has not expired, with its age, for peers. The
  /// newest comes first.
  std::vector<AgedEvidence> Current(Instant now) const;

  /// Returns the clearances that have not expired, with their age, for peers.
  /// The newest comes first.
  std::vector<AgedClearance> Clearances(Instant now) const;

  /// Removes expired evidence and expired clearances.
  void Expire(Instant now);

 private:
  /// Removes the evidence of crashes up to `at`. Returns true if there was any.
  bool RemoveEvidence(Fingerprint fingerprint, Instant at);
  /// Records a clearance at time `at` unless a later one is recorded.
  void RecordClearance(Fingerprint fingerprint, Instant at);
  /// Returns when each piece of evidence about the request expires, without
  /// those that have expired.
  std::vector<Instant> ExpiryTimes(Fingerprint fingerprint, Instant now) const;

  Options options;
  std::map<CrashEvidence, Instant> crash_times;
  /// Time of the last clearance of each request that had evidence here or at
  /// the peer that told of the clearance.
  std::map<Fingerprint, Instant> cleared;
};

}  // namespace kingcupstair::once

#endif  // COMPONENTS_ONCE_CRASH_LEDGER_H_
