#ifndef COMPONENTS_SITE_ROLLOUT_STATUS_H_
#define COMPONENTS_SITE_ROLLOUT_STATUS_H_

#include <functional>
#include <optional>
#include <string>

namespace kingcupstair::site {

/// The state of a roll-out as it stands in the store.
struct RolloutStatus {
  enum class State { kActive, kCompleted, kRolledBack };

  State state = State::kActive;
  std::string version;

  bool operator==(const RolloutStatus&) const = default;
};

/// How a site writes the states of roll-outs to its store. Without a key prefix
/// no state is written, and no request goes to a version that is rolled out.
struct RolloutStatusFormat {
  /// The name of the service follows.
  std::string key_prefix;
  std::function<std::string(const RolloutStatus&)> encode;
  /// Returns nothing if the text is not of this form.
  std::function<std::optional<RolloutStatus>(const std::string&)> decode;
};

}  // namespace kingcupstair::site

#endif  // COMPONENTS_SITE_ROLLOUT_STATUS_H_
