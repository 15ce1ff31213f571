#ifndef COMPONENTS_BALANCING_CHOOSER_H_
#define COMPONENTS_BALANCING_CHOOSER_H_

#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "components/health/upstream_view.h"

namespace kingcupstair::balancing {

/// An upstream that may be chosen.
struct Candidate {
  health::UpstreamView view;
  /// Ejected, and due for a single request on trial.
  bool on_trial = false;

  bool operator==(const Candidate&) const = default;
};

/// Which upstreams a request goes to first.
enum class Reach {
  kOwnZone,  ///< Any of the own availability zone, if there are any left.
  kAnyZone,
};

/// Chooses upstreams by the better of two random ones.
class Chooser {
 public:
  struct Options {
    std::string own_zone;
    uint64_t seed = 0;
  };

  explicit Chooser(Options options);

  /// The id of the upstream for the next request; nothing when none is left.
  /// `tried` are upstreams that this request has been to.
  std::optional<std::string> Choose(const std::vector<Candidate>& candidates,
                                    const std::set<std::string>& tried,
                                    Reach reach = Reach::kAnyZone);

 private:
  void KeepOwnZone(std::vector<const health::UpstreamView*>& usable) const;
  double Cost(const health::UpstreamView& view) const;

  Options options;
  std::mt19937_64 random;
};

}  // namespace kingcupstair::balancing

#endif  // COMPONENTS_BALANCING_CHOOSER_H_
