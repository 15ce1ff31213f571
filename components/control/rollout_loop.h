#ifndef COMPONENTS_CONTROL_ROLLOUT_LOOP_H_
#define COMPONENTS_CONTROL_ROLLOUT_LOOP_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "components/control/fleet.h"
#include "components/health/rollout_judge.h"
#include "components/site/rollout_status.h"

namespace kingcupstair::control {

/// Keeps the states of the roll-outs in the store, and reads the verdicts that
/// stand there. The canary hosts of a roll-out and the host that made a verdict
/// call the store, some times for each order.
class RolloutLoop {
 public:
  /// Functions of the ingress.
  struct Rollouts {
    /// Returns all roll-outs, after those whose time is up have ended.
    std::function<std::vector<health::RolloutState>()> tick;
    /// Called with the state that the store has.
    std::function<void(const std::string& service,
                       const std::string& version,
                       bool is_rolled_back)>
        on_stored_status;
  };

  RolloutLoop(Fleet& fleet,
              site::RolloutStatusFormat format,
              Rollouts rollouts);

  /// Runs one round and sleeps until the next.
  void Step();

 private:
  struct Progress {
    std::string version;
    bool has_recorded_rollback = false;
    /// The state that the store is known to have.
    std::optional<site::RolloutStatus::State> stored;
    Instant retry_at;
  };

  void Follow(const health::RolloutState& state);
  /// Reads the state from the store, and replaces it by `wanted` unless it is
  /// final. Returns what the store has then, or nothing if that is not known.
  std::optional<site::RolloutStatus::State> Store(
      const std::string& service,
      const site::RolloutStatus& wanted) const;

  Fleet& fleet;
  site::RolloutStatusFormat format;
  Rollouts rollouts;
  /// By service.
  std::map<std::string, Progress> progress;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_ROLLOUT_LOOP_H_
