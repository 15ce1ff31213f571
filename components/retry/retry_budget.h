#ifndef COMPONENTS_RETRY_RETRY_BUDGET_H_
#define COMPONENTS_RETRY_RETRY_BUDGET_H_

#include <map>
#include <string>

#include "components/base/time.h"

namespace kingcupstair::retry {

/// Bounds the arrivals at the upstreams of each service that are not the first
/// of a request, so that retries can't multiply the load of a service that is
/// failing. In any window they stay below a fraction of the requests in it plus
/// a slack.
class RetryBudget {
 public:
  struct Options {
    /// Retries earned by each request.
    double ratio = 0.2;
    /// Retries of all hosts together in a window, beyond what requests earn.
    double slack = 60;
    Duration window{std::chrono::seconds(10)};
  };

  explicit RetryBudget(Options options);

  /// Counts a request for `service`. `share` is the part of the slack that is
  /// held here and nowhere else, 0 to 1.
  void OnRequest(const std::string& service, double share, Instant now);

  /// Takes leave for one retry; false when the budget is used up.
  bool TryRetry(const std::string& service, double share, Instant now);

 private:
  struct Tokens {
    double held = 0;
    Instant filled;
  };

  double& TokensOf(const std::string& service, double share, Instant now);

  Options options;
  std::map<std::string, Tokens> tokens;
};

}  // namespace kingcupstair::retry

#endif  // COMPONENTS_RETRY_RETRY_BUDGET_H_
