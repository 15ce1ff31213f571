#include "components/retry/retry_budget.h"

#include <algorithm>

namespace kingcupstair::retry {
namespace {

constexpr double kRetriesPerAttempt = 0.2;
constexpr double kMaxTokens = 50;

}  // namespace

void RetryBudget::OnFirstAttempt() {
  this->tokens = std::min(kMaxTokens, this->tokens + kRetriesPerAttempt);
}

bool RetryBudget::TryRetry() {
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

}  // namespace kingcupstair::retry
