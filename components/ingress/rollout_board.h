#ifndef COMPONENTS_INGRESS_ROLLOUT_BOARD_H_
#define COMPONENTS_INGRESS_ROLLOUT_BOARD_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "components/config/configuration.h"
#include "components/health/rollout_judge.h"
#include "components/membership/host_record.h"

namespace kingcupstair::ingress {

/// End of an attempt at an upstream of a service.
struct AttemptEnd {
  std::string service;
  /// The upstream has the version that is rolled out.
  bool new_version = false;
  uint64_t work_class = 0;
  health::VersionEvidence evidence = health::VersionEvidence::kNone;
  Duration latency{};
};

/// The roll-outs that are ordered, and what this host knows of them: which
/// version requests must not go to, and which requests go there as a trial.
class RolloutBoard {
 public:
  struct Options {
    std::string own_host;
    /// Fraction of the requests of a service that a faulty version may get.
    double expose_share = 0.1;
    /// When this process started.
    Instant started_at;
  };

  explicit RolloutBoard(Options options) : options(std::move(options)) {}

  /// Adopts the orders, the hosts and the verdicts of other hosts.
  void Update(const std::vector<membership::HostRecord>& hosts,
              const config::Configuration& configuration,
              Instant now);

  /// Returns the version of `service` that requests go to only as a trial, or
  /// nothing. It is nothing too while no other version is known, since the
  /// service would have no upstream.
  std::optional<std::string> HeldBackVersion(const std::string& service,
                                             Instant now) const;

  /// Returns true if the version of `service` that is rolled out is `version`,
  /// and upstreams of another version are known.
  bool IsNewVersion(const std::string& service,
                    const std::string& version) const;

  /// Counts a request of `service` and returns true if it goes to the new
  /// version. See health::RolloutJudge::TakeTurn.
  bool TakeTurn(const std::string& service, bool non_idempotent, Instant now);

  /// Records that an attempt was sent to the new version of `service`.
  void OnSent(const std::string& service);

  void OnAttemptEnded(const AttemptEnd& end);

  /// Records the state that the store has of a roll-out. A host sends nothing
  /// to a version before it knows that the store has no verdict.
  void OnStoredStatus(const std::string& service,
                      const std::string& version,
                      bool is_rolled_back);

  /// Ends the roll-outs whose time is up. Returns all roll-outs of services
  /// that have upstreams of another version.
  std::vector<health::RolloutState> Tick(Instant now);

  /// Returns the versions that this host has rolled back by itself.
  std::vector<membership::VersionRollback> OwnRollbacks() const;

 private:
  struct Rollout {
    std::string version;
    health::RolloutJudge judge;
    health::CanaryRole role;
    /// The store has no verdict about the version.
    bool is_admitted = false;
    /// An upstream of another version is known.
    bool has_other_version = false;
  };

  void AddOrder(const config::RolloutRule& rule, Instant now);
  Rollout* Find(const std::string& service);

  Options options;
  /// By service.
  std::map<std::string, Rollout> rollouts;
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_ROLLOUT_BOARD_H_
