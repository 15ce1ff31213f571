#ifndef COMPONENTS_RETRY_RETRY_BUDGET_H_
#define COMPONENTS_RETRY_RETRY_BUDGET_H_

namespace kingcupstair::retry {

/// Bounds retries to a fraction of first attempts, so that retries can't
/// multiply the load of a service that is failing.
class RetryBudget {
 public:
  /// Counts a first attempt.
  void OnFirstAttempt();

  /// Takes leave for one retry; false when the budget is used up.
  bool TryRetry();

 private:
  double tokens = 10;
};

}  // namespace kingcupstair::retry

#endif  // COMPONENTS_RETRY_RETRY_BUDGET_H_
