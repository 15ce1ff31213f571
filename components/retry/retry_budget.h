#ifndef COMPONENTS_RETRY_RETRY_BUDGET_H_
#define COMPONENTS_RETRY_RETRY_BUDGET_H_

#include <map>
#include <string>

#include "components/base/time.h"
#include "components/retry/call_counts.h"

namespace kingcupstair::retry {

/// Retry budget per service, as a token bucket. Limits the retries and hedged
/// requests: the attempts that arrive at upstreams in addition to the first of
/// each request. Retries can therefore not multiply the load of a service that
/// is failing. In any window, their number stays below a fraction of the
/// requests in the window plus a slack.
///
/// A retry also pays for the calls that its run is expected to make to other
/// services, from the budgets of those services. How many calls a retry makes
/// is learned from the calls reported with OnCalls.
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

  /// Adds the retry tokens of calls to the budget of the service called, and
  /// charges those made by retries, except for those that the retries have paid
  /// for. The budget may be overdrawn.
  void OnCalls(const CallCounts& calls, double share, Instant now);

  /// Takes one retry token of `service`, and the tokens of the calls that the
  /// retry is expected to make. Returns false and takes nothing if one of the
  /// budgets is used up.
  bool TryRetry(const std::string& service, double share, Instant now);

 private:
  struct Bucket {
    double tokens = 0;
    Instant refilled_at;
  };

  /// Calls to one service by the retries of another.
  struct CalledService {
    /// Calls reported, exponentially decayed.
    double calls = 0;
    /// Tokens paid in advance for calls that have not been reported yet.
    double prepaid = 0;
  };

  /// The retries of one service and the calls that they made.
  struct CallingService {
    /// Retries granted, exponentially decayed.
    double retries = 0;
    Instant decayed_at;
    std::map<std::string, CalledService> called;
  };

  /// Adds the tokens of the slack for the time since the last call, up to the
  /// burst limit. Returns a reference to the tokens of `service`.
  double& Refill(const std::string& service, double share, Instant now);
  CallingService& Decay(const std::string& service, Instant now);
  static double CallsPerRetry(const CallingService& calling,
                              const CalledService& called);

  Options options;
  std::map<std::string, Bucket> buckets;
  std::map<std::string, CallingService> calling_services;
};

}  // namespace kingcupstair::retry

#endif  // COMPONENTS_RETRY_RETRY_BUDGET_H_
