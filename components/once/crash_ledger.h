#ifndef COMPONENTS_ONCE_CRASH_LEDGER_H_
#define COMPONENTS_ONCE_CRASH_LEDGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "components/base/time.h"

namespace kingcupstair::once {

/// Identifies requests that are the same to an upstream: organisation, method,
/// target and body.
using Fingerprint = uint64_t;

/// A request was running on an upstream when that upstream crashed.
struct CrashEvidence {
  Fingerprint fingerprint = 0;
  std::string upstream;

  auto operator<=>(const CrashEvidence&) const = default;
};

/// Evidence and how long ago the crash was, which peers count on from.
struct AgedEvidence {
  CrashEvidence evidence;
  Duration age{};

  bool operator==(const AgedEvidence&) const = default;
};

/// Tells requests that crash the upstreams that run them from requests that
/// were merely running beside one.
class CrashLedger {
 public:
  struct Options {
    /// How long evidence counts.
    Duration memory{std::chrono::minutes(10)};
    /// Crashes of different upstreams after which a request is refused.
    size_t crashes_to_refuse = 2;
  };

  explicit CrashLedger(Options options);

  /// Adds evidence of a crash at time `at`, seen here or heard from a peer;
  /// false when it was known or no longer counts.
  bool Add(const CrashEvidence& evidence, Instant at, Instant now);

  /// Notes that an upstream ran the request to its end without crashing,
  /// which clears it.
  void Clear(Fingerprint fingerprint, Instant now);

  /// How long the request is still to be refused; zero when it may run.
  Duration RefusedFor(Fingerprint fingerprint, Instant now) const;

  /// Evidence that still counts, with its age, for peers.
  std::vector<AgedEvidence> Current(Instant now) const;

  /// Forgets what no longer counts.
  void Expire(Instant now);

 private:
  Options options;
  std::map<CrashEvidence, Instant> seen;
  std::map<Fingerprint, Instant> cleared;
};

}  // namespace kingcupstair::once

#endif  // COMPONENTS_ONCE_CRASH_LEDGER_H_
