#ifndef COMPONENTS_RETRY_RETRY_BUDGET_H_
#define COMPONENTS_RETRY_RETRY_BUDGET_H_

#include <map>
#include <string>

namespace kingcupstair::retry {

/// This host's part of what all hosts together may send to a service beyond
/// the first arrival of each request, so that retries can't multiply the load
/// of a service that is failing.
class RetryBudget {
 public:
  struct Options {
    /// Retries earned by each request.
    double ratio = 0.2;
    /// Retries of all hosts together beyond what requests have earned.
    double slack = 60;
  };

  explicit RetryBudget(Options options);

  /// Counts a request for `service`. `hosts` share the slack.
  void OnRequest(const std::string& service, size_t hosts);

  /// Takes leave for one retry; false when the budget is used up.
  bool TryRetry(const std::string& service, size_t hosts);

 private:
  double& TokensOf(const std::string& service, size_t hosts);
  double Depth(size_t hosts) const;

  Options options;
  std::map<std::string, double> tokens;
};

}  // namespace kingcupstair::retry

#endif  // COMPONENTS_RETRY_RETRY_BUDGET_H_
