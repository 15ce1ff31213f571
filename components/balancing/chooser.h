#ifndef COMPONENTS_BALANCING_CHOOSER_H_
#define COMPONENTS_BALANCING_CHOOSER_H_

#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "components/health/upstream_view.h"

namespace kingcupstair::balancing {

/// An upstream that load balancing may choose.
struct Candidate {
  health::UpstreamView view;
  /// The upstream is ejected and is due for trial requests.
  bool on_trial = false;

  bool operator==(const Candidate&) const = default;
};

/// Availability zones whose upstreams a request may go to.
enum class ZonePreference {
  kOwnZone,  ///< Only the own zone, or all zones if no upstream is left there.
  kAnyZone,  ///< All zones; the own zone has a lower cost.
};

/// Which upstreams a request prefers as to their health.
enum class HealthPreference {
  kAny,                ///< Any upstream; also finds out how the upstreams are.
  kLeastLikelyToFail,  ///< For requests that can't be sent again.
};

/// Load balancing by the power of two choices: takes the one of two random
/// upstreams with the lower cost.
class Chooser {
 public:
  struct Options {
    std::string own_zone;
    uint64_t seed = 0;
  };

  explicit Chooser(Options options);

  /// Returns the id of the upstream for the next attempt, or nullopt if no
  /// upstream is left. Upstreams in `tried`, which the request has already
  /// been to, and upstreams whose path is closed are left out. A fraction of
  /// the requests goes to an upstream on trial in any availability zone.
  std::optional<std::string> Choose(
      const std::vector<Candidate>& candidates,
      const std::set<std::string>& tried,
      ZonePreference reach = ZonePreference::kAnyZone,
      HealthPreference health = HealthPreference::kAny);

 private:
  /// Removes the upstreams in other availability zones, unless there are no
  /// others.
  void KeepOwnZone(std::vector<const health::UpstreamView*>& usable) const;
  /// Returns the one of some random upstreams of `usable` that is least likely
  /// to be failing.
  const health::UpstreamView* PickLeastLikelyToFail(
      const std::vector<const health::UpstreamView*>& usable);
  /// Returns the expected time of a new request in the upstream, weighted by
  /// availability zone. Only for comparison with other upstreams.
  double Cost(const health::UpstreamView& view) const;

  Options options;
  std::mt19937_64 random;
};

}  // namespace kingcupstair::balancing

#endif  // COMPONENTS_BALANCING_CHOOSER_H_
