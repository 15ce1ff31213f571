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
  /// Names the start of the upstream that crashed.
  std::string upstream;

  auto operator<=>(const CrashEvidence&) const = default;
};

/// Crash evidence with the time since the crash or since the evidence was
/// cleared, from which a peer calculates that time on its own clock.
struct AgedEvidence {
  CrashEvidence evidence;
  Duration age{};

  bool operator==(const AgedEvidence&) const = default;
};

/// Record of crash evidence. Distinguishes requests that crash the upstreams
/// that run them from requests that were only running at the same time.
class CrashLedger {
 public:
  struct Options {
    /// Time for which evidence and clearances count.
    Duration lifetime{std::chrono::minutes(10)};
    /// Number of crashes, of different starts of upstreams, that are attributed
    /// to a request before the request is refused.
    size_t crashes_to_refuse = 2;
  };

  explicit CrashLedger(Options options);

  /// Adds evidence of a crash at time `at`, from this host or from a peer.
  /// Returns false if the evidence is already recorded, has expired or was
  /// cleared.
  bool Add(const CrashEvidence& evidence, Instant at, Instant now);

  /// Records that an upstream ran the request successfully until `at`. This
  /// clears the evidence about the request that is known here; other evidence
  /// counts. Returns true if evidence was cleared.
  bool Clear(Fingerprint fingerprint, Instant at);

  /// Records that a peer cleared this evidence at time `at`.
  void AddClearance(const CrashEvidence& evidence, Instant at, Instant now);

  /// Returns on how many upstreams that crashed the request was running.
  size_t CountCrashes(Fingerprint fingerprint, Instant now) const;

  /// Returns the time for which the request is still refused, or zero if the
  /// request may run.
  Duration RefusedFor(Fingerprint fingerprint, Instant now) const;

  /// Returns the evidence that has not expired, with its age, for peers. The
  /// newest comes first.
  std::vector<AgedEvidence> Current(Instant now) const;

  /// Returns the evidence whose clearance has not expired, with the age of the
  /// clearance, for peers. The newest comes first.
  std::vector<AgedEvidence> Clearances(Instant now) const;

  /// Removes expired evidence and expired clearances.
  void Expire(Instant now);

 private:
  using EvidenceTimes = std::map<CrashEvidence, Instant>;

  /// Returns the entries of `times` that have not expired, the newest first.
  std::vector<AgedEvidence> NewestFirst(const EvidenceTimes& times,
                                        Instant now) const;
  /// Returns when each piece of evidence about the request expires, without
  /// those that have expired.
  std::vector<Instant> ExpiryTimes(Fingerprint fingerprint, Instant now) const;

  Options options;
  EvidenceTimes crash_times;
  /// When evidence was cleared. It may still arrive from peers that have not
  /// heard of its clearance.
  EvidenceTimes clearance_times;
};

}  // namespace kingcupstair::once

#endif  // COMPONENTS_ONCE_CRASH_LEDGER_H_
