#ifndef COMPONENTS_MEMBERSHIP_PROBER_H_
#define COMPONENTS_MEMBERSHIP_PROBER_H_

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace kingcupstair::membership {

/// Selects the hosts to probe: every host once a round, in an order that is
/// shuffled again each round. Also selects the hosts that carry out an
/// indirect probe, and those that are told news.
class Prober {
 public:
  explicit Prober(uint64_t seed);

  /// Returns the next of `hosts` to probe, or nullopt if `hosts` is empty.
  std::optional<std::string> NextTarget(const std::vector<std::string>& hosts);

  /// Returns up to `count` random hosts other than `excluded`.
  std::vector<std::string> RandomHostsExcept(
      const std::vector<std::string>& hosts,
      const std::string& excluded,
      size_t count);

  /// Returns up to `count` of `hosts` that `own_host` tells news: the next host
  /// in the order of the names, and random ones. If each host that has the news
  /// tells these, it reaches all hosts.
  std::vector<std::string> HostsToTell(const std::vector<std::string>& hosts,
                                       const std::string& own_host,
                                       size_t count);

 private:
  std::mt19937_64 random;
  /// Hosts that are left to probe in this round.
  std::vector<std::string> round;
};

}  // namespace kingcupstair::membership

#endif  // COMPONENTS_MEMBERSHIP_PROBER_H_
