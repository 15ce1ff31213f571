#ifndef COMPONENTS_MEMBERSHIP_PROBER_H_
#define COMPONENTS_MEMBERSHIP_PROBER_H_

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace kingcupstair::membership {

/// Picks whom to probe: every host once a round, in an order shuffled anew
/// each round, and the helpers for an indirect probe.
class Prober {
 public:
  explicit Prober(uint64_t seed);

  /// The next host among `hosts` to probe; nothing when there is none.
  std::optional<std::string> Next(const std::vector<std::string>& hosts);

  /// Up to `count` hosts other than `target` to probe it through.
  std::vector<std::string> Helpers(const std::vector<std::string>& hosts,
                                   const std::string& target,
                                   size_t count);

 private:
  std::mt19937_64 random;
  std::vector<std::string> round;
};

}  // namespace kingcupstair::membership

#endif  // COMPONENTS_MEMBERSHIP_PROBER_H_
