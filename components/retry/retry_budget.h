#ifndef COMPONENTS_RETRY_RETRY_BUDGET_H_
#define COMPONENTS_RETRY_RETRY_BUDGET_H_

#include <map>
#include <string>

#include "components/base/time.h"

namespace kingcupstair::retry {

/// Retry budget per service, as a token bucket. Limits the retries and hedged
/// requests: the attempts that arrive at upstreams in addition to the first of
/// each request. Retries can therefore not multiply the load of a service that
/// is failing. In any window, their number stays below a fraction of the
/// requests in the window plus a slack.
class RetryBudget {
 public:
  struct Options {
    /// Retry tokens added by each request.
    double ratio = 0.2;
    /// Retry tokens per window that all hosts together get in addition to those
    /// added by requests.
    double slack = 60;
    /// Time over which the slack is granted.
    Duration window{std::chrono::seconds(10)};
  };

  explicit RetryBudget(Options options);

  /// Adds the retry tokens of one request for `service`. `share` is the
  /// fraction of the slack that is available here and nowhere else, 0 to 1.
  void OnRequest(const std::string& service, double share, Instant now);

  /// Takes one retry token. Returns false if the retry budget is used up.
  bool TryRetry(const std::string& service, double share, Instant now);

 private:
  struct Bucket {
    double tokens = 0;
    Instant refilled_at;
  };

  /// Adds the tokens of the slack for the time since the last call, up to the
  /// burst limit. Returns a reference to the tokens of `service`.
  double& Refill(const std::string& service, double share, Instant now);

  Options options;
  std::map<std::string, Bucket> buckets;
};

}  // namespace kingcupstair::retry

#endif  // COMPONENTS_RETRY_RETRY_BUDGET_H_
