#ifndef TESTS_SCENARIO_BASELINE_POLICY_H_
#define TESTS_SCENARIO_BASELINE_POLICY_H_

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "components/base/time.h"

namespace kingcupstair::scenario {

/// What the measurements are held against: an upstream is left out for a while
/// after some errors in a row, or while its health endpoint says that it is
/// unwell; the rest are chosen in random order.
class BaselinePolicy {
 public:
  explicit BaselinePolicy(uint64_t seed) : random(seed) {}

  void SetUpstreams(std::vector<std::string> ids);
  void OnHealth(const std::string& id, bool healthy);
  /// True when this answer led to an ejection.
  bool OnAnswer(const std::string& id, bool failed, Instant now);
  bool IsEjected(const std::string& id, Instant now) const;
  std::optional<std::string> Choose(const std::set<std::string>& tried,
                                    Instant now);

 private:
  struct State {
    int errors_in_row = 0;
    bool healthy = true;
    Instant out_until;
  };

  std::vector<std::string> upstreams;
  std::map<std::string, State> states;
  std::mt19937_64 random;
};

}  // namespace kingcupstair::scenario

#endif  // TESTS_SCENARIO_BASELINE_POLICY_H_
