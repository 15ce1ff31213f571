#ifndef COMPONENTS_HEALTH_ROLLOUT_JUDGE_H_
#define COMPONENTS_HEALTH_ROLLOUT_JUDGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "components/base/time.h"

namespace kingcupstair::health {

/// Time in which a host that has started learns of the other hosts and of the
/// verdicts of the canary hosts among them.
inline constexpr Duration kMinHostAge{std::chrono::seconds(10)};

/// What one host does in the roll-out of a new version.
struct CanaryRole {
  bool is_canary = false;
  /// Fraction of the requests of a canary host that go to the new version.
  double fraction = 0;

  bool operator==(const CanaryRole&) const = default;
};

/// Returns the role of `own` in the roll-out of `version` of `service`. All
/// canary hosts together send half of `expose_share` of the requests to the new
/// version if each host receives the same number. `hosts` are the hosts that
/// are alive, `own` included. Hosts that know different hosts may find
/// different canary hosts; each part of a partitioned fleet stays within its
/// own share.
CanaryRole CanaryRoleOf(const std::string& own,
                        const std::vector<std::string>& hosts,
                        const std::string& service,
                        const std::string& version,
                        double expose_share);

/// Why a version is rolled back.
enum class RollbackReason { kNone, kFailures, kSlow, kTimeUp, kLearned };

/// Returns the text of `reason` as used in the details of events.
const char* ToText(RollbackReason reason);

/// A roll-out as one host sees it.
struct RolloutState {
  std::string service;
  std::string version;
  bool is_canary = false;
  RollbackReason rollback = RollbackReason::kNone;

  bool operator==(const RolloutState&) const = default;
};

/// Result of one request, as evidence of the version that it was sent to.
enum class VersionEvidence {
  kServed,
  kFailed,
  /// Given up without a response. Counts only if it took long.
  kAbandoned,
  /// The request did not reach the upstream, or the upstream refused to run it.
  kNone,
};

/// Judges a new version of one service at one host, by the responses that the
/// host itself has received. Compares its failures and latencies with those of
/// the old version on the same route. Uses the CUSUM test: the log-likelihood
/// ratio of "faulty" against "sound", summed from the last time that it was
/// zero. A version that becomes faulty later is thus found as soon as one that
/// is faulty from the start.
class RolloutJudge {
 public:
  struct Options {
    /// Time after which the version is rolled back.
    Duration within{};
    /// When this host learned of the order.
    Instant ordered_at;
    /// When this process started.
    Instant host_started_at;
  };

  explicit RolloutJudge(Options options) : options(options) {}

  /// Counts a request of the service and returns true if it goes to the new
  /// version. A request that is non-idempotent goes there only once the version
  /// has served enough others. A host that has just started may not know all
  /// hosts and verdicts, and sends nothing there.
  bool TakeTurn(const CanaryRole& role, bool non_idempotent, Instant now);

  /// Records that a request was sent to the new version.
  void OnSent() { ++this->in_flight; }

  /// Records the end of a request that was sent to the new version.
  void OnNewVersionResult(uint64_t route,
                          VersionEvidence evidence,
                          Duration latency);

  /// Records the end of a request that was sent to another version.
  void OnOldVersionResult(uint64_t route,
                          VersionEvidence evidence,
                          Duration latency);

  /// Rolls the version back if its time is up.
  void Tick(Instant now);

  /// Rolls the version back for a verdict made elsewhere.
  void Learn() { this->RollBack(RollbackReason::kLearned); }

  bool is_rolled_back() const { return this->reason != RollbackReason::kNone; }
  RollbackReason rollback_reason() const { return this->reason; }

 private:
  struct Baseline {
    int served = 0;
    /// Mean of the natural logarithm of the latency in microseconds.
    double mean_log_latency = 0;
  };

  struct Sums {
    double failures = 0;
    double slowness = 0;
  };

  void RollBack(RollbackReason found);
  void CountFailure(double& sum, bool failed) const;
  void CountLatency(Sums& route_sums,
                    uint64_t route,
                    VersionEvidence evidence,
                    Duration latency);

  Options options;
  RollbackReason reason = RollbackReason::kNone;
  /// Requests that may go to the new version.
  double credit = 0;
  int in_flight = 0;
  int served = 0;
  /// Fraction of the requests that the old version fails.
  double old_failure_rate = 0;
  std::map<uint64_t, Baseline> baselines;
  /// By route.
  std::map<uint64_t, Sums> sums;
  Sums all_routes;
};

}  // namespace kingcupstair::health

#endif  // COMPONENTS_HEALTH_ROLLOUT_JUDGE_H_
